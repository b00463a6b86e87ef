//! After a start: learning what upstreams keep, from the other gateways, or, if all of them have
//! just started too, from the upstreams themselves.

use std::rc::Rc;
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::fetch_bytes;
use bendhinge_ids::Instant;
use bendhinge_peer::ReadWord;
use smol::Timer;

use super::Control;
use crate::clock;

/// How often it is looked whether something can be learned.
const LOOK: Duration = Duration::from_millis(100);
/// How long it is tried; by then own requests have taught enough.
const TRIED_FOR: Duration = Duration::from_secs(4);
/// What the others have to be heard of before the first in rank asks the upstreams.
const OTHERS_GET: Duration = Duration::from_millis(250);
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
    async fn learn(&self) {
        let started = clock::now();
        while clock::now().since(started) < TRIED_FOR {
            Timer::after(LOOK).await;
            if self.learn_from_another().await {
                return;
            }
            let others_had_time = clock::now().since(started) > OTHERS_GET;
            if others_had_time && self.own_rank(clock::now()) == 0 && self.delivering.upstreams.is_known() {
                return self.learn_from_upstreams().await;
            }
        }
    }

    fn own_rank(&self, now: Instant) -> usize {
        let failing = self.plan.borrow().is_failing();
        self.roster.borrow().own_rank(failing, now)
    }

    /// Asks the gateway that hears of the store, or any; `false` if neither knew enough.
    async fn learn_from_another(&self) -> bool {
        let failing = self.plan.borrow().is_failing();
        let contacts = self.roster.borrow().contacts(failing, clock::now(), &mut super::draw);
        for contact in contacts {
            let reads = self.peers.call(contact.address(), async |peer| peer.reads().await).await;
            if let Ok(Some(reads)) = reads {
                self.delivering.upstreams.recover_reads(&reads);
                self.delivering.log.recovered("peer", contact.address(), reads.len());
                return true;
            }
        }
        false
    }

    async fn learn_from_upstreams(&self) {
        let Some(rules) = self.delivering.rules.current() else { return };
        let keeps_prompts = |pool: &_| rules.rules.pools.get(pool).is_some_and(|rule| rule.keeps_prompts);
        for upstream in self.delivering.upstreams.keeping(keeps_prompts) {
            let reads = self.listed_by(&upstream).await;
            self.delivering.upstreams.recover_reads(&reads);
            self.delivering.log.recovered("upstream", upstream.address, reads.len());
        }
    }

    async fn listed_by(&self, upstream: &UpstreamEntry) -> Vec<ReadWord> {
        let dialect = &self.delivering.dialect;
        let pool = &self.delivering.pool;
        let fetched = fetch_bytes(pool, upstream.address, dialect.kept_path(), LIST_TIME).await;
        let parts = fetched.ok().and_then(|body| dialect.read_kept(&body).ok()).unwrap_or_default();
        let worth_it = parts.into_iter().filter(|part| part.tokens >= LEAST_TOKENS);
        worth_it
            .map(|part| ReadWord { part: part.id, upstream: upstream.hash, age: Duration::ZERO })
            .collect()
    }
}
