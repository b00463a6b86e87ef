//! The duty of configuration: taking documents in, from the platform or from other routers,
//! and putting them in force.

use std::collections::VecDeque;
use std::sync::Arc;

use bendhinge_configuration::{Adoption, Configuration, Delta, OfferOutcome, SealError};
use bendhinge_ids::{ConfigRevision, Digest};
use bendhinge_peer::ConfigResponse;
use bendhinge_timeline::EventKind;
use opentelemetry::KeyValue;

use crate::node::Node;

/// Documents kept to answer peers with what differs from theirs.
const RECENT: usize = 4;

/// The documents that the router knows.
#[derive(Default)]
pub(crate) struct ConfigurationState {
    pub(crate) adoption: Adoption,
    recent: VecDeque<Arc<Configuration>>,
    last_refused: Option<Digest>,
}

impl ConfigurationState {
    fn remember(&mut self, document: &Arc<Configuration>) {
        self.recent.push_back(Arc::clone(document));
        while self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// The latest known document's revision and digest.
    pub(crate) fn latest(&self) -> (ConfigRevision, Digest) {
        self.adoption.latest().map_or_else(Default::default, |latest| (latest.revision, latest.digest))
    }
}

/// Takes a document in; `from` names where it came from.
pub(crate) fn take_in(node: &Node, from: &str, text: &str) {
    match node.settings.keys.seal.open(from, text) {
        Ok(document) => offer(node, from, &Arc::new(document)),
        Err(error) => refuse(node, from, Digest::of(text.as_bytes()), &error),
    }
}

fn offer(node: &Node, from: &str, document: &Arc<Configuration>) {
    let (revision, digest) = (document.revision, document.digest);
    let offer = {
        let mut state = node.configuration.lock().unwrap();
        let offer = state.adoption.offer(Arc::clone(document), bendhinge_clock::now());
        if offer == OfferOutcome::Accepted {
            state.remember(document);
        }
        offer
    };
    match offer {
        OfferOutcome::Accepted => {
            let digest = digest.to_string();
            node.note(EventKind::ConfigurationHeard { revision: revision.0, digest, from: from.to_owned() });
        }
        OfferOutcome::Superseded => {
            count_refused(node, from, digest, "superseded", &format!("revision {revision} is superseded"));
        }
        OfferOutcome::Known | OfferOutcome::Stale => {}
    }
}

fn refuse(node: &Node, from: &str, digest: Digest, error: &SealError) {
    let reason = match error {
        SealError::Faults(_) => "faults",
        SealError::Invalid => "seal",
    };
    count_refused(node, from, digest, reason, &error.to_string());
}

fn count_refused(node: &Node, from: &str, digest: Digest, reason: &'static str, detail: &str) {
    let first_time = {
        let mut state = node.configuration.lock().unwrap();
        state.last_refused.replace(digest) != Some(digest)
    };
    node.metrics.documents_refused.add(1, &[KeyValue::new("reason", reason)]);
    if first_time {
        spdlog::warn!("configuration refused", kv: { from, reason, detail });
        node.note(EventKind::ConfigurationRefused { reason: detail.to_owned(), from: from.to_owned() });
    }
}

/// Puts a settled document in force; `true` if one was.
///
/// `highest_heard` is the highest revision that other routers told of lately, if any told at
/// all. A first document waits for that word: a box that boots while the platform is stale must
/// not serve an older configuration than the fleet's.
pub(crate) fn settle(node: &Node, highest_heard: Option<ConfigRevision>, alone: bool) -> bool {
    let mut state = node.configuration.lock().unwrap();
    if state.adoption.current().is_none() {
        let known = state.latest().0;
        let vouched = alone || highest_heard.is_some_and(|heard| heard <= known);
        if !vouched {
            return false;
        }
    }
    let Some(document) = state.adoption.activate_settled(bendhinge_clock::now()) else { return false };
    drop(state);
    node.metrics.configuration_revision.set(document.revision.0);
    let (revision, digest) = (document.revision.0, document.digest.to_string());
    spdlog::info!("configuration in force", kv: { revision });
    node.note(EventKind::ConfigurationInForce { revision, digest });
    true
}

/// What a peer whose latest document is `base` should be sent.
pub(crate) fn answer_peer(node: &Node, base: Digest) -> ConfigResponse {
    let state = node.configuration.lock().unwrap();
    let Some(latest) = state.adoption.latest() else { return ConfigResponse::None };
    if latest.digest == base {
        return ConfigResponse::None;
    }
    let known = state.recent.iter().find(|document| document.digest == base);
    let delta = known.map(|known| Delta::between(&known.text, &latest.text));
    match delta.filter(|delta| delta.estimated_bytes() < latest.text.len()) {
        Some(delta) => ConfigResponse::Delta(serde_json::to_vec(&delta).unwrap_or_default()),
        None => ConfigResponse::Full(latest.text.clone()),
    }
}

/// Takes in a peer's answer to a question that named this router's latest document.
pub(crate) fn take_answer(node: &Node, from: &str, answer: ConfigResponse) {
    match answer {
        ConfigResponse::None => {}
        ConfigResponse::Full(text) => take_in(node, from, &text),
        ConfigResponse::Delta(bytes) => {
            // A delta from another base or a damaged one is dropped; the next exchange asks again.
            let delta = serde_json::from_slice::<Delta>(&bytes).ok();
            let latest =
                node.configuration.lock().unwrap().adoption.latest().map(|latest| latest.text.clone());
            let text = delta.zip(latest).and_then(|(delta, latest)| delta.apply(&latest).ok());
            if let Some(text) = text {
                take_in(node, from, &text);
            }
        }
    }
}
