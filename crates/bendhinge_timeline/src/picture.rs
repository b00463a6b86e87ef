//! The time line as a picture: one lane a process, time from left to right, lines for messages.

use std::collections::HashMap;
use std::fmt::Write as _;

use crate::{Placed, ProcessId};

const LEFT: f64 = 140.0;
const WIDTH: f64 = 1_200.0;
const LANE: f64 = 70.0;
const TOP: f64 = 50.0;

/// Draws `line` as a self-contained SVG; pointing at an event shows its text.
#[must_use]
pub fn svg(line: &[Placed]) -> String {
    let picture = Picture::new(line);
    let mut out = picture.head();
    for (process, lane) in &picture.lanes {
        draw_lane(&mut out, process, *lane);
    }
    for placed in line {
        picture.draw_message(&mut out, placed);
    }
    for placed in line {
        picture.draw_event(&mut out, placed);
    }
    out.push_str("</svg>\n");
    out
}

struct Picture<'a> {
    lanes: HashMap<&'a ProcessId, usize>,
    places: HashMap<(&'a ProcessId, u64), (f64, f64)>,
}

impl<'a> Picture<'a> {
    fn new(line: &'a [Placed]) -> Self {
        let mut lanes = HashMap::new();
        for placed in line {
            let next = lanes.len();
            lanes.entry(&placed.process).or_insert(next);
        }
        let first = line.iter().map(|placed| placed.event.at_micros).min().unwrap_or(0);
        let last = line.iter().map(|placed| placed.event.at_micros).max().unwrap_or(0);
        let span = (last - first).max(1) as f64;
        let place = |placed: &'a Placed| {
            let x = LEFT + (placed.event.at_micros - first) as f64 / span * WIDTH;
            let y = TOP + lanes[&placed.process] as f64 * LANE;
            ((&placed.process, placed.event.sequence.0), (x, y))
        };
        let places = line.iter().map(place).collect();
        Self { lanes, places }
    }

    fn head(&self) -> String {
        let height = TOP + LANE * self.lanes.len() as f64;
        let width = LEFT + WIDTH + 40.0;
        format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
             <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
             <text x=\"10\" y=\"18\">Time by each box's own clock; red lines are messages, which hold whatever the clocks say.</text>\n"
        )
    }

    fn draw_message(&self, out: &mut String, placed: &Placed) {
        let from =
            placed.event.cause.as_ref().and_then(|link| self.places.get(&(&link.process, link.sequence.0)));
        let to = self.places.get(&(&placed.process, placed.event.sequence.0));
        if let (Some((x1, y1)), Some((x2, y2))) = (from, to) {
            let _ = writeln!(
                out,
                "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#c33\"/>"
            );
        }
    }

    fn draw_event(&self, out: &mut String, placed: &Placed) {
        let (x, y) = self.places[&(&placed.process, placed.event.sequence.0)];
        let text = escape(&placed.event.kind.to_string());
        let _ = writeln!(
            out,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"#246\"><title>{text}</title></circle>"
        );
    }
}

// Writing to a String cannot fail, here and below.
fn draw_lane(out: &mut String, process: &ProcessId, lane: usize) {
    let y = TOP + lane as f64 * LANE;
    let end = LEFT + WIDTH;
    let _ = writeln!(out, "<text x=\"10\" y=\"{y}\">{}</text>", escape(&process.name));
    let _ = writeln!(out, "<line x1=\"{LEFT}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"#bbb\"/>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
