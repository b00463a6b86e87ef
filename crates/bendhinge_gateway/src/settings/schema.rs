//! The sections and keys of a gateway's settings.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The schema of a gateway's settings.
pub const SCHEMA: Schema = Schema {
    title: "Gateway settings",
    sections: &[GATEWAY, DATA_CENTRE, STORE, FLEET, BELIEFS, UPSTREAMS, RETRIES, QUARANTINE, STOP],
};

const GATEWAY: SectionKind = SectionKind {
    kind: "gateway",
    named: false,
    required: true,
    help: "The gateway itself.",
    keys: &[
        Key::new("name", "name", None, "The box's name."),
        Key::new("data_centre", "name", None, "The box's data centre."),
        Key::new("callers", "address:port", None, "Where callers connect."),
        Key::new("ready", "address:port", None, "Where a balancer asks whether the gateway is ready."),
        Key::new("peers", "address:port", None, "Where other gateways connect."),
        Key::new(
            "connections",
            "whole number",
            Some("3000"),
            "Callers' connections; further ones are closed.",
        ),
        Key::new(
            "link_mbps",
            "number",
            Some("1000"),
            "Megabits a second that the box's link carries: rules that take long on it are read the more seldom.",
        ),
    ],
};

const DATA_CENTRE: SectionKind = SectionKind {
    kind: "data_centre",
    named: true,
    required: false,
    help: "A data centre of upstreams.",
    keys: &[Key::new(
        "region",
        "name",
        None,
        "Its region. Requests that must stay in named regions go to no upstream whose region is not said here.",
    )],
};

const STORE: SectionKind = SectionKind {
    kind: "store",
    named: false,
    required: true,
    help: "The platform's store.",
    keys: &[
        Key::new("address", "address:port", None, "Its address."),
        Key::new("call_ms", "milliseconds", Some("1200"), "Time for an answer."),
        Key::new(
            "first_ms",
            "milliseconds",
            Some("700"),
            "Age of the belief at which the first in rank reads.",
        ),
        Key::new("step_ms", "milliseconds", Some("600"), "How much later the next in rank does."),
        Key::new("last_ms", "milliseconds", Some("2200"), "Age at which every gateway reads."),
        Key::new(
            "retry_ms",
            "milliseconds",
            Some("2000"),
            "Pause after a failed read while others are heard.",
        ),
        Key::new("urgent_retry_ms", "milliseconds", Some("300"), "Pause after a failed read when nobody is."),
    ],
};

const FLEET: SectionKind = SectionKind {
    kind: "fleet",
    named: false,
    required: true,
    help: "The other gateways.",
    keys: &[
        Key::new("key", "16 or more characters", None, "Shows that a gateway belongs to the fleet."),
        Key::new(
            "seeds",
            "addresses",
            Some(""),
            "Gateways to look for, separated by commas; they may be down.",
        ),
        Key::new("exchange_ms", "milliseconds", Some("400"), "The period of exchanges."),
        Key::new("call_ms", "milliseconds", Some("500"), "Time for another gateway to answer."),
        Key::new("dead_ms", "milliseconds", Some("3000"), "Silence after which a gateway counts as dead."),
        Key::new("forget_ms", "milliseconds", Some("60000"), "Silence after which it is forgotten."),
    ],
};

const BELIEFS: SectionKind = SectionKind {
    kind: "beliefs",
    named: false,
    required: true,
    help: "How long what is believed may be acted on.",
    keys: &[
        Key::new(
            "rules_lease_ms",
            "milliseconds",
            // No default: any limit refuses all requests with a key in an outage of the store that
            // outlasts it, and no limit serves revoked keys as long. Neither may come by omission.
            None,
            "No request with a key is sent under rules that were not known to be current within this time; 0 is no limit. It has to be said.",
        ),
        Key::new(
            "margin_ms",
            "milliseconds",
            Some("300"),
            "What is kept of that for the way to the upstream.",
        ),
        Key::new(
            "first_rules_ms",
            "milliseconds",
            // Where all start at once, a few read them and the others hear of them within some exchanges.
            Some("600"),
            "How long after the start of the process requests wait for the first rules, but no longer than an eighth of their time; a caller that is refused instead loses one of its few tries.",
        ),
    ],
};

const UPSTREAMS: SectionKind = SectionKind {
    kind: "upstreams",
    named: false,
    required: false,
    help: "Connections to upstreams, and judging them.",
    keys: &[
        Key::new("connect_ms", "milliseconds", Some("300"), "Time to connect."),
        Key::new("idle_ms", "milliseconds", Some("4000"), "How long a connection is kept idle."),
        Key::new("rest_ms", "milliseconds", Some("500"), "The first rest of an upstream that fails."),
        Key::new("longest_rest_ms", "milliseconds", Some("4000"), "Its longest rest."),
        Key::new("answer_bytes", "bytes", Some("4M"), "The largest answer that is not a stream."),
        Key::new(
            "doubt_ms",
            "milliseconds",
            Some("3000"),
            "How long vanished entries are kept after the store was in trouble: what lives is listed again within two seconds of its return, and read within one more.",
        ),
        Key::new("load_bound", "number", Some("1.5"), "Load of an upstream as a multiple of the mean."),
        Key::new(
            "leaving_ms",
            "milliseconds",
            Some("3000"),
            "Time after which an upstream that said it leaves is to get no more requests; the list is read often enough for that.",
        ),
    ],
};

const RETRIES: SectionKind = SectionKind {
    kind: "retries",
    named: false,
    required: false,
    help: "The fleet's budget for sending requests again, of which each gateway takes its share; for each pool by itself.",
    keys: &[
        Key::new("ratio", "number", Some("0.2"), "Second sends for each request."),
        Key::new("slack", "number", Some("50"), "Second sends besides."),
        Key::new("span_s", "number", Some("10"), "Seconds within which both are counted."),
    ],
};

const QUARANTINE: SectionKind = SectionKind {
    kind: "quarantine",
    named: false,
    required: false,
    help: "Requests that are kept from upstreams since these crashed under them.",
    keys: &[Key::new(
        "released",
        "digests",
        Some(""),
        "Requests, by the digests of the lines and of the page `/quarantine`, separated by commas: when the settings are read again, what is held against them until then is dropped, and the others are told.",
    )],
};

const STOP: SectionKind = SectionKind {
    kind: "stop",
    named: false,
    required: false,
    help: "Stopping after SIGTERM.",
    keys: &[
        Key::new("grace_s", "number", Some("8"), "Seconds after which the process is killed."),
        Key::new(
            "accept_ms",
            "milliseconds",
            Some("2900"),
            "How long callers that have not noticed are still served.",
        ),
    ],
};
