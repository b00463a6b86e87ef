//! The sections and keys of the fleet's configuration.

use bendhinge_ini::{Key, Schema, SectionKind};

/// The schema of the fleet's configuration.
pub const SCHEMA: Schema =
    Schema { title: "Fleet configuration", sections: &[FLEET, DATA_CENTRE, CLASS, CUSTOMER, POOL, UPSTREAM] };

const FLEET: SectionKind = SectionKind {
    kind: "fleet",
    named: false,
    required: true,
    help: "The document itself. `plan` and `confirm` write this section; operators do not.",
    keys: &[
        Key {
            name: "revision",
            form: "whole number",
            default: None,
            help: "Grows by one with each confirmed plan.",
        },
        Key {
            name: "base",
            form: "digest or `none`",
            default: Some("none"),
            help: "The document that the plan was made from.",
        },
        Key {
            name: "plan",
            form: "digest or `none`",
            default: Some("none"),
            help: "The plan that was confirmed.",
        },
        Key {
            name: "seal",
            form: "64 hexadecimal digits",
            default: Some(""),
            help: "Shows that the document was confirmed; routers drop documents without a valid one.",
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
            help: "Data centres of one region are near one another; work stays in its region while it can.",
        },
        Key {
            name: "state",
            form: "`serving` or `drained`",
            default: Some("serving"),
            help: "Upstreams of a drained data centre take no new work; what is in progress finishes.",
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
            help: "Its part of a full pool, relative to the other classes that want work done.",
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
            help: "The SHA-256 of its bearer key; the key itself is nowhere kept.",
        },
        Key { name: "class", form: "name of a class", default: None, help: "The class of its requests." },
        Key {
            name: "in_progress",
            form: "whole number",
            default: Some("1000"),
            help: "How many of its requests may be in progress in the whole fleet.",
        },
        Key {
            name: "share",
            form: "decimal number",
            default: Some("1"),
            help: "Its part of its class when the class is at its share.",
        },
    ],
};

const POOL: SectionKind = SectionKind {
    kind: "pool",
    named: true,
    required: true,
    help: "Upstreams that can stand in for one another.",
    keys: &[
        Key {
            name: "kind",
            form: "`model` or `service`",
            default: None,
            help: "Model engines or a plain service.",
        },
        Key {
            name: "model",
            form: "name",
            default: Some(""),
            help: "The model as callers name it; for kind `model`.",
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
            help: "The path under which callers reach the service; for kind `service`.",
        },
        Key {
            name: "load_bound",
            form: "decimal number above 1",
            default: Some("1.25"),
            help: "No upstream carries more than this multiple of the mean. Higher reuses more context, lower spreads load more evenly.",
        },
        Key {
            name: "slots",
            form: "whole number",
            default: Some("8"),
            help: "Requests that an upstream of weight 1 serves at once.",
        },
        Key {
            name: "turn_ms",
            form: "milliseconds",
            default: Some("2000"),
            help: "How long a turn usually takes, for judging deadlines before any was measured.",
        },
    ],
};

const UPSTREAM: SectionKind = SectionKind {
    kind: "upstream",
    named: true,
    required: false,
    help: "What operators set for one upstream; its address, data centre and pool come from the platform's list.",
    keys: &[
        Key {
            name: "state",
            form: "`serving` or `drained`",
            default: Some("serving"),
            help: "A drained upstream takes no new work; what is in progress finishes.",
        },
        Key {
            name: "role",
            form: "name",
            default: Some("generate"),
            help: "The role that the engine is ordered to take.",
        },
    ],
};
