//! Creates plans from intents and turns confirmed plans into documents to publish.

use bendhinge_codes::ResultCode;
use bendhinge_ids::{ConfigRevision, Digest};
use bendhinge_ini::Faults;
use serde::{Deserialize, Serialize};

use crate::effects::{PoolEffect, PoolMember, ShareEffect, pool_effects, share_effects};
use crate::{Configuration, Delta, Intent, IntentError, SCHEMA, SealKey, parse, parse_document};

/// One changed section of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Title of the section.
    pub section: String,
    /// Text before the change; empty for an added section.
    pub before: String,
    /// Text after the change; empty for a removed section.
    pub after: String,
}

/// A planned change, which takes effect only once it is confirmed and published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Revision of the base document.
    pub base_revision: ConfigRevision,
    /// Digest of the base document.
    pub base: Digest,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
    /// Effects on pools.
    pub pools: Vec<PoolEffect>,
    /// Effects on classes.
    pub shares: Vec<ShareEffect>,
    /// The complete resulting document, unsealed.
    pub document: String,
    /// Digest of all other fields, which identifies the plan when it is confirmed.
    pub digest: Digest,
}

/// Reason for refusing to confirm a plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The configuration in force is not the plan's base.
    #[error("{code}: the plan is based on revision {planned}, but revision {in_force} is in force; create a new plan", code = ResultCode::PlanBaseChanged)]
    BaseChanged {
        /// Base revision of the plan.
        planned: ConfigRevision,
        /// Revision in force.
        in_force: ConfigRevision,
    },
    /// The plan was modified after it was created.
    #[error("{code}: the plan was modified after it was created; create a new plan", code = ResultCode::PlanAltered)]
    Altered,
    /// The document of the plan is invalid.
    #[error(transparent)]
    Faults(#[from] Faults),
}

/// A confirmed plan, ready to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedPlan {
    /// Revision of the document.
    pub revision: ConfigRevision,
    /// The sealed document.
    pub document: String,
}

impl Plan {
    /// Creates a plan from the configuration in force; `members` are the upstreams that the
    /// platform lists as live.
    pub fn make(
        base: &Configuration,
        intents: &[Intent],
        members: &[PoolMember],
    ) -> Result<Self, IntentError> {
        let mut document = parse_document("intent", &base.text);
        for intent in intents {
            intent.apply(&mut document)?;
        }
        document.set(&SCHEMA, "fleet", "revision", &base.revision.next().to_string());
        document.set(&SCHEMA, "fleet", "base", &base.digest.to_string());
        document.set(&SCHEMA, "fleet", "plan", "none");
        document.set(&SCHEMA, "fleet", "seal", "");
        let text = document.canonical(&SCHEMA);
        // Reports faults of the intents first, because they refer to the operator's input.
        document.finish(Some(()))?;
        let after = parse("plan", &text)?;
        let mut plan = Self {
            base_revision: base.revision,
            base: base.digest,
            changes: section_changes(&base.text, &text),
            pools: pool_effects(base, &after, members),
            shares: share_effects(base, &after),
            document: text,
            digest: Digest::default(),
        };
        plan.digest = plan.compute_digest();
        Ok(plan)
    }

    fn compute_digest(&self) -> Digest {
        let without_digest = Self { digest: Digest::default(), ..self.clone() };
        let bytes = serde_json::to_vec(&without_digest).expect("a plan has string keys only");
        Digest::of(&bytes)
    }

    /// Checks that the plan is based on the configuration in force and returns the sealed document.
    pub fn confirm(&self, in_force: &Configuration, key: &SealKey) -> Result<ConfirmedPlan, PlanError> {
        if self.compute_digest() != self.digest {
            return Err(PlanError::Altered);
        }
        if in_force.digest != self.base {
            return Err(PlanError::BaseChanged { planned: self.base_revision, in_force: in_force.revision });
        }
        let revision = parse("plan", &self.document)?.revision;
        let mut document = parse_document("plan", &self.document);
        document.set(&SCHEMA, "fleet", "plan", &self.digest.to_string());
        Ok(ConfirmedPlan { revision, document: key.seal(document) })
    }
}

fn section_changes(before: &str, after: &str) -> Vec<SectionChange> {
    let delta = Delta::between(before, after);
    let section_of = |text: &str, title: &str| {
        let title_line = format!("[{title}]\n");
        let start = text.find(&title_line).map(|start| start + title_line.len());
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
        .map(|title| SectionChange {
            section: title.to_owned(),
            before: section_of(before, title),
            after: section_of(after, title),
        })
        .collect()
}
