//! Fetching from other gateways what they hold and this one lacks.
//!
//! The list of upstreams is small and urgent: until it is there, requests go to upstreams that leave.
//! The rules can be a megabyte, which takes a second on a link of 10 Mbit/s. So neither waits for the
//! other, nor for its failure. Several others tell of the same change; of each thing one copy is on its
//! way at a time, since a second one delays both.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bendhinge_fleet::{Offer, Origin, UpstreamList, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::{CallError, Known, PeerMessage};
use bytes::Bytes;
use futures_lite::future::zip;

use super::Control;
use crate::delivery::Delivering;
use crate::knowledge::RulesInForce;
use crate::metrics::Believed;

/// Somebody who holds a version that was lacking when it told of it.
#[derive(Clone, Copy)]
struct Holder {
    address: SocketAddr,
    version: Version,
}

/// What is on its way of one thing.
#[derive(Default)]
pub(super) struct Fetching {
    is_under_way: Cell<bool>,
    /// Who told of it last meanwhile: is asked next, if what comes is older or nothing does.
    next: Cell<Option<Holder>>,
}

impl Fetching {
    /// Fetches from `holder` by `fetch`, then from whoever told of something meanwhile that still
    /// `lacks`. Does nothing but remember the holder while a fetch is under way.
    async fn run(&self, holder: Holder, lacks: impl Fn(Version) -> bool, fetch: impl AsyncFn(SocketAddr)) {
        self.next.set(Some(holder));
        if self.is_under_way.replace(true) {
            return;
        }
        let _ended = Ended(&self.is_under_way);
        while let Some(holder) = self.next.take() {
            if lacks(holder.version) {
                fetch(holder.address).await;
            }
        }
    }
}

/// Says that nothing is on its way any more, also if the fetch was dropped.
struct Ended<'a>(&'a Cell<bool>);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Control {
    /// Fetches what the gateway at `address` holds and this one lacks, as its `message` says.
    pub(super) async fn fetch_news(self: &Rc<Self>, address: SocketAddr, message: &PeerMessage) {
        let Delivering { rules, upstreams, .. } = &*self.delivering;
        let holder = |known: Known| Holder { address, version: known.version };
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
        zip(list, document).await;
    }

    async fn fetch_rules(self: &Rc<Self>, address: SocketAddr) {
        let asked = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.rules().await).await;
        if let Some((known, document)) = self.note_fetch(Believed::Rules, address, asked, fetched) {
            self.take_rules(&known, asked, document, Origin::Peer);
        }
    }

    async fn fetch_upstreams(self: &Rc<Self>, address: SocketAddr) {
        let asked = bendhinge_clock::now();
        let fetched = self.peers.call(address, async |peer| peer.upstreams().await).await;
        if let Some((known, list)) = self.note_fetch(Believed::Upstreams, address, asked, fetched) {
            self.take_upstreams(&known, asked, list, Origin::Peer);
        }
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
    pub(super) fn take_rules(self: &Rc<Self>, known: &Known, asked: Instant, document: Bytes, from: Origin) {
        let rules = match self.delivering.dialect.read_rules(&document) {
            Ok(rules) => rules,
            Err(error) => {
                return self.delivering.log.process("rules_refused", from.as_str(), &error.to_string());
            }
        };
        let offered = RulesInForce { rules, document };
        let offer = self.delivering.rules.offer(known.version, asked - known.age, offered);
        if offer == Offer::New {
            let age = bendhinge_clock::now().since(asked - known.age);
            self.delivering.log.belief(Believed::Rules, known.version, from, age);
            self.spread(from);
        }
    }

    /// Takes a list of upstreams that was known to be current `known.age` before `asked`.
    pub(super) fn take_upstreams(
        self: &Rc<Self>,
        known: &Known,
        asked: Instant,
        list: UpstreamList,
        from: Origin,
    ) {
        let offer = self.delivering.upstreams.offer(known.version, asked - known.age, list);
        if offer == Offer::New {
            let age = bendhinge_clock::now().since(asked - known.age);
            self.delivering.log.belief(Believed::Upstreams, known.version, from, age);
            self.spread(from);
        }
    }
}
