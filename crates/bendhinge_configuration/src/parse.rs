//! Parses a document into the typed model and reports all faults at once.

use std::collections::{BTreeMap, HashMap};
use std::str::FromStr;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{
    ClassName, ConfigRevision, CustomerName, DataCentreName, Digest, DigestError, ModelName, UpstreamName,
};
use bendhinge_ini::{Document, Faults, Section};
use bendhinge_placement::LoadBound;

use crate::SCHEMA;
use crate::model::{Class, Configuration, Customer, DataCentre, KeyHash, Pool, PoolKind, UpstreamOverride};

/// Parses and validates a configuration; `file` is named in faults.
pub fn parse(file: &str, text: &str) -> Result<Configuration, Faults> {
    let document = Document::parse(file, text, &SCHEMA);
    let configuration = ConfigurationReader { document: &document }.configuration();
    document.finish(configuration)
}

/// Parses a document without converting its values; it collects faults and can be modified.
#[must_use]
pub fn parse_document(file: &str, text: &str) -> Document {
    Document::parse(file, text, &SCHEMA)
}

/// A digest, or `none`.
struct OptionalDigest(Option<Digest>);

impl FromStr for OptionalDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text == "none" { Ok(Self(None)) } else { text.parse().map(|digest| Self(Some(digest))) }
    }
}

struct ConfigurationReader<'a> {
    document: &'a Document,
}

impl ConfigurationReader<'_> {
    fn configuration(&self) -> Option<Configuration> {
        let data_centres = self.read_named("data_centre", Self::data_centre);
        let classes = self.read_named("class", Self::class);
        let customers = self.customers(&classes);
        let pools = self.read_named("pool", Self::pool);
        let upstreams = self.read_named("upstream", Self::upstream);
        let fleet = self.document.section("fleet")?;
        let revision = self.document.value(fleet, "revision").map(ConfigRevision)?;
        let base: OptionalDigest = self.document.value(fleet, "base")?;
        let _plan: OptionalDigest = self.document.value(fleet, "plan")?;
        let text = self.document.canonical(&SCHEMA);
        let customer_by_key = self.index_customers_by_key();
        let digest = Digest::of(text.as_bytes());
        Some(Configuration {
            revision,
            base: base.0,
            digest,
            text,
            data_centres,
            classes,
            customers,
            pools,
            upstreams,
            customer_by_key,
        })
    }

    fn read_named<N: FromStr<Err: std::fmt::Display> + Ord, T>(
        &self,
        kind: &str,
        read: impl Fn(&Self, &Section) -> Option<T>,
    ) -> BTreeMap<N, T> {
        let sections = self.document.sections(kind);
        sections
            .filter_map(|section| {
                let value = read(self, section);
                let name = self.document.name(section);
                Some((name?, value?))
            })
            .collect()
    }

    fn data_centre(&self, section: &Section) -> Option<DataCentre> {
        let region = self.document.value::<DataCentreName>(section, "region");
        let state = self.document.value(section, "state");
        Some(DataCentre { region: region?.to_string(), state: state? })
    }

    fn class(&self, section: &Section) -> Option<Class> {
        const MAX_ENGINE_PRIORITY: u8 = 9;
        let share = self.document.positive_number(section, "share");
        let engine_priority = self.document.value::<u8>(section, "engine_priority")?;
        if engine_priority > MAX_ENGINE_PRIORITY {
            let message =
                format!("'engine_priority = {engine_priority}': expected 0 to {MAX_ENGINE_PRIORITY}");
            self.document.add_fault_at(section, "engine_priority", ResultCode::InvalidValue, message);
        }
        Some(Class { share: share?, engine_priority })
    }

    fn customers(&self, classes: &BTreeMap<ClassName, Class>) -> BTreeMap<CustomerName, Customer> {
        self.read_named("customer", |reader, section| {
            let document = reader.document;
            let class = document.value::<ClassName>(section, "class");
            if let Some(class) = class.as_ref().filter(|class| !classes.contains_key(*class)) {
                let message =
                    format!("class '{class}' is not defined; add [class.{class}] or correct the name");
                document.add_fault_at(section, "class", ResultCode::UnknownReference, message);
            }
            let _key: Option<KeyHash> = document.value(section, "key_sha256");
            let max_in_progress = document.value(section, "in_progress");
            let share = document.positive_number(section, "share");
            Some(Customer { class: class?, max_in_progress: max_in_progress?, share: share? })
        })
    }

    fn index_customers_by_key(&self) -> HashMap<KeyHash, CustomerName> {
        let mut by_key = HashMap::new();
        for section in self.document.sections("customer") {
            let key = section.text("key_sha256").and_then(|text| text.parse::<KeyHash>().ok());
            let (Some(key), Ok(name)) = (key, section.name.parse::<CustomerName>()) else { continue };
            if let Some(other) = by_key.insert(key, name) {
                let message = format!("customer '{other}' has the same key; each customer needs its own key");
                self.document.add_fault_at(section, "key_sha256", ResultCode::RepeatedKey, message);
            }
        }
        by_key
    }

    fn pool(&self, section: &Section) -> Option<Pool> {
        let kind = self.pool_kind(section);
        let load_bound = self.document.positive_number(section, "load_bound")?;
        if load_bound <= 1.0 {
            let message = format!("'load_bound = {load_bound}': expected a number above 1");
            self.document.add_fault_at(section, "load_bound", ResultCode::InvalidValue, message);
        }
        let slots = self.document.value::<std::num::NonZeroU32>(section, "slots")?;
        let typical_turn = self.document.millis(section, "turn_ms")?;
        Some(Pool { kind: kind?, load_bound: LoadBound(load_bound), slots: slots.get(), typical_turn })
    }

    fn pool_kind(&self, section: &Section) -> Option<PoolKind> {
        match section.text("kind")? {
            "model" => {
                let version = self.document.value(section, "version");
                let adapter = section.text("adapter").filter(|name| !name.is_empty());
                let model = self.document.value::<ModelName>(section, "model");
                Some(PoolKind::Model {
                    model: model?,
                    version: version?,
                    adapter: adapter.map(str::to_owned),
                })
            }
            "service" => self.service_path(section),
            other => {
                let message = format!("'kind = {other}': expected model or service");
                self.document.add_fault_at(section, "kind", ResultCode::InvalidValue, message);
                None
            }
        }
    }

    fn service_path(&self, section: &Section) -> Option<PoolKind> {
        let path = section.text("path")?;
        let is_reserved = path.starts_with("/v1/") || path == "/" || path == "/v1";
        if !path.starts_with('/') || is_reserved || path.contains(['?', '#', ' ']) {
            let message =
                format!("'path = {path}': expected a path such as /portal, other than / and paths below /v1");
            self.document.add_fault_at(section, "path", ResultCode::InvalidValue, message);
            return None;
        }
        Some(PoolKind::Service { path: path.to_owned() })
    }

    fn upstream(&self, section: &Section) -> Option<UpstreamOverride> {
        let state = self.document.value(section, "state");
        let role = self.document.value::<UpstreamName>(section, "role");
        Some(UpstreamOverride { state: state?, role: role?.to_string() })
    }
}
