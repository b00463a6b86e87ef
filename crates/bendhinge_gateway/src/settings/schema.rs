//! The sections and keys of a gateway's settings.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The schema of a gateway's settings.
pub const SCHEMA: Schema = Schema {
    title: "Gateway settings",
    sections: &[GATEWAY, STORE, FLEET, BELIEFS, UPSTREAMS, RETRIES, STOP],
};

const fn key(
    name: &'static str,
    form: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Key {
    Key { name, form, default, help }
}

const GATEWAY: SectionKind = SectionKind {
    kind: "gateway",
    named: false,
    required: true,
    help: "The gateway itself.",
    keys: &[
        key("name", "name", None, "The box's name."),
        key("data_centre", "name", None, "The box's data centre."),
        key("callers", "address:port", None, "Where callers connect."),
        key("ready", "address:port", None, "Where a balancer asks whether the gateway is ready."),
        key("peers", "address:port", None, "Where other gateways connect."),
        key("connections", "whole number", Some("3000"), "Callers' connections; further ones are closed."),
    ],
};

const STORE: SectionKind = SectionKind {
    kind: "store",
    named: false,
    required: true,
    help: "The platform's store.",
    keys: &[
        key("address", "address:port", None, "Its address."),
        key("call_ms", "milliseconds", Some("1200"), "Time for an answer."),
        key("first_ms", "milliseconds", Some("700"), "Age of the belief at which the first in rank reads."),
        key("step_ms", "milliseconds", Some("600"), "How much later the next in rank does."),
        key("last_ms", "milliseconds", Some("2200"), "Age at which every gateway reads."),
        key("retry_ms", "milliseconds", Some("2000"), "Pause after a failed read while others are heard."),
        key("urgent_retry_ms", "milliseconds", Some("300"), "Pause after a failed read when nobody is."),
    ],
};

const FLEET: SectionKind = SectionKind {
    kind: "fleet",
    named: false,
    required: true,
    help: "The other gateways.",
    keys: &[
        key("key", "16 or more characters", None, "Shows that a gateway belongs to the fleet."),
        key("seeds", "addresses", Some(""), "Gateways to look for, separated by commas; they may be down."),
        key("exchange_ms", "milliseconds", Some("400"), "The period of exchanges."),
        key("call_ms", "milliseconds", Some("500"), "Time for another gateway to answer."),
        key("dead_ms", "milliseconds", Some("3000"), "Silence after which a gateway counts as dead."),
        key("forget_ms", "milliseconds", Some("60000"), "Silence after which it is forgotten."),
    ],
};

const BELIEFS: SectionKind = SectionKind {
    kind: "beliefs",
    named: false,
    required: false,
    help: "How long what is believed may be acted on.",
    keys: &[
        key(
            "rules_lease_ms",
            "milliseconds",
            Some("5000"),
            "No request with a key is sent under rules that were not known to be current within this time; 0 is no limit.",
        ),
        key("margin_ms", "milliseconds", Some("300"), "What is kept of that for the way to the upstream."),
    ],
};

const UPSTREAMS: SectionKind = SectionKind {
    kind: "upstreams",
    named: false,
    required: false,
    help: "Connections to upstreams, and judging them.",
    keys: &[
        key("connect_ms", "milliseconds", Some("300"), "Time to connect."),
        key("idle_ms", "milliseconds", Some("4000"), "How long a connection is kept idle."),
        key("rest_ms", "milliseconds", Some("500"), "The first rest of an upstream that fails."),
        key("longest_rest_ms", "milliseconds", Some("4000"), "Its longest rest."),
        key("answer_bytes", "bytes", Some("4M"), "The largest answer that is not a stream."),
        key(
            "doubt_ms",
            "milliseconds",
            Some("3000"),
            "How long vanished entries are kept after the store was in trouble: what lives is listed again within two seconds of its return, and read within one more.",
        ),
        key("load_bound", "number", Some("1.5"), "Load of an upstream as a multiple of the mean."),
    ],
};

const RETRIES: SectionKind = SectionKind {
    kind: "retries",
    named: false,
    required: false,
    help: "The fleet's budget for sending requests again, of which each gateway takes its share; for each pool by itself.",
    keys: &[
        key("ratio", "number", Some("0.2"), "Second sends for each request, within some ten seconds."),
        key("slack", "number", Some("50"), "Second sends besides, in the same time."),
    ],
};

const STOP: SectionKind = SectionKind {
    kind: "stop",
    named: false,
    required: false,
    help: "Stopping after SIGTERM.",
    keys: &[
        key("grace_ms", "milliseconds", Some("8000"), "Time after which the process is killed."),
        key(
            "accept_ms",
            "milliseconds",
            Some("2900"),
            "How long callers that have not noticed are still served.",
        ),
    ],
};
