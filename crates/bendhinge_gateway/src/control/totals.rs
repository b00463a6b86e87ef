//! Figures of this gateway in the totals of the fleet.

use std::net::SocketAddr;

use bendhinge_fleet::{Figure, PackedTotals};
use bendhinge_ids::Instant;
use bendhinge_peer::PeerMessage;

use super::ControlPlane;
use crate::totals::engine_requests_key;

impl ControlPlane {
    /// Returns the subtotal for the preferred relay. The top-ranked gateway sends none: its relay is a member that
    /// sends it one.
    pub(super) fn subtotal_for(&self, relay: SocketAddr, now: Instant) -> Option<PackedTotals> {
        if !self.shares_totals() || self.roster.borrow().own_rank(self.is_store_failing(), now) == 0 {
            return None;
        }
        Some(self.context.totals.subtotal_for(relay, self.own_figures(now), now))
    }

    /// Returns the totals for the response to a request that contains a subtotal.
    pub(super) fn totals_for(
        &self,
        member: SocketAddr,
        request: &PeerMessage,
        now: Instant,
    ) -> Option<PackedTotals> {
        let subtotal = request.totals.as_ref()?;
        if !self.shares_totals() {
            return None;
        }
        Some(self.context.totals.exchange_with_member(member, subtotal, self.own_figures(now), now))
    }

    /// Whether a decision that uses totals is in effect.
    fn shares_totals(&self) -> bool {
        let settings = self.context.load_settings;
        let is_active = |activation| self.context.upstreams.is_active(activation);
        is_active(settings.admission)
            || is_active(settings.shared_response_times)
            || is_active(settings.popular_prompts)
    }

    fn own_figures(&self, now: Instant) -> Vec<Figure> {
        let engine_requests = self.context.upstreams.own_engine_requests(now).into_iter();
        let mut figures: Vec<Figure> =
            engine_requests.map(|(pool, value)| Figure { key: engine_requests_key(&pool), value }).collect();
        figures.extend(self.context.admission.own_figures(now));
        figures.extend(self.context.upstreams.response_time_figures(now));
        figures.extend(self.context.upstreams.key_request_figures());
        figures
    }
}
