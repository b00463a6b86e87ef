//! Recovers the records of the upstreams' cached prompts after a start, from a peer or, if all peers
//! have just started as well, from the upstreams.

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

use super::ControlPlane;

/// Interval between recovery attempts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timings by which a gateway queries the upstreams itself.
const RECOVERY_TIMINGS: CacheRecoveryTimings = CacheRecoveryTimings {
    initial_delay: Duration::from_millis(100),
    per_upstream_delay: Duration::from_millis(6),
    isolated_delay: Duration::from_millis(400),
    rank_step: Duration::from_secs(1),
    timeout: Duration::from_secs(6),
};
/// Maximum number of concurrent queries of upstreams, which bounds the memory used by their
/// responses.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Number of pages in which a peer's cached parts are fetched, which bounds the size of each response.
const PEER_READ_PAGES: u32 = 8;
/// Timeout for an upstream to list its cached parts.
const UPSTREAM_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum size of a part that is recorded.
const MIN_PART_TOKENS: u32 = 64;

/// Recovers once, then allows peers to recover from this gateway.
pub(super) async fn run(control: Rc<ControlPlane>) {
    control.recover().await;
    control.is_recovery_done.set(true);
}

impl ControlPlane {
    async fn recover(self: &Rc<Self>) {
        let recovery = CacheRecovery::new(RECOVERY_TIMINGS, bendhinge_clock::now());
        loop {
            Timer::after(CHECK_INTERVAL).await;
            if self.recover_from_any_peer().await {
                return;
            }
            let Some(upstreams) = self.context.upstreams.list() else { continue };
            let now = bendhinge_clock::now();
            let view = FleetView {
                live_routers: self.roster.borrow().live_count(now),
                rank: self.own_rank(now),
                upstream_count: upstreams.entries.len(),
            };
            match recovery.next_step(view, now) {
                CacheRecoveryStep::Wait => {}
                CacheRecoveryStep::QueryUpstreams => return self.recover_from_upstreams().await,
                CacheRecoveryStep::GiveUp => return,
            }
        }
    }

    /// Returns this gateway's rank in the order of store reads.
    pub(super) fn own_rank(&self, now: Instant) -> usize {
        self.roster.borrow().own_rank(self.is_store_failing(), now)
    }

    /// Recovers from the relay or a random member. Returns `false` if neither could send all records.
    async fn recover_from_any_peer(&self) -> bool {
        let store_failing = self.is_store_failing();
        let contacts = self.roster.borrow().contacts(
            Reach::RelayAndRandom,
            store_failing,
            bendhinge_clock::now(),
            &mut super::random_below,
        );
        for contact in contacts {
            if let Some(parts) = self.recover_from_peer(contact.address()).await {
                self.context.log.cached_parts_recovered("peer", contact.address(), parts);
                return true;
            }
        }
        false
    }

    /// Recovers from the gateway at `address`, page by page. Returns the number of parts, or `None`
    /// if the peer is still recovering or did not respond to every call.
    async fn recover_from_peer(&self, address: SocketAddr) -> Option<usize> {
        let mut parts = 0;
        for index in 0..PEER_READ_PAGES {
            let page = CachedPartsPage { index, count: PEER_READ_PAGES };
            let cached_parts = self.peers.call(address, async |peer| peer.cached_parts(page).await).await;
            let cached_parts = cached_parts.ok()??;
            self.context.upstreams.restore_cached_parts(&cached_parts);
            parts += cached_parts.len();
        }
        Some(parts)
    }

    async fn recover_from_upstreams(self: &Rc<Self>) {
        let Some(rules) = self.context.rules.current() else { return };
        let caches_prompts = |pool: &_| rules.rules.pools.get(pool).is_some_and(|rule| rule.caches_prompts);
        for batch in self.context.upstreams.available_in_pools(caches_prompts).chunks(MAX_CONCURRENT_QUERIES)
        {
            let tasks: Vec<_> = batch.iter().map(|upstream| self.spawn_upstream_recovery(upstream)).collect();
            for task in tasks {
                task.await;
            }
        }
    }

    /// Recovers from one upstream in the background.
    fn spawn_upstream_recovery(self: &Rc<Self>, upstream: &Arc<UpstreamEntry>) -> Task<()> {
        let control = Rc::clone(self);
        let upstream = Arc::clone(upstream);
        self.executor.spawn(async move {
            let cached_parts = control.query_cached_parts(&upstream).await;
            control.context.upstreams.restore_cached_parts(&cached_parts);
            control.context.log.cached_parts_recovered("upstream", upstream.address, cached_parts.len());
        })
    }

    async fn query_cached_parts(&self, upstream: &UpstreamEntry) -> Vec<ObservedCachedPart> {
        let dialect = &self.context.dialect;
        let pool = &self.context.connection_pool;
        let fetched =
            fetch_path(pool, upstream.address, dialect.cached_parts_path(), UPSTREAM_QUERY_TIMEOUT).await;
        let Ok(Fetched { status, headers, body }) = fetched else { return Vec::new() };
        // If another upstream has taken over the address, the expected one is gone and marking it as
        // unavailable does no harm.
        self.context.record_availability(None, upstream, dialect.parse_availability(status, &headers));
        if status != StatusCode::OK {
            return Vec::new();
        }
        let parts = dialect.parse_cached_parts(&body).unwrap_or_default();
        let large_parts = parts.into_iter().filter(|part| part.tokens >= MIN_PART_TOKENS);
        large_parts
            .map(|part| ObservedCachedPart { part: part.id, upstream: upstream.hash, age: Duration::ZERO })
            .collect()
    }
}
