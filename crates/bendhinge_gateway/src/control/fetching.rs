//! Fetches newer state from other gateways.
//!
//! The list of upstreams is small and urgent, because requests are sent to departed upstreams until
//! it is updated. The rules are large and may take a second to transfer on a slow link. Both are
//! therefore fetched independently. Several peers announce the same update, so at most one fetch of
//! each value is in flight.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bendhinge_fleet::{
    FetchPlan, FetchSource, ListUpdate, Origin, Revision, UpdateOutcome, UpstreamList, Version,
};
use bendhinge_ids::Instant;
use bendhinge_peer::{CallError, HeldVersion, PeerMessage};
use bytes::Bytes;
use futures_lite::future::zip;

use super::ControlPlane;
use crate::delivery::DeliveryContext;
use crate::metrics::ReplicaKind;
use crate::state::ActiveRules;

/// Maximum number of log lines for the entries of one version of the rules that cannot be used.
const MAX_LEFT_OUT_LINES: usize = 16;

/// State of the fetches of one value.
#[derive(Default)]
pub(super) struct FetchState(RefCell<FetchPlan>);

impl FetchState {
    /// Fetches from `source` with `fetch`, then from the peers that announced a newer version
    /// meanwhile, as long as `needs` holds for it. If a fetch is in flight already, only records
    /// the source.
    async fn run(
        &self,
        source: FetchSource,
        needs: impl Fn(Version) -> bool,
        fetch: impl AsyncFn(SocketAddr),
    ) {
        if !self.0.borrow_mut().announce(source, &needs) {
            return;
        }
        let _cancel_on_drop = CancelOnDrop(self);
        loop {
            // The plan must not stay borrowed during the fetch, since other announcements update
            // it.
            let next = self.0.borrow_mut().next_source(&needs);
            let Some(source) = next else { return };
            fetch(source.address).await;
        }
    }
}

/// Resets the fetch state when the fetch ends or its future is dropped.
struct CancelOnDrop<'a>(&'a FetchState);

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.0.0.borrow_mut().cancel();
    }
}

impl ControlPlane {
    /// Fetches the values announced by `message` that this gateway lacks from the gateway at
    /// `address`.
    pub(super) async fn fetch_updates(self: &Rc<Self>, address: SocketAddr, message: &PeerMessage) {
        let upstreams = &self.context.upstreams;
        let source = |held: HeldVersion| FetchSource { address, version: held.version };
        let list = async {
            if let Some(source) = message.upstreams.map(source) {
                let needs = |version| upstreams.needs(version);
                let fetch = async |address| self.fetch_upstream_list(address).await;
                self.list_fetch.run(source, needs, fetch).await;
            }
        };
        let document = async {
            if let Some(source) = message.rules.map(source) {
                let needs = |version| self.needs_rules(version);
                let fetch = async |address| self.fetch_rules(address).await;
                self.rules_fetch.run(source, needs, fetch).await;
            }
        };
        let partial_list = async {
            if message.has_partial_list {
                // Partial lists have no versions; any of them will do.
                let source = FetchSource { address, version: Version::default() };
                let needs = |_| !upstreams.has_list_or_partial();
                let fetch = async |address| self.fetch_partial_list(address).await;
                self.partial_list_fetch.run(source, needs, fetch).await;
            }
        };
        zip(zip(list, document), partial_list).await;
    }

    /// Fetches the partial list of the gateway at `address`, to start serving before the full list
    /// is available.
    async fn fetch_partial_list(&self, address: SocketAddr) {
        let requested_at = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.partial_list().await).await;
        let partial_list =
            self.record_fetch(ReplicaKind::Upstreams, address, requested_at, fetched.map(Some));
        if let Some(partial_list) = partial_list {
            self.context.upstreams.apply_partial_list(Arc::new(partial_list));
        }
    }

    /// Returns whether rules of `version` are newer than the held ones and were not refused before.
    pub(super) fn needs_rules(&self, version: Version) -> bool {
        self.refused_rules.get() != Some(version.document()) && self.context.rules.needs(version)
    }

    async fn fetch_rules(self: &Rc<Self>, address: SocketAddr) {
        let requested_at = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.rules().await).await;
        if let Some((held, document)) = self.record_fetch(ReplicaKind::Rules, address, requested_at, fetched)
        {
            self.update_rules(&held, requested_at, document, Origin::Peer);
        }
    }

    async fn fetch_upstream_list(self: &Rc<Self>, address: SocketAddr) {
        let base =
            self.context.upstreams.held_version(bendhinge_clock::now()).map(|held| held.version.digest);
        if !self.fetch_list(address, base).await && base.is_some() {
            self.fetch_list(address, None).await;
        }
    }

    /// Fetches the list held by the gateway at `address`, as changes relative to the list with
    /// digest `base`. Returns `false` if the result does not match the digest of the peer's list.
    async fn fetch_list(self: &Rc<Self>, address: SocketAddr, base: Option<u64>) -> bool {
        let requested_at = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.upstreams(base).await).await;
        let fetched = self.record_fetch(ReplicaKind::Upstreams, address, requested_at, fetched);
        let Some((held, update)) = fetched else { return true };
        let list = match update {
            ListUpdate::Full(list) => Some(list),
            ListUpdate::Delta { base, delta: changes } => {
                let list = self.context.upstreams.apply_list_delta(base, &changes);
                list.filter(|list| list.digest() == held.version.digest)
            }
        };
        let Some(list) = list else { return false };
        self.update_upstream_list(&held, requested_at, list, Origin::Peer);
        true
    }

    /// Records the outcome of a fetch from the gateway at `source`, and returns the fetched value.
    fn record_fetch<T>(
        &self,
        value: ReplicaKind,
        source: SocketAddr,
        requested_at: Instant,
        fetched: Result<Option<T>, CallError>,
    ) -> Option<T> {
        let elapsed = bendhinge_clock::now().since(requested_at);
        let DeliveryContext { metrics, log, .. } = &*self.context;
        metrics.record_peer_fetch(value, elapsed, fetched.is_ok());
        fetched.inspect_err(|error| log.peer_fetch_failed(value, source, elapsed, error)).ok().flatten()
    }

    /// Updates the rules to a document that was current `held.age` before `requested_at`, and
    /// notifies peers.
    pub(super) fn update_rules(
        self: &Rc<Self>,
        held: &HeldVersion,
        requested_at: Instant,
        document: Bytes,
        origin: Origin,
    ) {
        if self.update_rules_locally(held, requested_at, document, origin) == UpdateOutcome::Updated {
            self.spawn_push(origin);
        }
    }

    /// Updates the rules like [`ControlPlane::update_rules`], but does not notify peers.
    pub(super) fn update_rules_locally(
        &self,
        held: &HeldVersion,
        requested_at: Instant,
        document: Bytes,
        origin: Origin,
    ) -> UpdateOutcome {
        let rules = match self.context.dialect.parse_rules(&document) {
            Ok(rules) => rules,
            Err(error) => {
                let refused = held.version.document();
                self.refused_rules.set(Some(refused));
                self.context.metrics.record_refused_rules(refused);
                self.context.log.process_event("rules_refused", origin.as_str(), &error.to_string());
                return UpdateOutcome::Stale;
            }
        };
        let left_out = rules.left_out.clone();
        let candidate = ActiveRules { rules, document };
        let outcome = self.context.rules.update(held.version, requested_at - held.age, candidate);
        if outcome == UpdateOutcome::Updated {
            let age = bendhinge_clock::now().since(requested_at - held.age);
            // The log shows the revision of the document, which operators know the rules by.
            let logged_version = Version { revision: held.version.document(), ..held.version };
            self.context.log.replica_updated(ReplicaKind::Rules, logged_version, origin, age);
            self.context.metrics.record_left_out_entries(left_out.len());
            self.context.metrics.record_refused_rules(Revision::default());
            left_out.iter().take(MAX_LEFT_OUT_LINES).for_each(|entry| self.context.log.rules_entry(entry));
        }
        outcome
    }

    /// Updates the list of upstreams to one that was current `held.age` before `requested_at`, and
    /// notifies peers.
    pub(super) fn update_upstream_list(
        self: &Rc<Self>,
        held: &HeldVersion,
        requested_at: Instant,
        list: UpstreamList,
        origin: Origin,
    ) {
        let DeliveryContext { upstreams, log, .. } = &*self.context;
        let drained = list.drained.clone();
        let previously_drained = upstreams.list().map(|current| current.drained.clone()).unwrap_or_default();
        let outcome = upstreams.update(held.version, requested_at - held.age, list, origin);
        if outcome == UpdateOutcome::Updated && drained != previously_drained {
            log.drained_data_centres_changed(&drained, origin);
        }
        if outcome == UpdateOutcome::Updated {
            let age = bendhinge_clock::now().since(requested_at - held.age);
            log.replica_updated(ReplicaKind::Upstreams, held.version, origin, age);
            self.context.quarantine.set_running_software(upstreams.software_hashes());
            // A second version in a pool makes it necessary to send the records of its streams.
            self.context.streams.notify_unsent();
            self.spawn_push(origin);
        }
    }
}
