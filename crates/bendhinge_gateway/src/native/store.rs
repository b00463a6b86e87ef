//! The native protocol of the store: JSON pages at `/v1/fleet` and the paths below.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{Revision, UpstreamEntry, UpstreamState, WarmUp};
use bendhinge_ids::{DataCentreName, NameHash, PoolName, UpstreamName};
use bendhinge_routes::ServingRules;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{Native, rules};
use crate::dialect::{
    ChangedEntry, ForeignEntry, ParseError, StoreChange, StoreChanges, StoreDialect, StorePage, StorePart,
    StoredRules, encode_query_value,
};

/// The key of the serving rules among changes. Upstream names contain no slash.
const RULES_KEY: &str = "/rules";
/// The prefix of the keys of data centres among changes.
const DATA_CENTRE_KEY_PREFIX: &str = "/drained/";

/// A page of the store's contents or changes.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct Page {
    at: u64,
    #[serde(default)]
    rules: Option<RulesItem>,
    /// Each entry is parsed on its own, so that an invalid one does not affect the others.
    #[serde(default)]
    upstreams: Vec<Box<RawValue>>,
    /// The drained data centres, which get no new work. In a list of changes, only those that were drained.
    #[serde(default)]
    drained: Vec<DataCentreName>,
    /// In a list of changes, the data centres that are no longer drained.
    #[serde(default)]
    restored: Vec<DataCentreName>,
    #[serde(default)]
    next: Option<String>,
    /// In a list of changes, the upstreams that were deleted.
    #[serde(default)]
    gone: Vec<UpstreamName>,
}

#[derive(Debug, Deserialize, Serialize)]
struct RulesItem {
    revision: u64,
    document: String,
}

#[derive(Debug, Deserialize, Serialize)]
struct UpstreamItem {
    name: UpstreamName,
    pool: PoolName,
    address: SocketAddr,
    data_centre: DataCentreName,
    slots: u32,
    #[serde(default)]
    draining: bool,
    made: u64,
    /// The remaining warm-up time in milliseconds when the upstream reported it.
    #[serde(default)]
    warm_up_ms: u32,
    /// The store revision of that report.
    #[serde(default)]
    warm_up_said: u64,
    /// The start time of the process in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
    /// The software that the upstream runs.
    #[serde(default)]
    software: String,
}

impl StoreDialect for Native {
    fn page_path(&self, part: StorePart, after: Option<&str>) -> String {
        let path = match part {
            StorePart::All => "/v1/fleet",
            StorePart::Upstreams => "/v1/fleet/upstreams",
            StorePart::Rules => "/v1/fleet/rules",
            StorePart::Drained => "/v1/fleet/drained",
        };
        after.map_or_else(|| path.to_owned(), |after| format!("{path}?after={}", encode_query_value(after)))
    }

    fn parse_page(&self, body: &[u8], _: Option<Revision>) -> Result<StorePage, ParseError> {
        let page = parse_json(body)?;
        let (upstreams, foreign) = parse_entries(&page.upstreams);
        Ok(StorePage {
            at: Revision(page.at),
            rules: page.rules.map(stored_rules),
            upstreams,
            drained: page.drained,
            foreign,
            next_after: page.next,
        })
    }

    fn changes_path(&self, since: Revision) -> String {
        format!("/v1/fleet/changes?since={}", since.0)
    }

    fn parse_changes(&self, body: &[u8]) -> Result<StoreChanges, ParseError> {
        let page = parse_json(body)?;
        let (updated, foreign) = parse_entries(&page.upstreams);
        let updated = updated.into_iter().map(|upstream| {
            let key = upstream.name.as_str().to_owned();
            StoreChange { key, entry: ChangedEntry::Upstream(upstream) }
        });
        let removed = page.gone.into_iter().map(|name| {
            let key = name.as_str().to_owned();
            StoreChange { key, entry: ChangedEntry::RemovedUpstream { name: Some(name), foreign: None } }
        });
        let foreign = foreign.into_iter().map(|foreign| {
            let key = foreign.key.clone();
            StoreChange {
                entry: ChangedEntry::RemovedUpstream { name: key.parse().ok(), foreign: Some(foreign) },
                key,
            }
        });
        let drained = page.drained.into_iter().map(|name| data_centre_change(name, true));
        let restored = page.restored.into_iter().map(|name| data_centre_change(name, false));
        let rules = page.rules.map(stored_rules).map(ChangedEntry::Rules);
        let rules = rules.map(|entry| StoreChange { key: RULES_KEY.to_owned(), entry });
        Ok(StoreChanges {
            at: Revision(page.at),
            changes: updated
                .chain(removed)
                .chain(foreign)
                .chain(drained)
                .chain(restored)
                .chain(rules)
                .collect(),
        })
    }

    fn parse_rules(&self, document: &[u8]) -> Result<ServingRules, ParseError> {
        rules::parse(document)
    }
}

fn data_centre_change(name: DataCentreName, is_drained: bool) -> StoreChange {
    let key = format!("{DATA_CENTRE_KEY_PREFIX}{name}");
    StoreChange { key, entry: ChangedEntry::DataCentre { name, is_drained } }
}

fn parse_json(body: &[u8]) -> Result<Page, ParseError> {
    serde_json::from_slice(body).map_err(|error| ParseError::new("store page", &error))
}

fn stored_rules(item: RulesItem) -> StoredRules {
    StoredRules { revision: Revision(item.revision), document: Bytes::from(item.document) }
}

/// Parses entries; returns the upstreams and the invalid entries.
fn parse_entries(items: &[Box<RawValue>]) -> (Vec<UpstreamEntry>, Vec<ForeignEntry>) {
    let (mut upstreams, mut foreign) = (Vec::new(), Vec::new());
    for raw in items {
        match serde_json::from_str::<UpstreamItem>(raw.get()) {
            Ok(item) => upstreams.push(upstream_entry(item)),
            Err(error) => foreign.push(ForeignEntry::new(entry_name(raw), &error)),
        }
    }
    (upstreams, foreign)
}

/// Returns the name in an otherwise invalid entry, or an empty text if the name is invalid too.
fn entry_name(raw: &RawValue) -> String {
    #[derive(Deserialize)]
    struct NameOnly {
        name: String,
    }
    serde_json::from_str::<NameOnly>(raw.get()).map(|item| item.name).unwrap_or_default()
}

fn upstream_entry(item: UpstreamItem) -> UpstreamEntry {
    UpstreamEntry {
        hash: UpstreamEntry::instance_hash(&item.name, item.born),
        name: item.name,
        started_ms: item.born,
        software: NameHash::of(&format!("{}/{}", item.pool, item.software)),
        pool: item.pool,
        address: item.address,
        data_centre: item.data_centre,
        slots: item.slots,
        state: if item.draining { UpstreamState::Draining } else { UpstreamState::Ready },
        created_revision: item.made,
        warm_up: WarmUp::new(Duration::from_millis(item.warm_up_ms.into()), Revision(item.warm_up_said)),
    }
}
