//! From stated intents to a plan, and from a confirmed plan to the document to publish.

use bendhinge_codes::ResultCode;
use bendhinge_ids::{ConfigRevision, Digest};
use bendhinge_ini::Faults;
use serde::{Deserialize, Serialize};

use crate::effects::{PoolEffect, PoolMember, ShareEffect, pool_effects, share_effects};
use crate::{Configuration, Delta, Intent, IntentError, SCHEMA, SealKey, canonical_document, parse};

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
    let delta = Delta::between(before, after);
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
