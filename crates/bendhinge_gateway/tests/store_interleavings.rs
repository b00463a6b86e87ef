//! Model tests of reads of the store while the store changes between their calls.

use std::net::SocketAddr;

use bendhinge_fleet::{Revision, UpstreamEntry, UpstreamList, UpstreamState};
use bendhinge_gateway::dialect::{ChangedEntry, LatestChanges, StoreChange, StoreChanges};
use bendhinge_ids::{DataCentreName, NameHash};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Contents of the store at each revision, and what each revision changed.
struct Store {
    contents: Vec<UpstreamList>,
    changes: Vec<(String, Change)>,
}

#[derive(Clone, Copy)]
enum Change {
    Upstream(&'static str, Option<u32>),
    DataCentre(&'static str, bool),
}

fn upstream(name: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        hash: NameHash::of(name),
        started_ms: 0,
        software: NameHash::of("software"),
        pool: "pool".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "a".parse().unwrap(),
        slots,
        state: UpstreamState::Ready,
        created_revision: 1,
        warm_up: None,
    }
}

fn empty_list() -> UpstreamList {
    UpstreamList { entries: Vec::new(), drained: Vec::new() }
}

impl Store {
    fn new() -> Self {
        Self { contents: vec![empty_list()], changes: Vec::new() }
    }

    fn revision(&self) -> usize {
        self.changes.len()
    }

    fn apply(&mut self, change: Change) {
        let current = &self.contents[self.revision()];
        let (key, next) = match change {
            Change::Upstream(name, slots) => {
                let updated = slots.map(|slots| upstream(name, slots)).into_iter().collect();
                let next =
                    current.with_store_changes(updated, &[name.parse().unwrap()], current.drained.clone());
                (format!("upstream/{name}"), next)
            }
            Change::DataCentre(name, is_drained) => {
                let name: DataCentreName = name.parse().unwrap();
                let mut next = current.clone();
                next.drained.retain(|drained| *drained != name);
                if is_drained {
                    next.drained.push(name.clone());
                    next.drained.sort_unstable();
                }
                (format!("drained/{name}"), next)
            }
        };
        self.contents.push(next);
        self.changes.push((key, change));
    }

    /// The answer to a read of the changes after `since`.
    fn changes_since(&self, since: usize) -> LatestChanges {
        let changes = self.changes[since..].iter().map(|(key, change)| {
            let entry = match *change {
                Change::Upstream(name, Some(slots)) => ChangedEntry::Upstream(upstream(name, slots)),
                Change::Upstream(name, None) => {
                    ChangedEntry::RemovedUpstream { name: name.parse().ok(), foreign: None }
                }
                Change::DataCentre(name, is_drained) => {
                    ChangedEntry::DataCentre { name: name.parse().unwrap(), is_drained }
                }
            };
            StoreChange { key: key.clone(), entry }
        });
        StoreChanges { at: Revision(self.revision() as u64), changes: changes.collect() }.latest()
    }
}

fn any_change(source: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<Change> {
    let name = *source.choose(&NAMES)?;
    Ok(match source.int_in_range(0..=3)? {
        0 => Change::Upstream(name, None),
        1 => Change::Upstream(name, Some(source.int_in_range(1..=9)?)),
        2 => Change::DataCentre(name, true),
        _ => Change::DataCentre(name, false),
    })
}

/// Guards against a value that is put together from two calls at different revisions and labelled with one of them:
/// an evacuation, or its end, between the two calls was in force nowhere.
#[test]
fn list_from_changes_is_the_content_of_its_revision() {
    arbtest::arbtest(|source| {
        let mut store = Store::new();
        let mut held = (0, empty_list());
        for _ in 0..source.int_in_range(1..=8)? {
            for _ in 0..source.int_in_range(0..=3)? {
                store.apply(any_change(source)?);
            }
            let drained = store.contents[store.revision()].drained.clone();
            for _ in 0..source.int_in_range(0..=3)? {
                store.apply(any_change(source)?);
            }
            let changes = store.changes_since(held.0);
            let drained = changes.drained_since(drained);
            let list = held.1.with_store_changes(changes.updated, &changes.removed, drained);
            assert_eq!(list, store.contents[store.revision()], "at revision {}", store.revision());
            held = (store.revision(), list);
        }
        Ok(())
    });
}

/// Guards against an evacuation that is taken back and given again between the two calls of a read.
#[test]
fn each_order_of_two_evacuations_and_a_read_is_exact() {
    for steps in 0_u32..64 {
        let mut store = Store::new();
        let is_drained = |step: u32| steps >> step & 1 == 1;
        (0..3).for_each(|step| store.apply(Change::DataCentre("a", is_drained(step))));
        let page = store.contents[store.revision()].drained.clone();
        (3..6).for_each(|step| store.apply(Change::DataCentre("a", is_drained(step))));
        for since in 0..=3 {
            let drained = store.changes_since(since).drained_since(page.clone());
            assert_eq!(drained, store.contents[6].drained, "steps {steps:06b}, since {since}");
        }
    }
}
