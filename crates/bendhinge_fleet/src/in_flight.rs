//! The sends in flight of a suspect request or prompt part, as reported by all routers.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

/// How long a reported send counts as in flight if its end is not reported, since the router that sent it
/// may have crashed or be unreachable.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(10);

/// The number of sends that a router has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightSends {
    /// The hash of the router's address.
    pub router: NameHash,
    /// The number of sends in flight; 0 once all have ended.
    pub count: u8,
    /// When the last of them started or ended.
    pub at: Instant,
}

/// Returns the number of sends that all routers have in flight.
pub(crate) fn count_in_flight(sends: &[InFlightSends], now: Instant) -> usize {
    let recent = sends.iter().filter(|entry| now.since(entry.at) < IN_FLIGHT_TTL);
    recent.map(|entry| usize::from(entry.count)).sum()
}

/// Records the sends that a router reports; returns `true` if their number changed.
pub(crate) fn record_sends(sends: &mut Vec<InFlightSends>, reported: InFlightSends) -> bool {
    // Expired entries are dropped so that they are not forwarded indefinitely.
    sends.retain(|entry| reported.at.since(entry.at) < IN_FLIGHT_TTL);
    match sends.iter_mut().find(|entry| entry.router == reported.router) {
        Some(entry) if entry.at >= reported.at => false,
        Some(entry) => {
            let is_changed = entry.count != reported.count;
            *entry = reported;
            is_changed
        }
        None => {
            sends.push(reported);
            reported.count > 0
        }
    }
}

/// Changes the number of sends of `router`; returns `true` if it is another one then.
pub(crate) fn change_sends(
    sends: &mut Vec<InFlightSends>,
    router: NameHash,
    now: Instant,
    apply: impl Fn(u8) -> u8,
) -> bool {
    let existing = sends.iter().find(|entry| entry.router == router);
    let count = apply(existing.map_or(0, |existing| existing.count));
    // Keeps two changes within one clock tick in order.
    let at = existing.map_or(now, |existing| now.max(existing.at + Duration::from_micros(1)));
    record_sends(sends, InFlightSends { router, count, at })
}
