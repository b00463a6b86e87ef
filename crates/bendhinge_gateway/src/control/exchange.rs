//! Exchanges with other gateways: by turns, and at once when there is news.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Contact, ListUpdate, Origin, Reach, UpstreamList};
use bendhinge_peer::{CachedPartsPage, FleetService, HeldVersion, ObservedCachedPart, PeerMessage};
use bytes::Bytes;
use futures_lite::FutureExt;
use rand::Rng;
use smol::Timer;
use smol::channel::Receiver;

use super::message::{Content, own_message, take_in};
use super::{Control, draw};
use crate::delivery::Delivering;
use crate::quarantine::SuspicionChange;

/// After how many rounds any other is asked, besides the one that hears of the store.
const ANY_EVERY: u32 = 4;
/// After how many rounds somebody lost is looked for.
const LOST_EVERY: u32 = 4;

/// How long a connection that nothing is asked on is kept.
const CONNECTIONS_KEPT: Duration = Duration::from_secs(5);

/// Exchanges for ever.
pub(super) async fn run(control: Rc<Control>) {
    let mut round = 0_u32;
    loop {
        let now = bendhinge_clock::now();
        let failing = control.is_store_failing();
        let reach = if round.is_multiple_of(ANY_EVERY) { Reach::RelayAndRandom } else { Reach::RelayOnly };
        let mut contacts: Vec<Contact> = if is_seeking(&control) {
            control.roster.borrow().random_contact(now, &mut draw).into_iter().collect()
        } else {
            control.roster.borrow().contacts(reach, failing, now, &mut draw)
        };
        if contacts.is_empty() || round.is_multiple_of(LOST_EVERY) {
            contacts.extend(control.roster.borrow().reconnect_contact(now, &mut draw));
        }
        for contact in contacts {
            let asking = Rc::clone(&control);
            let task = async move { ask_or_another(&asking, contact).await };
            control.executor.spawn(task).detach();
        }
        round = round.wrapping_add(1);
        Timer::after(period(&control)).await;
        control.peers.close_idle(CONNECTIONS_KEPT);
    }
}

/// The period, spread so that gateways started together do not stay in step.
fn period(control: &Control) -> Duration {
    /// The period before there is what serving takes: callers wait for it, or are turned away.
    const SEEKING: Duration = Duration::from_millis(100);
    let usual = control.settings.fleet.exchange;
    let period = if is_seeking(control) { usual.min(SEEKING) } else { usual };
    period.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Whether this gateway has no rules yet, or no upstreams to begin with. It then asks any that it has heard of, since
/// where all have just started the first in rank would be asked by all.
fn is_seeking(control: &Control) -> bool {
    let Delivering { rules, upstreams, .. } = &*control.delivering;
    rules.current().is_none() || !upstreams.is_begun()
}

/// Tells those who hear news from this gateway that there is some; they fetch what they lack.
pub(super) async fn tell_news(control: &Rc<Control>, origin: Origin) {
    let failing = control.is_store_failing();
    let listeners = control.roster.borrow().push_targets(origin, failing, bendhinge_clock::now());
    let told = listeners.into_iter().map(|address| {
        let control = Rc::clone(control);
        let executor = Rc::clone(&control.executor);
        executor.spawn(async move {
            ask(&control, address, Content::Brief).await;
        })
    });
    let told: Vec<_> = told.collect();
    for task in told {
        task.await;
    }
}

/// Tells others of what changed of suspected requests, for ever: at once where the next send of one may depend on
/// it, since that may come at any of them.
pub(super) async fn tell_suspicions(control: Rc<Control>, changes: Receiver<SuspicionChange>) {
    /// The least time between two messages of this to the same gateway.
    const PAUSE: Duration = Duration::from_millis(200);
    let mut since = bendhinge_clock::now();
    while let Some(origin) = next_change(&changes).await {
        let now = bendhinge_clock::now();
        let failing = control.is_store_failing();
        let tells_on = !control.roster.borrow().is_small();
        let quarantine = &control.delivering.quarantine;
        let listeners = control.roster.borrow().suspicion_push_targets(origin, failing, now);
        for address in listeners {
            if !quarantine.has_changes(address, since, tells_on) {
                continue;
            }
            let telling = Rc::clone(&control);
            let told = async move { ask(&telling, address, Content::Urgent { since, tells_on }).await };
            control.executor.spawn(told).detach();
        }
        since = now;
        Timer::after(PAUSE).await;
    }
}

/// Waits for a change that is to be told, and takes those that come until then along; gives by whom they were
/// noticed, this gateway if one was. `None` if there will be none.
async fn next_change(changes: &Receiver<SuspicionChange>) -> Option<Origin> {
    /// How long single crashes wait: when busy upstreams crash, hundreds are noticed at once, and there is no time to
    /// spare then.
    const WAIT: Duration = Duration::from_millis(400);
    let mut taken = changes.recv().await.ok()?;
    let until = bendhinge_clock::now() + WAIT;
    while !taken.is_urgent {
        let too_long = async {
            Timer::after(until.since(bendhinge_clock::now())).await;
            None
        };
        let Some(next) = async { changes.recv().await.ok() }.or(too_long).await else { break };
        taken = taken.with(next);
    }
    while let Ok(next) = changes.try_recv() {
        taken = taken.with(next);
    }
    Some(taken.origin)
}

/// Asks a contact, and any other if the one that hears of the store does not answer.
async fn ask_or_another(control: &Rc<Control>, contact: Contact) {
    let content = match contact {
        // It hears of reads and loads from others as this one does. Of what both were told a part would arrive
        // earlier this way, and go on as news.
        Contact::AlternateRelay(_) | Contact::Random(_) => Content::Probe,
        Contact::Relay(_) | Contact::Reconnect(_) => Content::Whole,
    };
    let is_reader = matches!(contact, Contact::Relay(_) | Contact::AlternateRelay(_));
    if ask(control, contact.address(), content).await || !is_reader {
        return;
    }
    let another = control.roster.borrow().random_contact(bendhinge_clock::now(), &mut draw);
    if let Some(another) = another {
        ask(control, another.address(), Content::Whole).await;
    }
}

/// Exchanges messages with the gateway at `address` and takes its message in; `false` if it gave none.
async fn ask(control: &Rc<Control>, address: SocketAddr, content: Content) -> bool {
    let asked = bendhinge_clock::now();
    let message = own_message(control, address, content, None, asked);
    let answer = control.peers.call(address, async |peer| peer.exchange(&message).await).await;
    control.delivering.metrics.exchange(answer.is_ok());
    let Ok(answer) = answer else { return false };
    take_in(control, &answer, Some(asked));
    control.divide();
    control.note_answer(address, &message, &answer);
    control.fetch_news(address, &answer).await;
    true
}

impl Control {
    /// Whether the sender of `message` knows something held here to be current, of which this gateway
    /// has had no evidence for long.
    fn is_much_fresher(&self, message: &PeerMessage) -> bool {
        // Only knowledge that ends the want of it counts: were a little fresher enough, news
        // of it would go round and round while nobody reaches the store.
        let is_fresher = |told: Option<HeldVersion>, held: Option<HeldVersion>, lost: Duration| {
            told.zip(held).is_some_and(|(told, held)| {
                told.version == held.version && held.age > lost && told.age < lost
            })
        };
        let now = bendhinge_clock::now();
        let lost = self.lost_ages();
        let Delivering { rules, upstreams, .. } = &*self.delivering;
        is_fresher(message.rules, rules.known(now), lost.rules)
            || is_fresher(message.upstreams, upstreams.known(now), lost.upstreams)
    }

    /// Notes what the gateway at `address` was told by `message`, and up to where it was heard by `answer`.
    fn note_answer(&self, address: SocketAddr, message: &PeerMessage, answer: &PeerMessage) {
        let mut peers = self.peer_states.borrow_mut();
        if let Some(told) = message.sent_position {
            peers.record_acknowledged(
                address,
                answer.sent_position.map(|position| position.incarnation),
                told.sequence,
            );
        }
        if let Some(told) = answer.sent_position {
            peers.record_received(address, told);
        }
    }

    /// Tells others of news in the background.
    pub(super) fn spread(self: &Rc<Self>, origin: Origin) {
        let control = Rc::clone(self);
        self.executor.spawn(async move { tell_news(&control, origin).await }).detach();
    }
}

/// What this gateway answers to its peers.
pub(super) struct Duties(pub(super) Rc<Control>);

impl FleetService for Duties {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        take_in(&self.0, &message, None);
        let control = Rc::clone(&self.0);
        let address = message.sender.address;
        let delivering = &self.0.delivering;
        let is_fresher = control.is_much_fresher(&message);
        let has_news = message.has_partial_list && !delivering.upstreams.is_begun()
            || message.rules.is_some_and(|known| delivering.rules.lacks(known.version))
            || message.upstreams.is_some_and(|known| delivering.upstreams.lacks(known.version));
        let now = bendhinge_clock::now();
        let content = match &message {
            message if message.is_announcement => Content::Brief,
            message if message.is_probe => Content::Members,
            _ => Content::Whole,
        };
        let answer = own_message(&self.0, address, content, Some(&message), now);
        let executor = Rc::clone(&control.executor);
        if has_news {
            executor.spawn(async move { control.fetch_news(address, &message).await }).detach();
        } else if is_fresher {
            // Only an answer to a question of its own tells it how old the knowledge is.
            let asking = async move {
                if ask(&control, address, Content::Brief).await {
                    control.spread(Origin::Peer);
                }
            };
            executor.spawn(asking).detach();
        }
        answer
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        let rules = &self.0.delivering.rules;
        let known = rules.known(bendhinge_clock::now())?;
        Some((known, rules.current()?.document.clone()))
    }

    fn cached_parts(&self, page: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        self.0.is_informed.get().then(|| self.0.delivering.upstreams.all_reads(page, bendhinge_clock::now()))
    }

    fn recent_list(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        self.0.delivering.upstreams.held_lately(digest)
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        self.0.delivering.upstreams.part()
    }

    fn upstreams(&self, base: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        let upstreams = &self.0.delivering.upstreams;
        let known = upstreams.known(bendhinge_clock::now())?;
        Some((known, upstreams.list_to_tell(base)?))
    }
}
