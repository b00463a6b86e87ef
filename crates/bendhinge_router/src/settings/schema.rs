//! The sections and keys of a router's settings.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The schema of a router's settings.
pub const SCHEMA: Schema =
    Schema { title: "Router settings", sections: &[ROUTER, PLATFORM, KEYS, LIMITS, ONCE, CONTROL] };

const ROUTER: SectionKind = SectionKind {
    kind: "router",
    named: false,
    required: true,
    help: "The router itself.",
    keys: &[
        Key::new("name", "name", None, "The box's name, as in the platform's list."),
        Key::new("data_centre", "name", None, "The box's data centre."),
        Key::new("callers", "address:port", None, "Where callers connect; port 0 takes a free one."),
        Key::new("operators", "address:port", None, "Where operators connect; never reachable for callers."),
        Key::new("peers", "address:port", None, "Where other routers connect."),
        Key::new("workers", "whole number", Some("2"), "Threads that serve callers."),
        Key::new("events", "whole number", Some("8192"), "Events kept in memory for the time line."),
    ],
};

const PLATFORM: SectionKind = SectionKind {
    kind: "platform",
    named: false,
    required: true,
    help: "How the platform's configuration service and list are read.",
    keys: &[
        Key::new("address", "address:port", None, "The platform's address."),
        Key::new("wait_ms", "milliseconds", Some("20000"), "How long a watch waits; each counts as a call."),
        Key::new("retry_ms", "milliseconds", Some("1000"), "How long after a failure it is asked again."),
        Key::new(
            "readers",
            "whole number",
            Some("2"),
            "How many routers read it; the others hear from these.",
        ),
    ],
};

const KEYS: SectionKind = SectionKind {
    kind: "keys",
    named: false,
    required: true,
    help: "Keys, the same on all boxes. Keep the file readable for the router alone.",
    keys: &[
        Key::new(
            "peers",
            "16 or more characters",
            None,
            "Shows other routers that this one belongs to the fleet.",
        ),
        Key::new("operators", "16 or more characters", None, "Lets operators in."),
        Key::new("seal", "16 or more characters", None, "Shows that a configuration was confirmed."),
    ],
};

const LIMITS: SectionKind = SectionKind {
    kind: "limits",
    named: false,
    required: false,
    help: "Limits on callers and upstreams.",
    keys: &[
        Key::new("head_bytes", "bytes", Some("64K"), "The largest request head, at least 8K."),
        Key::new(
            "body_bytes",
            "bytes",
            Some("16M"),
            "The largest chat request body. Bodies to plain services have no limit.",
        ),
        Key::new("answer_bytes", "bytes", Some("16M"), "The largest chat answer that is not streamed."),
        Key::new(
            "buffer_bytes",
            "bytes",
            Some("256M"),
            "Memory for incomplete requests and answers, and for answers that are not read yet. One upstream, one host of callers and all chat request bodies together get as much of it as remains free. Beyond that, what has held the most of its memory for the longest time is ended.",
        ),
        Key::new(
            "connections",
            "whole number",
            Some("10000"),
            "Callers' connections; further ones are closed.",
        ),
        Key::new("in_progress", "whole number", Some("4096"), "Requests in progress in this router."),
        Key::new(
            "head_ms",
            "milliseconds",
            Some("60000"),
            "Time for a request head to arrive; also how long a connection may stand idle.",
        ),
        Key::new("body_ms", "milliseconds", Some("30000"), "Time for a chat request body to arrive."),
        Key::new("idle_ms", "milliseconds", Some("120000"), "Longest pause within an answer."),
        Key::new("connect_ms", "milliseconds", Some("1000"), "Time to connect to an upstream."),
        Key::new(
            "first_byte_ms",
            "milliseconds",
            Some("120000"),
            "Time for the head of an upstream's answer.",
        ),
        Key::new(
            "stop_ms",
            "milliseconds",
            Some("600000"),
            "Time for requests in progress when the router stops.",
        ),
        Key::new(
            "stop_grace_ms",
            "milliseconds",
            Some("0"),
            "How long a stopping router still takes connections.",
        ),
        Key::new("attempts", "whole number", Some("3"), "Attempts per request, the first among them."),
    ],
};

const ONCE: SectionKind = SectionKind {
    kind: "once",
    named: false,
    required: false,
    help: "Requests that run at most once.",
    keys: &[
        Key::new(
            "window_ms",
            "milliseconds",
            Some("600000"),
            "How long idempotency keys are kept; callers must not retry for longer.",
        ),
        Key::new("keys", "whole number", Some("20000"), "How many are kept; further ones are refused."),
    ],
};

const CONTROL: SectionKind = SectionKind {
    kind: "control",
    named: false,
    required: false,
    help: "Traffic between routers and towards upstreams' reports.",
    keys: &[
        Key::new(
            "exchange_ms",
            "milliseconds",
            Some("500"),
            "The period of exchanges between routers, and of admission rounds.",
        ),
        Key::new("call_ms", "milliseconds", Some("150"), "Time for another router to answer."),
        Key::new(
            "lease_ms",
            "milliseconds",
            Some("10000"),
            "A router that is silent for this long has lost its permits.",
        ),
        Key::new("load_ms", "milliseconds", Some("500"), "The period of load queries to upstreams."),
        Key::new(
            "gap_ms",
            "milliseconds",
            Some("2000"),
            "A gap on the own clock longer than this means that the router was frozen.",
        ),
        Key::new(
            "patience_ms",
            "milliseconds",
            Some("3000"),
            "How long a woken router waits for a renewed view before it goes on with the old one.",
        ),
    ],
};
