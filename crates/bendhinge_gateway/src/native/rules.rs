//! Serving rules in the product's own form: an INI document.

use std::str::FromStr;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{CustomerName, NameError, PoolName};
use bendhinge_ini::{Document, Key, Millis, Schema, Section, SectionKind};
use bendhinge_routes::{
    CallerLimits, Customer, CustomerTable, PoolRule, PoolWeights, RegionFilter, Route, RouteKind, RouteTable,
    ServingRules, WeightedPool,
};

use crate::dialect::TranslateError;

/// The schema of the document.
pub const SCHEMA: Schema = Schema { title: "Serving rules", sections: &[RULES, POOL, ROUTE, CUSTOMER] };

const RULES: SectionKind = SectionKind {
    kind: "rules",
    named: false,
    required: true,
    help: "The document itself, and what callers may send.",
    keys: &[
        Key::new("version", "whole number", None, "Its number; a later version has a higher one."),
        Key::new("body_bytes", "bytes", Some("4M"), "The largest request body."),
        Key::new("arrival_ms", "milliseconds", Some("5000"), "How long a request may take to arrive."),
        Key::new("idle_ms", "milliseconds", Some("15000"), "How long a connection may stand idle."),
    ],
};

const POOL: SectionKind = SectionKind {
    kind: "pool",
    named: true,
    required: true,
    help: "Upstreams that can stand in for one another.",
    keys: &[
        Key::new("keeps_prompts", "yes or no", Some("no"), "Whether they keep what they read of prompts."),
        Key::new("moves_prompts", "yes or no", Some("no"), "Whether one can fetch that from another."),
        Key::new(
            "warming_rate",
            "number",
            Some(""),
            "Requests a second that one upstream bears while it warms up; none is no limit.",
        ),
    ],
};

const ROUTE: SectionKind = SectionKind {
    kind: "route",
    named: true,
    required: true,
    help: "Where requests go by host and path, and what may be done with them.",
    keys: &[
        Key::new("host", "name", None, "The host that it answers to."),
        Key::new("path", "path", None, "What paths begin with; begins and ends with a slash."),
        Key::new("kind", "safe, unsafe, stream or resumable", None, "What may be done with its requests."),
        Key::new("pools", "NAME:WEIGHT, ...", None, "Where its traffic goes."),
        Key::new("timeout_ms", "milliseconds", None, "The longest time for which a request is held."),
        Key::new("target_ms", "milliseconds", None, "The time within which an answer is on time."),
        Key::new("gap_ms", "milliseconds", Some(""), "The longest pause within a stream that is on time."),
        Key::new("priority", "0 to 9", Some("5"), "Its rank; 0 is the most urgent."),
        Key::new("attempts", "whole number", Some("1"), "To how many upstreams one request may be sent."),
        Key::new("open", "yes or no", Some("no"), "Whether requests without a key are served."),
        Key::new("regions", "NAME, ...", Some(""), "The regions whose upstreams may run them; none is all."),
    ],
};

const CUSTOMER: SectionKind = SectionKind {
    kind: "customer",
    named: true,
    required: false,
    help: "Who may call.",
    keys: &[
        Key::new("keys", "KEY, ...", Some(""), "Its keys."),
        Key::new("priority", "0 to 9", Some(""), "Its rank, which goes before that of the route."),
        Key::new("regions", "NAME, ...", Some(""), "The regions whose upstreams may run its requests."),
    ],
};

struct YesOrNo(bool);

impl FromStr for YesOrNo {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err("neither 'yes' nor 'no'"),
        }
    }
}

struct RegionList(RegionFilter);

impl FromStr for RegionList {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.map(str::parse).collect::<Result<_, _>>().map(|names| Self(RegionFilter::new(names)))
    }
}

struct KindName(RouteKind);

impl FromStr for KindName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "safe" => Ok(Self(RouteKind::Safe)),
            "unsafe" => Ok(Self(RouteKind::Unsafe)),
            "stream" => Ok(Self(RouteKind::Stream { resumable: false })),
            "resumable" => Ok(Self(RouteKind::Stream { resumable: true })),
            _ => Err("not a kind of route"),
        }
    }
}

struct WeightedPools(PoolWeights);

impl FromStr for WeightedPools {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(|part| {
            let (name, weight) = part.trim().split_once(':').unwrap_or((part.trim(), "1"));
            let pool: PoolName = name.parse().map_err(|error| format!("{error}"))?;
            let weight: f64 = weight.parse().map_err(|error| format!("'{weight}': {error}"))?;
            Ok(WeightedPool { pool, weight })
        });
        parts.collect::<Result<_, String>>().map(|parts| Self(PoolWeights::new(parts)))
    }
}

/// Reads the document.
pub(super) fn read(bytes: &[u8]) -> Result<ServingRules, TranslateError> {
    let text = std::str::from_utf8(bytes).map_err(|error| TranslateError::new("the rules", &error))?;
    let document = Document::parse("rules", text, &SCHEMA);
    let rules = Reader(&document).rules();
    document.finish(rules).map_err(|faults| TranslateError::new("the rules", &faults))
}

struct Reader<'a>(&'a Document);

impl Reader<'_> {
    fn rules(&self) -> Option<ServingRules> {
        let section = self.0.section("rules")?;
        let routes: Vec<Option<Route>> =
            self.0.sections("route").map(|section| self.route(section)).collect();
        let pools: Vec<_> = self.0.sections("pool").map(|section| self.pool(section)).collect();
        let customers: Vec<_> = self.0.sections("customer").map(|section| self.customer(section)).collect();
        let limits = self.limits(section);
        Some(ServingRules {
            version: self.0.value(section, "version")?,
            routes: RouteTable::new(routes.into_iter().collect::<Option<Vec<_>>>()?),
            pools: pools.into_iter().collect::<Option<_>>()?,
            customers: CustomerTable::new(customers.into_iter().collect::<Option<Vec<_>>>()?),
            limits: limits?,
        })
    }

    fn flag(&self, section: &Section, key: &str) -> Option<bool> {
        self.0.value::<YesOrNo>(section, key).map(|flag| flag.0)
    }

    fn limits(&self, section: &Section) -> Option<CallerLimits> {
        let body_bytes = self.0.byte_count(section, "body_bytes");
        let arrival = self.0.millis(section, "arrival_ms");
        let idle = self.0.millis(section, "idle_ms");
        Some(CallerLimits { max_body_bytes: body_bytes?, receive_timeout: arrival?, idle_timeout: idle? })
    }

    fn pool(&self, section: &Section) -> Option<(PoolName, PoolRule)> {
        let name = self.0.name(section);
        let keeps_prompts = self.flag(section, "keeps_prompts");
        let moves_prompts = self.flag(section, "moves_prompts");
        let warming_rate = self.0.optional(section, "warming_rate");
        let rule = PoolRule {
            caches_prompts: keeps_prompts?,
            transfers_cached_prompts: moves_prompts?,
            warmup_requests_per_second: warming_rate,
            ..PoolRule::default()
        };
        Some((name?, rule))
    }

    fn customer(&self, section: &Section) -> Option<(Customer, Vec<String>)> {
        let name: Option<CustomerName> = self.0.name(section);
        let priority = self.0.optional(section, "priority");
        let keys = self.0.value::<String>(section, "keys")?;
        let keys = keys.split(',').map(|key| key.trim().to_owned()).filter(|key| !key.is_empty());
        let regions = self.regions(section);
        Some((Customer { name: name?, priority, regions: regions? }, keys.collect()))
    }

    fn route(&self, section: &Section) -> Option<Route> {
        let name: Option<PoolName> = self.0.name(section);
        let host = self.0.value::<String>(section, "host");
        let path_prefix = self.path(section);
        let kind = self.0.value::<KindName>(section, "kind");
        let split = self.0.value::<WeightedPools>(section, "pools");
        let timeout = self.0.millis(section, "timeout_ms");
        let target = self.0.millis(section, "target_ms");
        let target_gap = self.0.optional::<Millis>(section, "gap_ms").map(|gap| gap.0);
        let priority = self.0.value(section, "priority");
        let attempts = self.0.value(section, "attempts");
        let is_open = self.flag(section, "open");
        let regions = self.regions(section);
        Some(Route {
            name: name?.to_string(),
            host: host?.to_ascii_lowercase(),
            path_prefix: path_prefix?,
            kind: kind?.0,
            timeout: timeout?,
            target_latency: target?,
            target_gap,
            priority: priority?,
            max_attempts: attempts?,
            allow_anonymous: is_open?,
            regions: regions?,
            split: split?.0,
        })
    }

    fn regions(&self, section: &Section) -> Option<RegionFilter> {
        self.0.value::<RegionList>(section, "regions").map(|list| list.0)
    }

    fn path(&self, section: &Section) -> Option<String> {
        let path = self.0.value::<String>(section, "path")?;
        if path.starts_with('/') && path.ends_with('/') {
            return Some(path);
        }
        let message = format!("'path = {path}' does not begin and end with a slash; write /{path}/");
        self.0.add_fault_at(section, "path", ResultCode::InvalidValue, message);
        None
    }
}
