//! After a start: learning what upstreams keep, from the other gateways, or, if all of them have
//! just started too, from the upstreams themselves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    CacheRecovery, CacheRecoveryStep, CacheRecoveryTimings, FleetView, Reach, UpstreamEntry,
};
use bendhinge_http::{Fetched, fetch_path};
use bendhinge_ids::Instant;
use bendhinge_peer::{CachedPartsPage, ObservedCachedPart};
use hyper::StatusCode;
use smol::{Task, Timer};

use super::Control;

/// How often it is looked whether something can be learned.
const LOOK: Duration = Duration::from_millis(100);
/// Who asks the upstreams, and when. Asking takes the first some 0.1 s in a fleet of 22
/// upstreams, after which the others learn from it.
const LIMITS: CacheRecoveryTimings = CacheRecoveryTimings {
    initial_delay: Duration::from_millis(100),
    per_upstream_delay: Duration::from_millis(6),
    isolated_delay: Duration::from_millis(400),
    rank_step: Duration::from_secs(1),
    timeout: Duration::from_secs(6),
};
/// How many upstreams are asked at the same time: as many answers are held in memory.
const ASKED_AT_ONCE: usize = 32;
/// In how many parts a peer's knowledge is fetched: a page of 140 upstreams has some 4,000 entries of
/// 24 bytes.
const PAGES: u32 = 8;
/// Time for an upstream to list what it keeps.
const LIST_TIME: Duration = Duration::from_millis(500);
/// Shorter parts are not worth remembering.
const LEAST_TOKENS: u32 = 64;

/// Learns what upstreams keep, once.
pub(super) async fn run(control: Rc<Control>) {
    control.learn().await;
    control.is_informed.set(true);
}

impl Control {
    async fn learn(self: &Rc<Self>) {
        let plan = CacheRecovery::new(LIMITS, bendhinge_clock::now());
        loop {
            Timer::after(LOOK).await;
            if self.learn_from_another().await {
                return;
            }
            let Some(upstreams) = self.delivering.upstreams.list() else { continue };
            let now = bendhinge_clock::now();
            let seen = FleetView {
                live_routers: self.roster.borrow().live_count(now),
                rank: self.own_rank(now),
                upstream_count: upstreams.entries.len(),
            };
            match plan.next_step(seen, now) {
                CacheRecoveryStep::Wait => {}
                CacheRecoveryStep::QueryUpstreams => return self.learn_from_upstreams().await,
                CacheRecoveryStep::GiveUp => return,
            }
        }
    }

    /// This gateway's place among those that read the store.
    pub(super) fn own_rank(&self, now: Instant) -> usize {
        self.roster.borrow().own_rank(self.is_store_failing(), now)
    }

    /// Asks the gateway that hears of the store, or any; `false` if neither knew enough.
    async fn learn_from_another(&self) -> bool {
        let failing = self.is_store_failing();
        let contacts = self.roster.borrow().contacts(
            Reach::RelayAndRandom,
            failing,
            bendhinge_clock::now(),
            &mut super::draw,
        );
        for contact in contacts {
            if let Some(parts) = self.learn_from_peer(contact.address()).await {
                self.delivering.log.recovered("peer", contact.address(), parts);
                return true;
            }
        }
        false
    }

    /// Learns all that the gateway at `address` knows, page by page; `None` if it knew too little
    /// or did not answer to the end. Gives how many parts it knew.
    async fn learn_from_peer(&self, address: SocketAddr) -> Option<usize> {
        let mut parts = 0;
        for index in 0..PAGES {
            let page = CachedPartsPage { index, count: PAGES };
            let reads = self.peers.call(address, async |peer| peer.cached_parts(page).await).await;
            let reads = reads.ok()??;
            self.delivering.upstreams.recover_reads(&reads);
            parts += reads.len();
        }
        Some(parts)
    }

    async fn learn_from_upstreams(self: &Rc<Self>) {
        let Some(rules) = self.delivering.rules.current() else { return };
        let keeps_prompts = |pool: &_| rules.rules.pools.get(pool).is_some_and(|rule| rule.caches_prompts);
        for asked in self.delivering.upstreams.keeping(keeps_prompts).chunks(ASKED_AT_ONCE) {
            let listings: Vec<_> = asked.iter().map(|upstream| self.learn_from_upstream(upstream)).collect();
            for listing in listings {
                listing.await;
            }
        }
    }

    /// Learns from one upstream, in the background.
    fn learn_from_upstream(self: &Rc<Self>, upstream: &Arc<UpstreamEntry>) -> Task<()> {
        let control = Rc::clone(self);
        let upstream = Arc::clone(upstream);
        self.executor.spawn(async move {
            let reads = control.listed_by(&upstream).await;
            control.delivering.upstreams.recover_reads(&reads);
            control.delivering.log.recovered("upstream", upstream.address, reads.len());
        })
    }

    async fn listed_by(&self, upstream: &UpstreamEntry) -> Vec<ObservedCachedPart> {
        let dialect = &self.delivering.dialect;
        let pool = &self.delivering.pool;
        let fetched = fetch_path(pool, upstream.address, dialect.kept_path(), LIST_TIME).await;
        let Ok(Fetched { status, headers, body }) = fetched else { return Vec::new() };
        // Were another at the address by now, the one that is meant would be gone: what is kept from it is no loss.
        self.delivering.note_availability(None, upstream, dialect.read_availability(status, &headers));
        if status != StatusCode::OK {
            return Vec::new();
        }
        let parts = dialect.read_kept(&body).unwrap_or_default();
        let worth_it = parts.into_iter().filter(|part| part.tokens >= LEAST_TOKENS);
        worth_it
            .map(|part| ObservedCachedPart { part: part.id, upstream: upstream.hash, age: Duration::ZERO })
            .collect()
    }
}
