//! Exchange of state with other gateways: periodic rounds, and immediate pushes of updates.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Contact, ListUpdate, Origin, PermitRequest, Reach, StreamId, UpstreamList};
use bendhinge_ids::NameHash;
use bendhinge_peer::{
    CachedPartsPage, FleetService, HeldVersion, ObservedCachedPart, ObservedStream, PeerMessage,
    PermitAnswer, PermitGuard, StreamAnswer,
};
use bytes::Bytes;
use futures_lite::FutureExt;
use rand::Rng;
use smol::Timer;
use smol::channel::Receiver;

use super::message::{MessageContent, compose_message, merge_message};
use super::{ControlPlane, random_below};
use crate::delivery::DeliveryContext;
use crate::quarantine::QuarantineChange;

/// Number of rounds between exchanges with a random member in addition to the relay.
const RANDOM_CONTACT_ROUNDS: u32 = 4;
/// Number of rounds between attempts to reconnect to a lost member.
const RECONNECT_ROUNDS: u32 = 4;

/// Time after which an unused connection to a peer is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the periodic exchanges. Never returns.
pub(super) async fn run(control: Rc<ControlPlane>) {
    let mut round = 0_u32;
    loop {
        let now = bendhinge_clock::now();
        let store_failing = control.is_store_failing();
        let reach = if round.is_multiple_of(RANDOM_CONTACT_ROUNDS) {
            Reach::RelayAndRandom
        } else {
            Reach::RelayOnly
        };
        let mut contacts: Vec<Contact> = if is_bootstrapping(&control) {
            control.roster.borrow().random_contact(now, &mut random_below).into_iter().collect()
        } else {
            control.roster.borrow().contacts(reach, store_failing, now, &mut random_below)
        };
        if contacts.is_empty() || round.is_multiple_of(RECONNECT_ROUNDS) {
            contacts.extend(control.roster.borrow().reconnect_contact(now, &mut random_below));
        }
        for contact in contacts {
            let task_control = Rc::clone(&control);
            let task = async move { exchange_or_fall_back(&task_control, contact).await };
            control.executor.spawn(task).detach();
        }
        round = round.wrapping_add(1);
        let interval = round_interval(&control);
        if exchanges_frequently(&control) {
            Timer::after(interval / 2).await;
            spawn_exchange_with_relay(&control);
            Timer::after(interval / 2).await;
        } else {
            Timer::after(interval).await;
        }
        control.peers.close_idle(IDLE_CONNECTION_TIMEOUT);
    }
}

/// Returns the time until the next round, with jitter so that gateways started together do not stay
/// synchronised.
fn round_interval(control: &ControlPlane) -> Duration {
    /// Interval while this gateway has no state to serve from, since requests wait or are refused
    /// until then.
    const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(100);
    let configured = control.settings.fleet.exchange_interval;
    let interval = if is_bootstrapping(control) { configured.min(BOOTSTRAP_INTERVAL) } else { configured };
    interval.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Returns whether loads have to be exchanged more often, because the upstreams of a pool are close to the load limit.
fn exchanges_frequently(control: &ControlPlane) -> bool {
    let DeliveryContext { upstreams, load_settings, .. } = &*control.context;
    upstreams.is_active(load_settings.frequent_exchanges)
        && upstreams.is_any_pool_near_load_limit(bendhinge_clock::now())
}

/// Starts an exchange with the preferred relay between two rounds.
fn spawn_exchange_with_relay(control: &Rc<ControlPlane>) {
    let now = bendhinge_clock::now();
    let store_failing = control.is_store_failing();
    let contacts = control.roster.borrow().contacts(Reach::RelayOnly, store_failing, now, &mut random_below);
    for contact in contacts.into_iter().filter(|contact| matches!(contact, Contact::Relay(_))) {
        let task_control = Rc::clone(control);
        let task = async move { exchange_or_fall_back(&task_control, contact).await };
        control.executor.spawn(task).detach();
    }
    control.context.metrics.count_frequent_exchange();
}

/// Returns whether this gateway still lacks rules or upstreams to serve with.
///
/// It then contacts a random member. Otherwise all gateways of a fleet that has just started would
/// contact the same first rank.
fn is_bootstrapping(control: &ControlPlane) -> bool {
    let DeliveryContext { rules, upstreams, .. } = &*control.context;
    rules.current().is_none() || !upstreams.has_list_or_partial()
}

/// Notifies the push targets of an update. They fetch what they lack.
pub(super) async fn push_update(control: &Rc<ControlPlane>, origin: Origin) {
    let store_failing = control.is_store_failing();
    let targets = control.roster.borrow().push_targets(origin, store_failing, bendhinge_clock::now());
    let tasks = targets.into_iter().map(|address| {
        let control = Rc::clone(control);
        let executor = Rc::clone(&control.executor);
        executor.spawn(async move {
            exchange_with(&control, address, MessageContent::Brief).await;
        })
    });
    let tasks: Vec<_> = tasks.collect();
    for task in tasks {
        task.await;
    }
}

/// Pushes changes of suspected requests to peers. Returns when the channel is closed.
///
/// They do not wait for the periodic exchange, because a suspected request may arrive at any
/// gateway next.
pub(super) async fn push_suspicions(control: Rc<ControlPlane>, changes: Receiver<QuarantineChange>) {
    /// Minimum time between two pushes of suspicions to the same peer.
    const MIN_INTERVAL: Duration = Duration::from_millis(200);
    let mut since = bendhinge_clock::now();
    while let Some(origin) = next_suspicion_batch(&changes).await {
        let now = bendhinge_clock::now();
        let store_failing = control.is_store_failing();
        let includes_forwarded = !control.roster.borrow().is_small();
        let quarantine = &control.context.quarantine;
        let targets = control.roster.borrow().suspicion_push_targets(origin, store_failing, now);
        for address in targets {
            if !quarantine.has_changes_for(address, since, includes_forwarded) {
                continue;
            }
            let task_control = Rc::clone(&control);
            let task = async move {
                exchange_with(
                    &task_control,
                    address,
                    MessageContent::Suspicions { since, includes_forwarded },
                )
                .await
            };
            control.executor.spawn(task).detach();
        }
        since = now;
        Timer::after(MIN_INTERVAL).await;
    }
}

/// Waits for a change and collects the following ones into a batch, until one is urgent or the
/// maximum delay has passed. Returns the origin of the batch, which is this gateway if any of the
/// changes is its own, or `None` if the channel is closed.
async fn next_suspicion_batch(changes: &Receiver<QuarantineChange>) -> Option<Origin> {
    /// Maximum delay of changes that are not urgent. When busy upstreams crash, hundreds of changes
    /// arrive at once and one message carries them all.
    const MAX_DELAY: Duration = Duration::from_millis(400);
    let mut batch = changes.recv().await.ok()?;
    let deadline = bendhinge_clock::now() + MAX_DELAY;
    while !batch.is_urgent {
        let timeout = async {
            Timer::after(deadline.since(bendhinge_clock::now())).await;
            None
        };
        let Some(change) = async { changes.recv().await.ok() }.or(timeout).await else { break };
        batch = batch.merge(change);
    }
    while let Ok(change) = changes.try_recv() {
        batch = batch.merge(change);
    }
    Some(batch.origin)
}

/// Exchanges state with a contact. If a relay does not respond, exchanges state with a random member
/// instead.
async fn exchange_or_fall_back(control: &Rc<ControlPlane>, contact: Contact) {
    let content = match contact {
        // These members receive cached parts and loads from the same peers as this gateway. Sending them
        // here as well would forward some of them as new updates.
        Contact::AlternateRelay(_) | Contact::Random(_) => MessageContent::Probe,
        Contact::Relay(_) => MessageContent::FullToRelay,
        Contact::Reconnect(_) => MessageContent::Full,
    };
    let is_relay = matches!(contact, Contact::Relay(_) | Contact::AlternateRelay(_));
    if exchange_with(control, contact.address(), content).await || !is_relay {
        return;
    }
    let fallback = control.roster.borrow().random_contact(bendhinge_clock::now(), &mut random_below);
    if let Some(fallback) = fallback {
        exchange_with(control, fallback.address(), MessageContent::Full).await;
    }
}

/// Exchanges messages with the gateway at `address` and merges its response. Returns `false` if it
/// did not respond.
pub(super) async fn exchange_with(
    control: &Rc<ControlPlane>,
    address: SocketAddr,
    content: MessageContent,
) -> bool {
    let requested_at = bendhinge_clock::now();
    let message = compose_message(control, address, content, None, requested_at);
    let response = control.peers.call(address, async |peer| peer.exchange(&message).await).await;
    control.context.metrics.count_exchange(response.is_ok());
    let Ok(response) = response else { return false };
    merge_message(control, &response, Some(requested_at));
    control.divide_shared_limits();
    control.record_exchange(address, &message, &response);
    control.fetch_updates(address, &response).await;
    true
}

impl ControlPlane {
    /// Returns whether the sender of `message` has recent evidence that a version held here is
    /// current, while this gateway's own evidence is overdue.
    fn sender_has_fresher_evidence(&self, message: &PeerMessage) -> bool {
        // Evidence counts only if it is not overdue itself. If any younger evidence counted,
        // notifications would circulate endlessly while no gateway reaches the store.
        let is_fresher = |reported: Option<HeldVersion>, held: Option<HeldVersion>, max_age: Duration| {
            reported.zip(held).is_some_and(|(reported, held)| {
                reported.version == held.version && held.age > max_age && reported.age < max_age
            })
        };
        let now = bendhinge_clock::now();
        let max_ages = self.max_replica_ages();
        let DeliveryContext { rules, upstreams, .. } = &*self.context;
        is_fresher(message.rules, rules.held_version(now), max_ages.rules)
            || is_fresher(message.upstreams, upstreams.held_version(now), max_ages.upstreams)
    }

    /// Records what the gateway at `address` acknowledged and what was received from it in an
    /// exchange.
    fn record_exchange(&self, address: SocketAddr, message: &PeerMessage, response: &PeerMessage) {
        let mut peers = self.peer_states.borrow_mut();
        if let Some(sent) = message.sent_position {
            peers.record_acknowledged(
                address,
                response.sent_position.map(|position| position.incarnation),
                sent.sequence,
            );
        }
        if let Some(received) = response.sent_position {
            peers.record_received(address, received);
        }
    }

    /// Notifies the push targets of an update in the background.
    pub(super) fn spawn_push(self: &Rc<Self>, origin: Origin) {
        let control = Rc::clone(self);
        self.executor.spawn(async move { push_update(&control, origin).await }).detach();
    }
}

/// Serves the calls of peers.
pub(super) struct PeerRequestHandler(pub(super) Rc<ControlPlane>);

impl FleetService for PeerRequestHandler {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        merge_message(&self.0, &message, None);
        let control = Rc::clone(&self.0);
        let address = message.sender.address;
        let context = &self.0.context;
        let has_fresher_evidence = control.sender_has_fresher_evidence(&message);
        let now = bendhinge_clock::now();
        let has_updates = message.has_partial_list && !context.upstreams.has_list_or_partial()
            || message.rules.is_some_and(|held| control.needs_rules(held.version))
            || message.upstreams.is_some_and(|held| context.upstreams.needs(held.version));
        let content = match &message {
            message if message.is_announcement => MessageContent::Brief,
            message if message.is_probe => MessageContent::Members,
            _ => MessageContent::Full,
        };
        let response = compose_message(&self.0, address, content, Some(&message), now);
        let executor = Rc::clone(&control.executor);
        if has_updates {
            executor.spawn(async move { control.fetch_updates(address, &message).await }).detach();
        } else if has_fresher_evidence {
            // The age of evidence is bounded only in responses to this gateway's own requests.
            let task = async move {
                if exchange_with(&control, address, MessageContent::Brief).await {
                    control.spawn_push(Origin::Peer);
                }
            };
            executor.spawn(task).detach();
        }
        response
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        let rules = &self.0.context.rules;
        let held = rules.held_version(bendhinge_clock::now())?;
        Some((held, rules.current()?.document.clone()))
    }

    fn cached_parts(&self, page: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        self.0
            .is_recovery_done
            .get()
            .then(|| self.0.context.upstreams.cached_parts_on_page(page, bendhinge_clock::now()))
    }

    fn recent_list(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        self.0.context.upstreams.recent_list(digest)
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        self.0.context.upstreams.partial_list()
    }

    fn upstreams(&self, base: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        let upstreams = &self.0.context.upstreams;
        let held = upstreams.held_version(bendhinge_clock::now())?;
        Some((held, upstreams.list_update_for(base)?))
    }

    fn merge_streams(&self, streams: Vec<ObservedStream>) {
        if self.0.context.streams.is_enabled() {
            self.0.context.streams.merge(&streams);
        }
    }

    fn find_stream(&self, stream: StreamId, pool: Option<NameHash>) -> StreamAnswer {
        self.0.stream_answer(stream, pool)
    }

    fn issue_permit(&self, request: PermitRequest) -> PermitAnswer<PermitGuard> {
        self.0.issue_permit(request)
    }
}
