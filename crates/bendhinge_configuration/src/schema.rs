//! The sections and keys of the fleet's configuration.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The schema of the fleet's configuration.
pub const SCHEMA: Schema =
    Schema { title: "Fleet configuration", sections: &[FLEET, DATA_CENTRE, CLASS, CUSTOMER, POOL, UPSTREAM] };

const FLEET: SectionKind = SectionKind {
    kind: "fleet",
    named: false,
    required: true,
    help: "Metadata of the document, written by `plan` and `confirm`; operators do not edit it.",
    keys: &[
        Key {
            name: "revision",
            form: "whole number",
            default: None,
            help: "Incremented with each confirmed plan.",
        },
        Key {
            name: "base",
            form: "digest or `none`",
            default: Some("none"),
            help: "The digest of the document that the plan is based on.",
        },
        Key {
            name: "plan",
            form: "digest or `none`",
            default: Some("none"),
            help: "The digest of the confirmed plan.",
        },
        Key {
            name: "seal",
            form: "64 hexadecimal digits",
            default: Some(""),
            help: "Proves that the document was confirmed; routers refuse documents without a valid seal.",
        },
    ],
};

const DATA_CENTRE: SectionKind = SectionKind {
    kind: "data_centre",
    named: true,
    required: true,
    help: "One data centre with upstreams or boxes.",
    keys: &[
        Key {
            name: "region",
            form: "name",
            default: Some("home"),
            help: "The region of the data centre; requests stay in their region if possible.",
        },
        Key {
            name: "state",
            form: "`serving` or `drained`",
            default: Some("serving"),
            help: "Upstreams of a drained data centre accept no new work; requests in progress finish.",
        },
    ],
};

const CLASS: SectionKind = SectionKind {
    kind: "class",
    named: true,
    required: true,
    help: "One priority class.",
    keys: &[
        Key {
            name: "share",
            form: "decimal number",
            default: None,
            help: "The weight of the class when a pool is full, relative to the other classes with requests.",
        },
        Key {
            name: "engine_priority",
            form: "0 to 9",
            default: Some("5"),
            help: "The priority passed to model engines; higher goes first.",
        },
    ],
};

const CUSTOMER: SectionKind = SectionKind {
    kind: "customer",
    named: true,
    required: true,
    help: "One customer.",
    keys: &[
        Key {
            name: "key_sha256",
            form: "64 hexadecimal digits",
            default: None,
            help: "The SHA-256 of its bearer key; the key itself is not stored.",
        },
        Key { name: "class", form: "name of a class", default: None, help: "The class of its requests." },
        Key {
            name: "in_progress",
            form: "whole number",
            default: Some("1000"),
            help: "The maximum number of its requests in progress across the fleet.",
        },
        Key {
            name: "share",
            form: "decimal number",
            default: Some("1"),
            help: "The weight of the customer within its class when the class has reached its share.",
        },
    ],
};

const POOL: SectionKind = SectionKind {
    kind: "pool",
    named: true,
    required: true,
    help: "A group of interchangeable upstreams.",
    keys: &[
        Key {
            name: "kind",
            form: "`model` or `service`",
            default: None,
            help: "Model engines or another service.",
        },
        Key {
            name: "model",
            form: "name",
            default: Some(""),
            help: "The model name used by callers; for kind `model`.",
        },
        Key {
            name: "version",
            form: "whole number",
            default: Some("1"),
            help: "The version of the model that engines are ordered to load.",
        },
        Key {
            name: "adapter",
            form: "name",
            default: Some(""),
            help: "The adapter that engines are ordered to load.",
        },
        Key {
            name: "path",
            form: "path that begins with `/`",
            default: Some(""),
            help: "The path prefix of requests to the service; for kind `service`.",
        },
        Key {
            name: "load_bound",
            form: "decimal number above 1",
            default: Some("1.25"),
            help: "The maximum load of an upstream as a multiple of the mean. Higher values reuse more context, lower values balance load more evenly.",
        },
        Key {
            name: "slots",
            form: "whole number",
            default: Some("8"),
            help: "The number of concurrent requests that an upstream of weight 1 serves.",
        },
        Key {
            name: "turn_ms",
            form: "milliseconds",
            default: Some("2000"),
            help: "The typical duration of a turn, used for deadline checks until one has been measured.",
        },
    ],
};

const UPSTREAM: SectionKind = SectionKind {
    kind: "upstream",
    named: true,
    required: false,
    help: "Operator settings for one upstream; its address, data centre and pool come from the platform's list.",
    keys: &[
        Key {
            name: "state",
            form: "`serving` or `drained`",
            default: Some("serving"),
            help: "A drained upstream accepts no new work; requests in progress finish.",
        },
        Key {
            name: "role",
            form: "name",
            default: Some("generate"),
            help: "The role that the engine is ordered to take.",
        },
    ],
};
