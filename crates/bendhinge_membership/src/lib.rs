//! Fleet membership: the platform's member list, the summaries that routers exchange by gossip,
//! and the routers that are live or leaving according to both.
//!
//! See `docs/design/MEMBERSHIP.md` for the design.

mod directory;
mod exchange;
mod freshness;
mod list;
mod summary;

pub use directory::{Directory, suspicion_timeout};
pub use exchange::{Exchange, MAX_EXCHANGE_BYTES};
pub use freshness::{Freshness, FreshnessLimits};
pub use list::{Member, MemberList, MemberRole, MemberState};
pub use summary::{ClassUsage, CustomerUsage, Summary, SummaryVersion, UpstreamLoad, distrust_own_links};
