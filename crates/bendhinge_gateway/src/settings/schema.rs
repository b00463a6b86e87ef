//! The schema of a gateway's settings.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The sections and keys of a gateway's settings.
pub const SCHEMA: Schema = Schema {
    title: "Gateway settings",
    sections: &[
        GATEWAY,
        DATA_CENTRE,
        MEMORY,
        STORE,
        FLEET,
        BELIEFS,
        UPSTREAMS,
        FORWARDING,
        LOAD,
        RETRIES,
        STREAMS,
        QUARANTINE,
        STOP,
    ],
};

const GATEWAY: SectionKind = SectionKind {
    kind: "gateway",
    named: false,
    required: true,
    help: "The gateway itself.",
    keys: &[
        Key::new("name", "name", None, "The box's name."),
        Key::new("data_centre", "name", None, "The box's data centre."),
        Key::new("callers", "address:port", None, "The address that callers connect to."),
        Key::new("ready", "address:port", None, "The address for readiness checks by a load balancer."),
        Key::new("peers", "address:port", None, "The address that other gateways connect to."),
        Key::new(
            "connections",
            "whole number",
            Some("3000"),
            "Maximum number of connections from callers; further ones are closed.",
        ),
        Key::new(
            "link_mbps",
            "number",
            Some("1000"),
            "Capacity of the box's network link in megabits per second. The longer rules take to transfer on it, the less often they are read.",
        ),
    ],
};

const DATA_CENTRE: SectionKind = SectionKind {
    kind: "data_centre",
    named: true,
    required: false,
    help: "A data centre with upstreams.",
    keys: &[Key::new(
        "region",
        "name",
        None,
        "The region of the data centre. Requests that are restricted to regions are not sent to data centres without a region.",
    )],
};

const MEMORY: SectionKind = SectionKind {
    kind: "memory",
    named: false,
    required: false,
    help: "Memory for incomplete requests and responses, and for responses that are not read yet. One upstream, one customer or one host of callers gets as much of it as remains free. Beyond that, what has held the most of its memory for the longest time is ended.",
    keys: &[
        Key::new(
            "limit_mb",
            "number",
            Some("1024"),
            "Memory of the process in megabytes, above which the box kills it.",
        ),
        Key::new(
            "buffer_share",
            "number up to 1",
            Some("0.25"),
            "Share of it that buffers may use. Connections, tables and the growth of buffers need the rest.",
        ),
    ],
};

const STORE: SectionKind = SectionKind {
    kind: "store",
    named: false,
    required: true,
    help: "The platform's store.",
    keys: &[
        Key::new("address", "address:port", None, "The store's address."),
        Key::new("call_ms", "milliseconds", Some("1200"), "Time limit for an answer."),
        Key::new(
            "first_ms",
            "milliseconds",
            Some("700"),
            "Age of the replica at which the gateway of the first rank reads the store.",
        ),
        Key::new("step_ms", "milliseconds", Some("600"), "Additional age for each further rank."),
        Key::new(
            "last_ms",
            "milliseconds",
            Some("2200"),
            "Age of the replica at which every gateway reads the store.",
        ),
        Key::new(
            "retry_ms",
            "milliseconds",
            Some("2000"),
            "Delay after a failed read while other gateways keep the replica fresh.",
        ),
        Key::new(
            "urgent_retry_ms",
            "milliseconds",
            Some("300"),
            "Delay after a failed read when no other gateway has a fresh replica.",
        ),
    ],
};

const FLEET: SectionKind = SectionKind {
    kind: "fleet",
    named: false,
    required: true,
    help: "The other gateways.",
    keys: &[
        Key::new(
            "key",
            "16 or more characters",
            None,
            "Shared key that authenticates the gateways of a fleet to each other.",
        ),
        Key::new(
            "seeds",
            "addresses",
            Some(""),
            "Addresses of gateways to contact first, separated by commas; some may be down.",
        ),
        Key::new(
            "exchange_ms",
            "milliseconds",
            Some("400"),
            "Interval between exchanges with other gateways.",
        ),
        Key::new("call_ms", "milliseconds", Some("500"), "Time limit for an answer of another gateway."),
        Key::new(
            "dead_ms",
            "milliseconds",
            Some("3000"),
            "Time without contact after which a gateway counts as dead.",
        ),
        Key::new(
            "forget_ms",
            "milliseconds",
            Some("60000"),
            "Time without contact after which a gateway is removed from the roster.",
        ),
    ],
};

const BELIEFS: SectionKind = SectionKind {
    kind: "beliefs",
    named: false,
    required: true,
    help: "How long replicated serving rules may be used.",
    keys: &[
        Key::new(
            "rules_lease_ms",
            "milliseconds",
            // No default: a limit makes gateways refuse all requests with a key during a longer outage of the
            // store, and without one revoked keys stay valid that long. Operators must choose.
            None,
            "Requests with a key are sent only if the rules were confirmed as current within this time; 0 means no limit. Must be set explicitly.",
        ),
        Key::new(
            "margin_ms",
            "milliseconds",
            Some("300"),
            "Part of the lease that is reserved for the transfer of a request to the upstream.",
        ),
        Key::new(
            "first_rules_ms",
            "milliseconds",
            // Long enough that gateways that start at the same time can get the rules from each other.
            Some("600"),
            "How long after the start of the process requests wait for the first rules, but at most an eighth of the time that they have left. Without the wait, callers would spend retries on refusals.",
        ),
    ],
};

const UPSTREAMS: SectionKind = SectionKind {
    kind: "upstreams",
    named: false,
    required: false,
    help: "Connections to upstreams and failure detection.",
    keys: &[
        Key::new("connect_ms", "milliseconds", Some("300"), "Time limit for connecting."),
        Key::new("idle_ms", "milliseconds", Some("4000"), "How long an idle connection is kept open."),
        Key::new("rest_ms", "milliseconds", Some("500"), "First ejection period of an upstream that fails."),
        Key::new("longest_rest_ms", "milliseconds", Some("4000"), "Longest ejection period of an upstream."),
        Key::new("answer_bytes", "bytes", Some("4M"), "Maximum size of an answer that is not a stream."),
        Key::new(
            "event_bytes",
            "bytes",
            Some("4M"),
            "Maximum size of an event of a stream, which is relayed once it is complete; at least 1K. A stream with a larger one is resumed elsewhere or cut.",
        ),
        Key::new(
            "doubt_ms",
            "milliseconds",
            Some("3000"),
            "How long removed entries are kept after the store recovers. Healthy upstreams are listed again within two seconds and read within one more.",
        ),
        Key::new(
            "load_bound",
            "number",
            Some("1.5"),
            "Maximum load of an upstream as a multiple of the mean load.",
        ),
        Key::new(
            "verify_close",
            "yes or no",
            Some("no"),
            "Whether a response that ends with its connection, without a length or chunks, is complete only once its upstream is known to run: the end of a process closes connections in the same way. `[quarantine] prompt_parts` implies it.",
        ),
        Key::new(
            "leaving_ms",
            "milliseconds",
            Some("3000"),
            "Time after which a draining upstream must get no more requests; the list is read often enough to ensure this.",
        ),
    ],
};

const FORWARDING: SectionKind = SectionKind {
    kind: "forwarding",
    named: false,
    required: false,
    help: "What a gateway does while its own links to the upstreams of a pool fail and other gateways reach them.",
    keys: &[Key::new(
        "enabled",
        "yes or no",
        Some("no"),
        "Whether it detects such partitions and forwards the requests of its callers to gateways that are not partitioned, and accepts those that others forward.",
    )],
};

const LOAD: SectionKind = SectionKind {
    kind: "load",
    named: false,
    required: false,
    help: "Decisions that depend on the load of upstreams. `reported` takes effect when an upstream reports how long its work takes at present, as upstreams do that share their box with other work.",
    keys: &[
        Key::new(
            "work",
            "no, yes or reported",
            Some("no"),
            "Whether an engine is chosen by the work that waits there and not by its number of requests.",
        ),
        Key::new(
            "local_first",
            "no, yes or reported",
            Some("no"),
            "Whether upstreams of the own data centre are preferred as long as they bear its demand.",
        ),
        Key::new(
            "shared_response_times",
            "no, yes or reported",
            Some("no"),
            "Whether gateways share how long the responses of upstreams take that do not report their load.",
        ),
        Key::new(
            "permits",
            "no, yes or reported",
            Some("no"),
            "Whether one gateway counts the requests to each upstream of a pool with shared response times, and the others ask it for a permit before they send one.",
        ),
        Key::new(
            "admission",
            "no, yes or reported",
            Some("no"),
            "Whether requests to engines are admitted by priority and customer when the pool is nearly full.",
        ),
        Key::new(
            "popular_prompts",
            "no, yes or reported",
            Some("no"),
            "Whether a prompt has as many homes as the requests of the whole fleet with it need.",
        ),
        Key::new(
            "overload_reports",
            "no, yes or reported",
            Some("no"),
            "Whether the report of an overloaded upstream is sent to the other gateways at once.",
        ),
        Key::new(
            "frequent_exchanges",
            "no, yes or reported",
            Some("no"),
            "Whether gateways exchange twice as often while the upstreams of a pool are close to the load limit.",
        ),
    ],
};

const RETRIES: SectionKind = SectionKind {
    kind: "retries",
    named: false,
    required: false,
    help: "The fleet's retry budget for each pool, of which each gateway uses its share.",
    keys: &[
        Key::new("ratio", "number", Some("0.2"), "Retries per request."),
        Key::new("slack", "number", Some("50"), "Retries allowed regardless of the number of requests."),
        Key::new(
            "span_s",
            "number",
            Some("10"),
            "Window, in seconds, within which requests and retries are counted.",
        ),
        Key::new(
            "assume_spent",
            "yes or no",
            Some("no"),
            "Whether a gateway that starts assumes that its share of the budget was spent just before. During the first window it then uses only what other gateways and earlier processes leave of the budget in any case, so that the budget holds across restarts.",
        ),
    ],
};

const STREAMS: SectionKind = SectionKind {
    kind: "streams",
    named: false,
    required: false,
    help: "How interrupted streams are resumed.",
    keys: &[
        Key::new(
            "keep_software",
            "yes or no",
            Some("no"),
            "Whether a stream goes on only at upstreams with the version of their software that began it. While upstreams of a pool run several versions, gateways exchange records of which one began each stream.",
        ),
        Key::new(
            "first_start",
            "yes or no",
            Some("no"),
            "Whether the whole fleet starts for the first time, so that there can be no streams of earlier processes. Otherwise a gateway that starts assumes that it may have missed a version, until another one reports that it has missed none, or until earlier streams can no longer last.",
        ),
    ],
};

const QUARANTINE: SectionKind = SectionKind {
    kind: "quarantine",
    named: false,
    required: false,
    help: "Requests that are not sent because upstreams crashed while processing them.",
    keys: &[
        Key::new(
            "prompt_parts",
            "yes or no",
            Some("no"),
            "Whether the parts that prompts share are quarantined as well, if upstreams crash under requests with them that are different in everything else.",
        ),
        Key::new(
            "released",
            "digests",
            Some(""),
            "Digests of requests to release, as shown in log lines and on the page `/quarantine`, separated by commas. When the settings are reloaded, the crashes recorded for these requests are cleared on all gateways.",
        ),
        Key::new("released_parts", "digests", Some(""), "The same for parts of prompts."),
    ],
};

const STOP: SectionKind = SectionKind {
    kind: "stop",
    named: false,
    required: false,
    help: "Graceful shutdown after SIGTERM.",
    keys: &[
        Key::new("grace_s", "number", Some("8"), "Seconds between SIGTERM and the kill of the process."),
        Key::new(
            "accept_ms",
            "milliseconds",
            Some("2900"),
            "How long new requests are still served after SIGTERM.",
        ),
    ],
};
