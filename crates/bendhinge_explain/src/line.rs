//! The lines of a gateway's log that concern requests and beliefs.

use serde::Deserialize;

/// A send of a request to an upstream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Send {
    /// The upstream's name.
    pub upstream: String,
    /// Why it was chosen.
    pub why: String,
    /// Requests believed to be there.
    pub load: f32,
    /// When, in milliseconds from the request's arrival.
    pub at_ms: u64,
    /// How it ended, if not with an answer that was passed on.
    pub end: Option<String>,
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A request that was sent.
    Request {
        /// Its number.
        request: String,
        /// Its route.
        route: String,
        /// What became of it.
        outcome: String,
        /// The status that its caller got.
        status: u16,
        /// The gateway's own result code, if the answer was its own.
        code: Option<String>,
        /// How long it took, in milliseconds.
        ms: u64,
        /// Its sends.
        sends: Vec<Send>,
        /// Whether it ran.
        ran: String,
        /// What all tries of the same request have alike, if a connection was lost under this one.
        digest: Option<String>,
    },
    /// A request that was not sent.
    Refused {
        /// Its number.
        request: String,
        /// Why.
        code: String,
        /// How old the knowledge was that the rules are current, in milliseconds.
        rules_age_ms: Option<u64>,
        /// What all tries of the same request have alike, if it is for those that this one was refused.
        digest: Option<String>,
    },
    /// An upstream crashed under a request.
    Crash {
        /// Its number.
        request: String,
        /// What all tries of it have alike.
        digest: String,
        /// The upstream.
        upstream: String,
    },
    /// Rules or upstreams changed.
    Belief {
        /// Which of them.
        what: String,
        /// The store's revision.
        revision: u64,
        /// From where it was heard.
        from: String,
    },
    /// Something that the gateway depends on was lost or is there again.
    Dependency {
        /// What.
        what: String,
        /// Whether it is there.
        there: bool,
        /// Why not.
        detail: String,
    },
    /// An upstream is spared for a while.
    UpstreamRests {
        /// Which one.
        upstream: String,
        /// How the last send to it ended.
        end: String,
    },
    /// Lines are missing.
    LinesDropped {
        /// How many.
        dropped: u64,
    },
    /// Anything else.
    #[serde(other)]
    Other,
}

/// A line with when it was written and by whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The gateway that wrote it.
    pub gateway: String,
    /// When, in milliseconds of its box's clock.
    pub t: u64,
    /// What it tells.
    pub event: Event,
}

#[derive(Deserialize)]
struct Line {
    t: u64,
    #[serde(flatten)]
    event: Event,
}

/// The lines of a log that can be read; others are no concern of a request. Where text stands
/// before a line's JSON, its last word names the gateway, otherwise `gateway` does.
#[must_use]
pub fn read_log(gateway: &str, text: &str) -> Vec<Entry> {
    text.lines().filter_map(|line| read_line(gateway, line)).collect()
}

fn read_line(gateway: &str, line: &str) -> Option<Entry> {
    let (before, json) = line.split_at(line.find('{')?);
    let Line { t, event } = serde_json::from_str(json).ok()?;
    let gateway = before.split_whitespace().next_back().unwrap_or(gateway);
    Some(Entry { gateway: gateway.to_owned(), t, event })
}
