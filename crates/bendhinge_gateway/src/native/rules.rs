//! The native format of the serving rules, an INI document.

use std::str::FromStr;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{CustomerName, NameError, PoolName};
use bendhinge_ini::{Document, Key, Millis, Schema, Section, SectionKind};
use bendhinge_routes::{
    CallerLimits, Customer, CustomerTable, PoolRule, PoolWeights, RegionFilter, Route, RouteKind, RouteTable,
    ServingRules, WeightedPool,
};

use crate::dialect::ParseError;

/// The schema of the serving rules.
pub const SCHEMA: Schema = Schema { title: "Serving rules", sections: &[RULES, POOL, ROUTE, CUSTOMER] };

const RULES: SectionKind = SectionKind {
    kind: "rules",
    named: false,
    required: true,
    help: "The version of the document and limits on requests.",
    keys: &[
        Key::new("version", "whole number", None, "The version number; it increases with each change."),
        Key::new("body_bytes", "bytes", Some("4M"), "The maximum size of a request body."),
        Key::new("arrival_ms", "milliseconds", Some("5000"), "The maximum time to receive a request."),
        Key::new("idle_ms", "milliseconds", Some("15000"), "The maximum idle time of a connection."),
    ],
};

const POOL: SectionKind = SectionKind {
    kind: "pool",
    named: true,
    required: true,
    help: "Interchangeable upstreams.",
    keys: &[
        Key::new("keeps_prompts", "yes or no", Some("no"), "Whether upstreams cache prompt parts."),
        Key::new(
            "moves_prompts",
            "yes or no",
            Some("no"),
            "Whether upstreams can fetch cached parts from each other.",
        ),
        Key::new(
            "warming_rate",
            "number",
            Some(""),
            "The maximum requests per second to an upstream that is warming up; empty means no limit.",
        ),
    ],
};

const ROUTE: SectionKind = SectionKind {
    kind: "route",
    named: true,
    required: true,
    help: "The pools and the policy for requests to a host and path.",
    keys: &[
        Key::new("host", "name", None, "The host that the route matches."),
        Key::new(
            "path",
            "path",
            None,
            "The path prefix that the route matches; starts and ends with a slash.",
        ),
        Key::new(
            "kind",
            "safe, unsafe, stream or resumable",
            None,
            "Whether requests can be repeated or streams resumed.",
        ),
        Key::new("pools", "NAME:WEIGHT, ...", None, "The pools that share the traffic, by weight."),
        Key::new("timeout_ms", "milliseconds", None, "The maximum total time of a request."),
        Key::new("target_ms", "milliseconds", None, "The target latency of a response."),
        Key::new(
            "gap_ms",
            "milliseconds",
            Some(""),
            "The target for the longest gap between events of a stream.",
        ),
        Key::new("priority", "0 to 9", Some("5"), "The priority; 0 is the highest."),
        Key::new("attempts", "whole number", Some("1"), "The maximum number of attempts per request."),
        Key::new("open", "yes or no", Some("no"), "Whether requests without an API key are allowed."),
        Key::new("regions", "NAME, ...", Some(""), "The regions in which requests may run; empty means all."),
    ],
};

const CUSTOMER: SectionKind = SectionKind {
    kind: "customer",
    named: true,
    required: false,
    help: "A customer that may send requests.",
    keys: &[
        Key::new("keys", "KEY, ...", Some(""), "The API keys."),
        Key::new("priority", "0 to 9", Some(""), "The priority, which overrides that of the route."),
        Key::new("regions", "NAME, ...", Some(""), "The regions in which requests may run; empty means all."),
    ],
};

struct YesOrNo(bool);

impl FromStr for YesOrNo {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err("expected 'yes' or 'no'"),
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

struct RouteKindName(RouteKind);

impl FromStr for RouteKindName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "safe" => Ok(Self(RouteKind::Safe)),
            "unsafe" => Ok(Self(RouteKind::Unsafe)),
            "stream" => Ok(Self(RouteKind::Stream { resumable: false })),
            "resumable" => Ok(Self(RouteKind::Stream { resumable: true })),
            _ => Err("expected safe, unsafe, stream or resumable"),
        }
    }
}

struct ParsedPoolWeights(PoolWeights);

impl FromStr for ParsedPoolWeights {
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

/// Parses the serving rules.
pub(super) fn parse(bytes: &[u8]) -> Result<ServingRules, ParseError> {
    let text = std::str::from_utf8(bytes).map_err(|error| ParseError::new("serving rules", &error))?;
    let document = Document::parse("rules", text, &SCHEMA);
    let rules = Reader(&document).rules();
    document.finish(rules).map_err(|errors| ParseError::new("serving rules", &errors))
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
            left_out: Vec::new(),
        })
    }

    fn flag(&self, section: &Section, key: &str) -> Option<bool> {
        self.0.value::<YesOrNo>(section, key).map(|flag| flag.0)
    }

    fn limits(&self, section: &Section) -> Option<CallerLimits> {
        let max_body_bytes = self.0.byte_count(section, "body_bytes");
        let receive_timeout = self.0.millis(section, "arrival_ms");
        let idle_timeout = self.0.millis(section, "idle_ms");
        Some(CallerLimits {
            max_body_bytes: max_body_bytes?,
            receive_timeout: receive_timeout?,
            idle_timeout: idle_timeout?,
        })
    }

    fn pool(&self, section: &Section) -> Option<(PoolName, PoolRule)> {
        let name = self.0.name(section);
        let caches_prompts = self.flag(section, "keeps_prompts");
        let transfers_prompts = self.flag(section, "moves_prompts");
        let warmup_rate = self.0.optional(section, "warming_rate");
        let rule = PoolRule {
            caches_prompts: caches_prompts?,
            transfers_cached_prompts: transfers_prompts?,
            warmup_requests_per_second: warmup_rate,
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
        let kind = self.0.value::<RouteKindName>(section, "kind");
        let split = self.0.value::<ParsedPoolWeights>(section, "pools");
        let timeout = self.0.millis(section, "timeout_ms");
        let target_latency = self.0.millis(section, "target_ms");
        let target_gap = self.0.optional::<Millis>(section, "gap_ms").map(|gap| gap.0);
        let priority = self.0.value(section, "priority");
        let max_attempts = self.0.value(section, "attempts");
        let allow_anonymous = self.flag(section, "open");
        let regions = self.regions(section);
        Some(Route {
            name: name?.to_string(),
            host: host?.to_ascii_lowercase(),
            path_prefix: path_prefix?,
            kind: kind?.0,
            timeout: timeout?,
            target_latency: target_latency?,
            target_gap,
            priority: priority?,
            max_attempts: max_attempts?,
            allow_anonymous: allow_anonymous?,
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
        let message = format!("'path = {path}' does not start and end with a slash; write /{path}/");
        self.0.add_fault_at(section, "path", ResultCode::InvalidValue, message);
        None
    }
}
