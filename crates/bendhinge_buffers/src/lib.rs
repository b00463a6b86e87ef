//! Limits the bytes that a process buffers for others: incomplete requests and responses, and responses that are not
//! read.
//!
//! Limits on a single message do not limit a process, because there is no limit to the number of messages.

mod budget;
mod ledger;

pub use budget::{BufferBudget, BufferUsage, Reservation};
pub use ledger::{BudgetExceeded, Ledger, Owner, ReservationId};
