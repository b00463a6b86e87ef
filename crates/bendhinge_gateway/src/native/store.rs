//! The store in the product's own interface: pages of JSON at `/v1/fleet`, and of its parts below.

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
    ChangedEntry, ForeignEntry, StoreChange, StoreChanges, StoreDialect, StorePage, StorePart, StoredRules,
    TranslateError,
};

/// What stands for the key of the rules among changes: no upstream's name has this sign.
const RULES_KEY: &str = "/rules";

/// A page.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct Page {
    at: u64,
    #[serde(default)]
    rules: Option<RulesItem>,
    /// Each is read by itself: one that cannot be read must not hide the others.
    #[serde(default)]
    upstreams: Vec<Box<RawValue>>,
    /// Data centres that are to get no new work.
    #[serde(default)]
    drained: Vec<DataCentreName>,
    #[serde(default)]
    next: Option<String>,
    /// Among changes, the upstreams that are listed no more.
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
    /// What was left of its warm-up when it said so, in milliseconds.
    #[serde(default)]
    warm_up_ms: u32,
    /// The store's revision at which it said so.
    #[serde(default)]
    warm_up_said: u64,
    /// When its process started, in milliseconds since 1970.
    #[serde(default)]
    born: u64,
    /// What it runs.
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
        after.map_or_else(|| path.to_owned(), |after| format!("{path}?after={after}"))
    }

    fn read_page(&self, body: &[u8], _: Option<Revision>) -> Result<StorePage, TranslateError> {
        let page = read(body)?;
        let (upstreams, foreign) = entries(&page.upstreams);
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

    fn read_changes(&self, body: &[u8]) -> Result<StoreChanges, TranslateError> {
        let page = read(body)?;
        let (came, foreign) = entries(&page.upstreams);
        let came = came.into_iter().map(|upstream| {
            let key = upstream.name.as_str().to_owned();
            StoreChange { key, entry: ChangedEntry::Upstream(upstream) }
        });
        let gone = page.gone.into_iter().map(|name| {
            let key = name.as_str().to_owned();
            StoreChange { key, entry: ChangedEntry::NoUpstream { name: Some(name), foreign: None } }
        });
        let foreign = foreign.into_iter().map(|foreign| {
            let key = foreign.key.clone();
            StoreChange {
                entry: ChangedEntry::NoUpstream { name: key.parse().ok(), foreign: Some(foreign) },
                key,
            }
        });
        let rules = page.rules.map(stored_rules).map(ChangedEntry::Rules);
        let rules = rules.map(|entry| StoreChange { key: RULES_KEY.to_owned(), entry });
        Ok(StoreChanges {
            at: Revision(page.at),
            changes: came.chain(gone).chain(foreign).chain(rules).collect(),
        })
    }

    fn read_rules(&self, document: &[u8]) -> Result<ServingRules, TranslateError> {
        rules::read(document)
    }
}

fn read(body: &[u8]) -> Result<Page, TranslateError> {
    serde_json::from_slice(body).map_err(|error| TranslateError::new("a page of the store", &error))
}

fn stored_rules(item: RulesItem) -> StoredRules {
    StoredRules { revision: Revision(item.revision), document: Bytes::from(item.document) }
}

/// The entries that name upstreams, and those that do not.
fn entries(items: &[Box<RawValue>]) -> (Vec<UpstreamEntry>, Vec<ForeignEntry>) {
    let (mut upstreams, mut foreign) = (Vec::new(), Vec::new());
    for raw in items {
        match serde_json::from_str::<UpstreamItem>(raw.get()) {
            Ok(item) => upstreams.push(entry(item)),
            Err(error) => foreign.push(ForeignEntry::new(name_of(raw), &error)),
        }
    }
    (upstreams, foreign)
}

/// The name of an entry of which other things cannot be read; empty if it is not either.
fn name_of(raw: &RawValue) -> String {
    #[derive(Deserialize)]
    struct Named {
        name: String,
    }
    serde_json::from_str::<Named>(raw.get()).map(|named| named.name).unwrap_or_default()
}

fn entry(item: UpstreamItem) -> UpstreamEntry {
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
