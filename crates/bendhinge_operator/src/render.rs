//! A plan as an operator reads it.

use std::fmt::Write as _;

use bendhinge_configuration::{Plan, PoolEffect, SectionChange};

/// The plan as text.
// Writing to a String cannot fail, here and below.
pub(crate) fn plan(plan: &Plan) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "Plan {} from revision {} ({})", plan.digest, plan.base_revision, plan.base);
    let _ = writeln!(text, "Nothing changes until it is confirmed and published.\n\nChanges:");
    plan.changes.iter().for_each(|change| write_change(&mut text, change));
    plan.pools.iter().for_each(|pool| write_pool(&mut text, pool));
    for share in &plan.shares {
        let (before, after) = (percent(share.before), percent(share.after));
        let _ = writeln!(
            text,
            "Class {}: {before} of a full pool before, {after} after; beyond that it is refused.",
            share.class
        );
    }
    if plan.pools.is_empty() && plan.shares.is_empty() {
        text.push_str("No chat moves, no load shifts, and no more is refused than before.\n");
    }
    text
}

fn write_change(text: &mut String, change: &SectionChange) {
    let _ = writeln!(text, "  [{}]", change.section);
    let gone = change.before.lines().filter(|line| !change.after.lines().any(|other| other == *line));
    let new = change.after.lines().filter(|line| !change.before.lines().any(|other| other == *line));
    gone.for_each(|line| {
        let _ = writeln!(text, "  - {line}");
    });
    new.for_each(|line| {
        let _ = writeln!(text, "  + {line}");
    });
}

fn write_pool(text: &mut String, pool: &PoolEffect) {
    let _ = writeln!(text, "Pool {}:", pool.pool);
    let _ = writeln!(
        text,
        "  upstreams that take new work: {} before, {} after",
        pool.upstreams_before, pool.upstreams_after
    );
    let _ =
        writeln!(text, "  requests served at once: {} before, {} after", pool.slots_before, pool.slots_after);
    let _ = writeln!(text, "  chats that move, losing their context: {}", percent(pool.chats_moved));
    if pool.reloads {
        text.push_str(
            "  engines are ordered to load another model, version or adapter; all context there is lost\n",
        );
    }
    for data_centre in &pool.data_centres {
        let _ = writeln!(
            text,
            "  load in {}: {} before, {} after",
            data_centre.data_centre,
            percent(data_centre.before),
            percent(data_centre.after)
        );
    }
    if pool.upstreams_after == 0 {
        text.push_str("  EVERY REQUEST WOULD BE REFUSED: no upstream would be left\n");
    }
}

fn percent(part: f64) -> String {
    format!("{:.1} %", part * 100.0)
}
