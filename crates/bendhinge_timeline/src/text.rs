//! Text format of the timeline.

use crate::{OrderBasis, TimelineEntry};

/// Formats each event as one line: time by the clock of its box, order basis, box, request, event.
///
/// The order basis is `|` for the same process, `>` for a chain of messages, `~` for clocks only.
#[must_use]
pub fn render_lines(timeline: &[TimelineEntry]) -> Vec<String> {
    timeline.iter().map(format_entry).collect()
}

fn format_entry(entry: &TimelineEntry) -> String {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    const SECONDS_PER_DAY: u64 = 86_400;
    let basis_symbol = match entry.order_basis {
        OrderBasis::SameProcess => '|',
        OrderBasis::MessageChain => '>',
        OrderBasis::WallClock => '~',
    };
    let seconds = entry.event.at_micros / MICROS_PER_SECOND % SECONDS_PER_DAY;
    let (hours, minutes, seconds) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    let micros = entry.event.at_micros % MICROS_PER_SECOND;
    let request = entry.event.request.as_deref().unwrap_or("-");
    let (process, kind) = (&entry.process.name, &entry.event.kind);
    format!(
        "{hours:02}:{minutes:02}:{seconds:02}.{micros:06} {basis_symbol} {process:<12} {request:<16} {kind}"
    )
}
