//! The duty of placement: choosing the upstream for a turn, within the bound on its load.

mod choose;
mod knowledge;
mod permit;

pub(crate) use choose::{Chosen, choose, note_displaced};
pub(crate) use knowledge::{Health, own_counts, refresh, refresh_totals};
pub(crate) use permit::{Permit, answer_peer};
