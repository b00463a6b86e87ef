//! Totals of the fleet, shared between the threads of this gateway.

use std::net::SocketAddr;
use std::sync::Mutex;

use bendhinge_fleet::{Figure, FleetTotal, FleetTotals, PackedTotals, TotalKey};
use bendhinge_ids::{Instant, NameHash, PoolName};

use crate::state::update_source;

/// Totals of the fleet as known to this gateway.
#[derive(Default)]
pub(crate) struct SharedTotals(Mutex<FleetTotals>);

impl SharedTotals {
    /// Returns the total of `key`, or `None` if nothing is known of other gateways.
    pub(crate) fn get(&self, key: TotalKey, now: Instant) -> Option<FleetTotal> {
        self.0.lock().unwrap().get(key, now)
    }

    /// Returns the number of requests that all gateways together have in progress at an engine pool.
    pub(crate) fn engine_requests(&self, pool: &PoolName, now: Instant) -> Option<f32> {
        self.get(engine_requests_key(pool), now).map(|total| total.value)
    }

    /// Calls `operation` with the totals locked.
    pub(crate) fn with<T>(&self, operation: impl FnOnce(&FleetTotals) -> T) -> T {
        operation(&self.0.lock().unwrap())
    }

    /// Sets the number of gateways in the fleet, including this one.
    pub(crate) fn set_gateway_count(&self, gateways: usize) {
        self.0.lock().unwrap().set_fleet_size(u32::try_from(gateways).unwrap_or(u32::MAX));
    }

    /// Returns the subtotal to send to the relay, with the current figures of this gateway.
    pub(crate) fn subtotal_for(&self, relay: SocketAddr, own: Vec<Figure>, now: Instant) -> PackedTotals {
        let mut totals = self.0.lock().unwrap();
        totals.set_own(own, now);
        totals.subtotal_for(update_source(relay), now)
    }

    /// Records the subtotal of `member` and returns the totals for the response.
    pub(crate) fn exchange_with_member(
        &self,
        member: SocketAddr,
        subtotal: &PackedTotals,
        own: Vec<Figure>,
        now: Instant,
    ) -> PackedTotals {
        let mut totals = self.0.lock().unwrap();
        totals.set_own(own, now);
        totals.record_subtotal(update_source(member), subtotal, now);
        totals.totals_for(update_source(member), now)
    }

    /// Records the totals in the response of the relay to a request that was sent at `requested_at`.
    pub(crate) fn record_totals(&self, relay: SocketAddr, totals: &PackedTotals, requested_at: Instant) {
        self.0.lock().unwrap().record_totals(update_source(relay), totals, requested_at);
    }
}

/// Returns the key of the requests in progress at an engine pool.
pub(crate) fn engine_requests_key(pool: &PoolName) -> TotalKey {
    TotalKey::of(&[NameHash::of(pool.as_str()), NameHash::of("requests")])
}
