//! The time line as text.

use crate::{Order, Placed};

/// One line an event: time by its box's clock, how its place is known, box, request, event.
///
/// `|` stands for the same process, `>` for a chain of messages, `~` for clocks alone.
#[must_use]
pub fn lines(line: &[Placed]) -> Vec<String> {
    line.iter().map(text).collect()
}

fn text(placed: &Placed) -> String {
    const MICROS: u64 = 1_000_000;
    const DAY_SECONDS: u64 = 86_400;
    let mark = match placed.order {
        Order::SameProcess => '|',
        Order::Message => '>',
        Order::Clocks => '~',
    };
    let seconds = placed.event.at_micros / MICROS % DAY_SECONDS;
    let (hours, minutes, seconds) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    let micros = placed.event.at_micros % MICROS;
    let request = placed.event.request.as_deref().unwrap_or("-");
    let (process, kind) = (&placed.process.name, &placed.event.kind);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{micros:06} {mark} {process:<12} {request:<16} {kind}")
}
