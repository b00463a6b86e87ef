//! Which upstreams that are warming up a request may go to.
//!
//! For some seconds after its start an upstream bears a few requests a second, from all routers together, and falls
//! over well above that. It is empty and it is the home of subjects, so that all routers would choose
//! it at once; and none of them knows in time what the others send.
//!
//! So each request draws one of the pool's upstreams, each as likely as any other, and may go to an upstream that
//! is warming up only if it drew that one. An upstream of a pool of N then gets at most one in N of the pool's
//! requests, whatever the routers know of each other. Where that is more than it bears, a router lets through
//! no more than its share, by its own demand and the number of routers that it knows. Neither alone would do: the
//! draw knows nothing of bursts, and the share nothing of routers that are cut off or have just started.
//!
//! `docs/design/SHIFTED-WORK.md` has the ways that were weighed, with their figures.

use crate::Candidate;
use crate::draw::draw_share;

/// The part of what an upstream bears that is sent to it, since the requests of a second scatter around their
/// mean. With 0.6 of 9.6 a second, 22 came in one of 1,800 seconds at which a third of the routers was not
/// known; with 0.4, 16 ([`WarmingShare`]'s tests; twice what it bears is too many).
const USED: f32 = 0.4;
/// Seeds that make two numbers of a request's one.
const DRAW_SEED: u64 = 1;
const SHARE_SEED: u64 = 2;

/// What a router knows of a pool whose upstreams warm up.
#[derive(Clone, Copy, Debug)]
pub struct WarmingShare {
    /// Requests a second that one upstream bears while it warms up.
    pub rate: f32,
    /// Requests a second for the pool that come to this router.
    pub demand: f32,
    /// How many routers there are, this one among them; `None` as long as it knows of no other.
    pub routers: Option<usize>,
}

impl WarmingShare {
    /// Takes out of `candidates` those that are warming up, but for the one that the request with the number
    /// `tie_breaker` may go to, if there is one. If all are warming up, none may be left: then it
    /// can be served nowhere yet.
    pub fn spare(&self, candidates: &mut [Candidate], tie_breaker: u64) {
        let working: Vec<usize> = (0..candidates.len()).filter(|at| candidates[*at].takes_work).collect();
        let warming = working.iter().filter(|at| candidates[**at].is_warming).count();
        if warming == 0 {
            return;
        }
        let drawn = working[position(draw_share(tie_breaker, DRAW_SEED), working.len())];
        let is_let_through =
            draw_share(tie_breaker, SHARE_SEED) < self.passing(working.len(), warming == working.len());
        for at in working {
            let may_go = !candidates[at].is_warming || at == drawn && is_let_through;
            candidates[at].takes_work = may_go;
        }
    }

    /// The share of the requests that drew an upstream that may go to it, of `upstreams` that take work.
    fn passing(&self, upstreams: usize, all_warm_up: bool) -> f32 {
        let Some(routers) = self.routers else {
            // Who knows nobody spares them, unless there is nothing else.
            return if all_warm_up { 1.0 } else { 0.0 };
        };
        let fleet_demand = self.demand * routers as f32;
        let drawing_one = fleet_demand / upstreams as f32;
        USED * self.rate / drawing_one.max(f32::MIN_POSITIVE)
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below the count")]
fn position(random: f32, count: usize) -> usize {
    ((random * count as f32) as usize).min(count - 1)
}
