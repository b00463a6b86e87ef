//! Text format of a plan.

use std::fmt::Write as _;

use bendhinge_configuration::{Plan, PoolEffect, SectionChange};

/// Formats a plan for an operator.
// Writing to a `String` cannot fail, so this and the `write_*` functions discard the result.
pub(crate) fn render_plan(plan: &Plan) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "Plan {} from revision {} ({})", plan.digest, plan.base_revision, plan.base);
    let _ = writeln!(text, "Nothing changes until it is confirmed and published.\n\nChanges:");
    plan.changes.iter().for_each(|change| write_change(&mut text, change));
    plan.pools.iter().for_each(|effect| write_pool_effect(&mut text, effect));
    for share in &plan.shares {
        let (before, after) = (format_percent(share.before), format_percent(share.after));
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
    let removed = change.before.lines().filter(|line| !change.after.lines().any(|other| other == *line));
    let added = change.after.lines().filter(|line| !change.before.lines().any(|other| other == *line));
    removed.for_each(|line| {
        let _ = writeln!(text, "  - {line}");
    });
    added.for_each(|line| {
        let _ = writeln!(text, "  + {line}");
    });
}

fn write_pool_effect(text: &mut String, effect: &PoolEffect) {
    let _ = writeln!(text, "Pool {}:", effect.pool);
    let _ = writeln!(
        text,
        "  upstreams that take new work: {} before, {} after",
        effect.upstreams_before, effect.upstreams_after
    );
    let _ = writeln!(
        text,
        "  requests served at once: {} before, {} after",
        effect.slots_before, effect.slots_after
    );
    let _ = writeln!(text, "  chats that move, losing their context: {}", format_percent(effect.chats_moved));
    if effect.reloads {
        text.push_str(
            "  engines are ordered to load another model, version or adapter; all context there is lost\n",
        );
    }
    for data_centre in &effect.data_centres {
        let _ = writeln!(
            text,
            "  load in {}: {} before, {} after",
            data_centre.data_centre,
            format_percent(data_centre.before),
            format_percent(data_centre.after)
        );
    }
    if effect.upstreams_after == 0 {
        text.push_str("  EVERY REQUEST WOULD BE REFUSED: no upstream would be left\n");
    }
}

fn format_percent(fraction: f64) -> String {
    format!("{:.1} %", fraction * 100.0)
}
