//! Who is live and who is leaving, as the platform's lagging list and the routers themselves
//! tell it; and what routers tell each other within a fixed budget of bytes.
//!
//! `docs/design/MEMBERSHIP.md` says what was weighed.

mod directory;
mod exchange;
mod freshness;
mod list;
mod summary;

pub use directory::{Directory, suspect_after};
pub use exchange::{EXCHANGE_BYTES, Exchange};
pub use freshness::{Freshness, FreshnessLimits};
pub use list::{Member, MemberList, MemberRole, MemberState};
pub use summary::{ClassUsage, CustomerUsage, Summary, SummaryVersion, UpstreamCount};
