//! Fetching from other gateways what they hold and this one lacks.
//!
//! The list of upstreams is small and urgent: until it is there, requests go to upstreams that leave.
//! The rules can be a megabyte, which takes a second on a link of 10 Mbit/s. So neither waits for the
//! other, nor for its failure. Several others tell of the same change; of each thing one copy is on its
//! way at a time, since a second one delays both.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bendhinge_fleet::{FetchPlan, FetchSource, ListUpdate, Origin, UpdateOutcome, UpstreamList, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::{CallError, HeldVersion, PeerMessage};
use bytes::Bytes;
use futures_lite::future::zip;

use super::Control;
use crate::delivery::Delivering;
use crate::knowledge::RulesInForce;
use crate::metrics::Believed;

/// What is on its way of one thing.
#[derive(Default)]
pub(super) struct Fetching(RefCell<FetchPlan>);

impl Fetching {
    /// Fetches from `holder` by `fetch`, then from whoever told of something meanwhile that still
    /// `lacks`. Does nothing but remember the holder while a fetch is under way.
    async fn run(
        &self,
        holder: FetchSource,
        lacks: impl Fn(Version) -> bool,
        fetch: impl AsyncFn(SocketAddr),
    ) {
        if !self.0.borrow_mut().announce(holder, &lacks) {
            return;
        }
        let _ended = Ended(self);
        loop {
            // The plan is free while the fetch is under way: others tell of news meanwhile.
            let next = self.0.borrow_mut().next_source(&lacks);
            let Some(holder) = next else { return };
            fetch(holder.address).await;
        }
    }
}

/// Says that nothing is on its way any more, also if the fetch was dropped.
struct Ended<'a>(&'a Fetching);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0.0.borrow_mut().cancel();
    }
}

impl Control {
    /// Fetches what the gateway at `address` holds and this one lacks, as its `message` says.
    pub(super) async fn fetch_news(self: &Rc<Self>, address: SocketAddr, message: &PeerMessage) {
        let Delivering { rules, upstreams, .. } = &*self.delivering;
        let holder = |known: HeldVersion| FetchSource { address, version: known.version };
        let list = async {
            if let Some(holder) = message.upstreams.map(holder) {
                let lacks = |version| upstreams.lacks(version);
                let fetch = async |address| self.fetch_upstreams(address).await;
                self.fetching_upstreams.run(holder, lacks, fetch).await;
            }
        };
        let document = async {
            if let Some(holder) = message.rules.map(holder) {
                let lacks = |version| rules.lacks(version);
                let fetch = async |address| self.fetch_rules(address).await;
                self.fetching_rules.run(holder, lacks, fetch).await;
            }
        };
        let part = async {
            if message.has_partial_list {
                // Any part will do: they have no versions.
                let holder = FetchSource { address, version: Version::default() };
                let lacks = |_| !upstreams.is_begun();
                let fetch = async |address| self.fetch_part(address).await;
                self.fetching_part.run(holder, lacks, fetch).await;
            }
        };
        zip(zip(list, document), part).await;
    }

    /// Begins with the part of a list with which the gateway at `address` has begun.
    async fn fetch_part(&self, address: SocketAddr) {
        let asked = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.partial_list().await).await;
        let part = self.note_fetch(Believed::Upstreams, address, asked, fetched.map(Some));
        if let Some(part) = part {
            self.delivering.upstreams.begin_with(Arc::new(part));
        }
    }

    async fn fetch_rules(self: &Rc<Self>, address: SocketAddr) {
        let asked = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.rules().await).await;
        if let Some((known, document)) = self.note_fetch(Believed::Rules, address, asked, fetched) {
            self.take_rules(&known, asked, document, Origin::Peer);
        }
    }

    async fn fetch_upstreams(self: &Rc<Self>, address: SocketAddr) {
        let base = self.delivering.upstreams.known(bendhinge_clock::now()).map(|known| known.version.digest);
        if !self.fetch_list(address, base).await && base.is_some() {
            self.fetch_list(address, None).await;
        }
    }

    /// Fetches the list of the gateway at `address`, as changes of the one whose digest is `base`; `false`
    /// if they lead to another list than that gateway holds.
    async fn fetch_list(self: &Rc<Self>, address: SocketAddr, base: Option<u64>) -> bool {
        let asked = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.upstreams(base).await).await;
        let fetched = self.note_fetch(Believed::Upstreams, address, asked, fetched);
        let Some((known, told)) = fetched else { return true };
        let list = match told {
            ListUpdate::Full(list) => Some(list),
            ListUpdate::Delta { base, delta: changes } => {
                let list = self.delivering.upstreams.list_with(base, &changes);
                list.filter(|list| list.digest() == known.version.digest)
            }
        };
        let Some(list) = list else { return false };
        self.take_upstreams(&known, asked, list, Origin::Peer);
        true
    }

    /// Notes what came of asking the gateway at `from` for `what`; gives what it handed over.
    fn note_fetch<T>(
        &self,
        what: Believed,
        from: SocketAddr,
        asked: Instant,
        fetched: Result<Option<T>, CallError>,
    ) -> Option<T> {
        let took = bendhinge_clock::now().since(asked);
        let Delivering { metrics, log, .. } = &*self.delivering;
        metrics.peer_fetch(what, took, fetched.is_ok());
        fetched.inspect_err(|error| log.fetch_failed(what, from, took, error)).ok().flatten()
    }

    /// Takes a document of rules that was known to be current `known.age` before `asked`.
    pub(super) fn take_rules(
        self: &Rc<Self>,
        known: &HeldVersion,
        asked: Instant,
        document: Bytes,
        from: Origin,
    ) {
        if self.hold_rules(known, asked, document, from) == UpdateOutcome::Updated {
            self.spread(from);
        }
    }

    /// The same, without telling others.
    pub(super) fn hold_rules(
        &self,
        known: &HeldVersion,
        asked: Instant,
        document: Bytes,
        from: Origin,
    ) -> UpdateOutcome {
        let rules = match self.delivering.dialect.read_rules(&document) {
            Ok(rules) => rules,
            Err(error) => {
                self.delivering.log.process("rules_refused", from.as_str(), &error.to_string());
                return UpdateOutcome::Stale;
            }
        };
        let offered = RulesInForce { rules, document };
        let offer = self.delivering.rules.offer(known.version, asked - known.age, offered);
        if offer == UpdateOutcome::Updated {
            let age = bendhinge_clock::now().since(asked - known.age);
            // Operators know the rules by the revision of the document.
            let shown = Version { revision: known.version.document(), ..known.version };
            self.delivering.log.belief(Believed::Rules, shown, from, age);
        }
        offer
    }

    /// Takes a list of upstreams that was known to be current `known.age` before `asked`.
    pub(super) fn take_upstreams(
        self: &Rc<Self>,
        known: &HeldVersion,
        asked: Instant,
        list: UpstreamList,
        from: Origin,
    ) {
        let Delivering { upstreams, log, .. } = &*self.delivering;
        let drained = list.drained.clone();
        let were_drained = upstreams.list().map(|held| held.drained.clone()).unwrap_or_default();
        let offer = upstreams.offer(known.version, asked - known.age, list);
        if offer == UpdateOutcome::Updated && drained != were_drained {
            log.drained(&drained, from);
        }
        if offer == UpdateOutcome::Updated {
            let age = bendhinge_clock::now().since(asked - known.age);
            log.belief(Believed::Upstreams, known.version, from, age);
            self.delivering.quarantine.follow_software(upstreams.software());
            self.spread(from);
        }
    }
}
