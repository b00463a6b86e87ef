//! SVG diagram of the timeline: one lane per process, time from left to right, connecting lines for messages.

use std::collections::HashMap;
use std::fmt::Write as _;

use crate::{ProcessId, TimelineEntry};

// Layout of the diagram, in pixels.
const LEFT_MARGIN: f64 = 140.0;
const PLOT_WIDTH: f64 = 1_200.0;
const LANE_HEIGHT: f64 = 70.0;
const TOP_MARGIN: f64 = 50.0;

/// Renders the timeline as a self-contained SVG image; the tooltip of each event shows its text.
#[must_use]
pub fn render_svg(timeline: &[TimelineEntry]) -> String {
    let diagram = Diagram::new(timeline);
    let mut out = diagram.header();
    for (process, lane) in &diagram.lanes {
        draw_lane(&mut out, process, *lane);
    }
    for entry in timeline {
        diagram.draw_message(&mut out, entry);
    }
    for entry in timeline {
        diagram.draw_event(&mut out, entry);
    }
    out.push_str("</svg>\n");
    out
}

struct Diagram<'a> {
    lanes: HashMap<&'a ProcessId, usize>,
    coordinates: HashMap<(&'a ProcessId, u64), (f64, f64)>,
}

impl<'a> Diagram<'a> {
    fn new(timeline: &'a [TimelineEntry]) -> Self {
        let mut lanes = HashMap::new();
        for entry in timeline {
            let next_lane = lanes.len();
            lanes.entry(&entry.process).or_insert(next_lane);
        }
        let first_micros = timeline.iter().map(|entry| entry.event.at_micros).min().unwrap_or(0);
        let last_micros = timeline.iter().map(|entry| entry.event.at_micros).max().unwrap_or(0);
        let span_micros = (last_micros - first_micros).max(1) as f64;
        let locate = |entry: &'a TimelineEntry| {
            let x = LEFT_MARGIN + (entry.event.at_micros - first_micros) as f64 / span_micros * PLOT_WIDTH;
            let y = TOP_MARGIN + lanes[&entry.process] as f64 * LANE_HEIGHT;
            ((&entry.process, entry.event.sequence.0), (x, y))
        };
        let coordinates = timeline.iter().map(locate).collect();
        Self { lanes, coordinates }
    }

    fn header(&self) -> String {
        let height = TOP_MARGIN + LANE_HEIGHT * self.lanes.len() as f64;
        let width = LEFT_MARGIN + PLOT_WIDTH + 40.0;
        format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
             <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
             <text x=\"10\" y=\"18\">Time by the clock of each box. Red lines are messages; their order holds regardless of clock skew.</text>\n"
        )
    }

    fn draw_message(&self, out: &mut String, entry: &TimelineEntry) {
        let from = entry
            .event
            .cause
            .as_ref()
            .and_then(|link| self.coordinates.get(&(&link.process, link.sequence.0)));
        let to = self.coordinates.get(&(&entry.process, entry.event.sequence.0));
        if let (Some((x1, y1)), Some((x2, y2))) = (from, to) {
            let _ = writeln!(
                out,
                "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"#c33\"/>"
            );
        }
    }

    fn draw_event(&self, out: &mut String, entry: &TimelineEntry) {
        let (x, y) = self.coordinates[&(&entry.process, entry.event.sequence.0)];
        let text = escape(&entry.event.kind.to_string());
        let _ = writeln!(
            out,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"#246\"><title>{text}</title></circle>"
        );
    }
}

// Writing to a `String` cannot fail, so the `draw_*` functions discard the result.
fn draw_lane(out: &mut String, process: &ProcessId, lane: usize) {
    let y = TOP_MARGIN + lane as f64 * LANE_HEIGHT;
    let end = LEFT_MARGIN + PLOT_WIDTH;
    let _ = writeln!(out, "<text x=\"10\" y=\"{y}\">{}</text>", escape(&process.name));
    let _ = writeln!(out, "<line x1=\"{LEFT_MARGIN}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\" stroke=\"#bbb\"/>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
