//! From a stated intent to a plan, and from a confirmed plan to the document to publish.

use std::collections::BTreeMap;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{ChatKey, ConfigRevision, Digest, HallName, PoolName, UpstreamName};
use bendhinge_ini::{Document, Faults};
use bendhinge_placement::{Ranked, Ranking};
use serde::{Deserialize, Serialize};

use crate::{Configuration, SCHEMA, SealKey, canonical_document, parse};

/// One change that an operator states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Set a key of a section.
    Set {
        /// The section's title, as `class.readers`.
        title: String,
        /// The key.
        key: String,
        /// Its new value.
        value: String,
    },
    /// Remove a section.
    Remove {
        /// The section's title.
        title: String,
    },
}

/// Why an intent gives no plan.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// The text has not the form of an intent.
    #[error("{code}: '{0}' is not an intent; write SECTION.KEY=VALUE, as class.readers.share=20", code = ResultCode::IntentInvalid)]
    Form(String),
    /// What is to be removed is not there.
    #[error("{code}: there is no section [{0}] to remove", code = ResultCode::IntentInvalid)]
    NothingToRemove(String),
    /// The section `fleet` is written by the tool alone.
    #[error("{code}: [fleet] is written by plan and confirm", code = ResultCode::IntentInvalid)]
    FleetSection,
    /// The configuration that would result has faults.
    #[error(transparent)]
    Faults(#[from] Faults),
}

impl Intent {
    /// Reads `SECTION.KEY=VALUE`.
    pub fn parse_set(text: &str) -> Result<Self, IntentError> {
        let form = || IntentError::Form(text.to_owned());
        let (place, value) = text.split_once('=').ok_or_else(form)?;
        let (title, key) = place.trim().rsplit_once('.').ok_or_else(form)?;
        Ok(Self::Set { title: title.to_owned(), key: key.to_owned(), value: value.trim().to_owned() })
    }

    fn apply(&self, document: &mut Document) -> Result<(), IntentError> {
        match self {
            Self::Set { title, .. } | Self::Remove { title } if title == "fleet" => {
                Err(IntentError::FleetSection)
            }
            Self::Set { title, key, value } => {
                document.set(&SCHEMA, title, key, value);
                Ok(())
            }
            Self::Remove { title } if document.remove(title) => Ok(()),
            Self::Remove { title } => Err(IntentError::NothingToRemove(title.clone())),
        }
    }
}

/// A line of the document that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The section's title.
    pub section: String,
    /// Its text before; empty for a new section.
    pub before: String,
    /// Its text after; empty for a section that goes.
    pub after: String,
}

/// An upstream as the platform lists it, for reckoning a plan's effects.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Its name.
    pub name: UpstreamName,
    /// Its pool.
    pub pool: PoolName,
    /// Its hall.
    pub hall: HallName,
    /// Its size relative to others.
    pub weight: f64,
}

/// The part of a pool's load that a hall will carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HallLoad {
    /// The hall.
    pub hall: HallName,
    /// The part before, 0 to 1.
    pub before: f64,
    /// The part after.
    pub after: f64,
}

/// What a plan does to one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolEffect {
    /// The pool.
    pub pool: PoolName,
    /// Upstreams that take new work, before.
    pub upstreams_before: usize,
    /// And after.
    pub upstreams_after: usize,
    /// Requests served at once, before.
    pub slots_before: u32,
    /// And after. Beyond these, classes above their share are refused.
    pub slots_after: u32,
    /// The part of the chats whose first upstream changes, 0 to 1; their context is lost.
    pub chats_moved: f64,
    /// Load by hall.
    pub halls: Vec<HallLoad>,
    /// Whether engines are ordered to load something else.
    pub reloads: bool,
}

/// What a plan does to a class when a pool is full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareEffect {
    /// The class.
    pub class: String,
    /// Its part of a full pool before, 0 to 1; beyond it the class is refused.
    pub before: f64,
    /// And after.
    pub after: f64,
}

/// What will change; nothing does until it is confirmed and published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision that it was made from.
    pub base_revision: ConfigRevision,
    /// The document that it was made from.
    pub base: Digest,
    /// Sections that change.
    pub changes: Vec<Change>,
    /// Effects on pools.
    pub pools: Vec<PoolEffect>,
    /// Effects on classes.
    pub shares: Vec<ShareEffect>,
    /// The whole document that would result, not sealed.
    pub document: String,
    /// The digest of all of the above, by which a confirmation names the plan.
    pub digest: Digest,
}

/// Why a plan cannot be confirmed.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The configuration in force is another than the plan's base.
    #[error("{code}: the plan was made from revision {planned}, but revision {in_force} is in force; make a new plan", code = ResultCode::PlanBaseChanged)]
    BaseChanged {
        /// The plan's base.
        planned: ConfigRevision,
        /// What is in force.
        in_force: ConfigRevision,
    },
    /// The plan is not as it was made.
    #[error("{code}: the plan was altered after it was made; make it again", code = ResultCode::PlanAltered)]
    Altered,
    /// Its document has faults.
    #[error(transparent)]
    Faults(#[from] Faults),
}

/// A confirmed plan: what the operator publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// Its revision.
    pub revision: ConfigRevision,
    /// The sealed document.
    pub document: String,
}

impl Plan {
    /// Makes a plan from the configuration in force; `members` are the upstreams that the
    /// platform lists as live.
    pub fn make(
        base: &Configuration,
        intents: &[Intent],
        members: &[PoolMember],
    ) -> Result<Self, IntentError> {
        let mut document = canonical_document("intent", &base.text);
        for intent in intents {
            intent.apply(&mut document)?;
        }
        document.set(&SCHEMA, "fleet", "revision", &base.revision.next().to_string());
        document.set(&SCHEMA, "fleet", "base", &base.digest.to_string());
        document.set(&SCHEMA, "fleet", "plan", "none");
        document.set(&SCHEMA, "fleet", "seal", "");
        let text = document.canonical(&SCHEMA);
        // Faults of the changes themselves first: they name what the operator wrote.
        document.finish(Some(()))?;
        let after = parse("plan", &text)?;
        let mut plan = Self {
            base_revision: base.revision,
            base: base.digest,
            changes: changes(&base.text, &text),
            pools: pool_effects(base, &after, members),
            shares: share_effects(base, &after),
            document: text,
            digest: Digest::default(),
        };
        plan.digest = plan.own_digest();
        Ok(plan)
    }

    fn own_digest(&self) -> Digest {
        let unsigned = Self { digest: Digest::default(), ..self.clone() };
        let bytes = serde_json::to_vec(&unsigned).expect("a plan has string keys only");
        Digest::of(&bytes)
    }

    /// Binds the plan to the configuration in force and gives the document to publish.
    pub fn confirm(&self, in_force: &Configuration, key: &SealKey) -> Result<Confirmed, PlanError> {
        if self.own_digest() != self.digest {
            return Err(PlanError::Altered);
        }
        if in_force.digest != self.base {
            return Err(PlanError::BaseChanged { planned: self.base_revision, in_force: in_force.revision });
        }
        let revision = parse("plan", &self.document)?.revision;
        let mut document = canonical_document("plan", &self.document);
        document.set(&SCHEMA, "fleet", "plan", &self.digest.to_string());
        Ok(Confirmed { revision, document: key.seal(document) })
    }
}

fn changes(before: &str, after: &str) -> Vec<Change> {
    let delta = crate::Delta::between(before, after);
    let section_of = |text: &str, title: &str| {
        let head = format!("[{title}]\n");
        let start = text.find(&head).map(|start| start + head.len());
        start.map_or(String::new(), |start| {
            let rest = &text[start..];
            rest[..rest.find("\n[").map_or(rest.len(), |end| end + 1)].trim_end().to_owned()
        })
    };
    let changed =
        delta.changed.iter().filter_map(|text| text.lines().next()).map(|line| line.trim_matches(['[', ']']));
    let titles = delta.removed.iter().map(String::as_str).chain(changed);
    titles
        .filter(|title| *title != "fleet")
        .map(|title| Change {
            section: title.to_owned(),
            before: section_of(before, title),
            after: section_of(after, title),
        })
        .collect()
}

fn serving(configuration: &Configuration, pool: &PoolName, members: &[PoolMember]) -> Vec<PoolMember> {
    let of_pool = members.iter().filter(|member| member.pool == *pool);
    of_pool.filter(|member| configuration.may_serve(&member.name, &member.hall)).cloned().collect()
}

fn pool_effects(before: &Configuration, after: &Configuration, members: &[PoolMember]) -> Vec<PoolEffect> {
    let effects = after.pools.keys().map(|pool| pool_effect(pool, before, after, members));
    effects.filter(PoolEffect::changes_anything).collect()
}

impl PoolEffect {
    fn changes_anything(&self) -> bool {
        let upstreams = self.upstreams_before != self.upstreams_after;
        let slots = self.slots_before != self.slots_after;
        upstreams || slots || self.reloads || self.chats_moved > 0.0
    }
}

fn pool_effect(
    pool: &PoolName,
    before: &Configuration,
    after: &Configuration,
    members: &[PoolMember],
) -> PoolEffect {
    let old = serving(before, pool, members);
    let new = serving(after, pool, members);
    PoolEffect {
        pool: pool.clone(),
        upstreams_before: old.len(),
        upstreams_after: new.len(),
        slots_before: slots(before, pool, &old),
        slots_after: slots(after, pool, &new),
        chats_moved: chats_moved(&old, &new),
        halls: hall_loads(&old, &new),
        reloads: before.pools.get(pool).is_some_and(|previous| previous.kind != after.pools[pool].kind),
    }
}

fn slots(configuration: &Configuration, pool: &PoolName, members: &[PoolMember]) -> u32 {
    let per_weight = configuration.pools.get(pool).map_or(0, |pool| pool.slots);
    let weight: f64 = members.iter().map(|member| member.weight).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    let slots = (weight * f64::from(per_weight)).round() as u32;
    slots
}

fn ranking(members: &[PoolMember]) -> Ranking {
    let ranked = members.iter().map(|member| Ranked {
        name: member.name.clone(),
        weight: member.weight,
        tier: 0,
        serving: true,
    });
    Ranking::new(ranked.collect())
}

/// The part of the chats whose first upstream changes, over a sample of keys.
fn chats_moved(before: &[PoolMember], after: &[PoolMember]) -> f64 {
    const SAMPLE: u64 = 4_096;
    let (before, after) = (ranking(before), ranking(after));
    if before.serving() == 0 || after.serving() == 0 {
        return if before.serving() == after.serving() { 0.0 } else { 1.0 };
    }
    let first = |ranking: &Ranking, chat| ranking.get(ranking.shortlist(chat).as_slice()[0]).name.clone();
    let chats = (0..SAMPLE).map(|number| ChatKey::of("sample", &number.to_le_bytes()));
    let moved = chats.filter(|chat| first(&before, *chat) != first(&after, *chat)).count();
    moved as f64 / SAMPLE as f64
}

fn hall_loads(before: &[PoolMember], after: &[PoolMember]) -> Vec<HallLoad> {
    let parts = |members: &[PoolMember]| {
        let total: f64 = members.iter().map(|member| member.weight).sum();
        let mut parts = BTreeMap::new();
        for member in members {
            *parts.entry(member.hall.clone()).or_insert(0.0) += member.weight / total;
        }
        parts
    };
    let (before, after) = (parts(before), parts(after));
    let mut halls: Vec<HallName> = before.keys().chain(after.keys()).cloned().collect();
    halls.sort();
    halls.dedup();
    halls
        .into_iter()
        .map(|hall| HallLoad {
            before: before.get(&hall).copied().unwrap_or(0.0),
            after: after.get(&hall).copied().unwrap_or(0.0),
            hall,
        })
        .collect()
}

fn share_effects(before: &Configuration, after: &Configuration) -> Vec<ShareEffect> {
    let part = |configuration: &Configuration, name| {
        let total: f64 = configuration.classes.values().map(|class| class.share).sum();
        configuration.classes.get(name).map_or(0.0, |class| class.share / total)
    };
    let mut names: Vec<_> = before.classes.keys().chain(after.classes.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|name| ShareEffect {
            class: name.to_string(),
            before: part(before, name),
            after: part(after, name),
        })
        .filter(|effect| (effect.before - effect.after).abs() > 1e-9)
        .collect()
}
