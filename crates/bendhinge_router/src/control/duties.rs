//! What this router does for others, each duty in the module that has its state.

use std::sync::Arc;

use bendhinge_delivery::{Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{ChatKey, Digest, PermitId, UpstreamName};
use bendhinge_membership::Summary;
use bendhinge_peer::{ClaimRequest, ClaimResponse, ConfigResponse, PeerService, PermitResponse, Traced};
use bendhinge_placement::PermitRequest;

use crate::node::Node;
use crate::{configuration, delivery, membership, placement};

pub(super) struct Duties {
    node: Arc<Node>,
}

impl Duties {
    pub(super) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl PeerService for Duties {
    fn exchange(&self, summaries: Vec<Summary>) -> Vec<Summary> {
        membership::hear(&self.node, summaries);
        membership::tell(&self.node)
    }

    fn acquire(&self, request: Traced<PermitRequest>) -> Traced<PermitResponse> {
        placement::answer_peer(&self.node, request)
    }

    fn release(&self, permits: &[PermitId]) {
        let mut ledger = self.node.ledger.lock().unwrap();
        for permit in permits {
            ledger.release(*permit, bendhinge_clock::now());
        }
    }

    fn record_displaced(&self, chat: ChatKey, place: UpstreamName) {
        placement::note_displaced(&self.node, chat, &place);
    }

    fn claim_once(&self, request: Traced<ClaimRequest>) -> Traced<ClaimResponse> {
        delivery::answer_claim(&self.node, request)
    }

    fn settle_once(&self, key: OnceKey, claimant: Claimant, outcome: OnceOutcome) {
        delivery::answer_settle(&self.node, key, &claimant, outcome);
    }

    fn configuration(&self, base: Digest) -> ConfigResponse {
        configuration::answer_peer(&self.node, base)
    }

    fn members(&self, known: u64) -> Option<Vec<u8>> {
        let membership = self.node.membership.lock().unwrap();
        let list = membership.directory.list();
        (list.revision > known).then(|| serde_json::to_vec(list).unwrap_or_default())
    }
}
