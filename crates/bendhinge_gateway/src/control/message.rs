//! Composes messages to other gateways and merges received ones.
//!
//! A message holds only what its receiver is known to lack. Member states and loads are sent in
//! compact form if both ends know the same members or hold the same list of upstreams, and each
//! cached part is sent once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bendhinge_fleet::{LogPosition, MemberReport, PeerState, PeerSummary};
use bendhinge_ids::Instant;
use bendhinge_peer::PeerMessage;

use super::ControlPlane;
use crate::state::observed_cached_part;

/// Content of a message to a peer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageContent {
    /// Versions that the sender holds, as a notification of an update.
    Brief,
    /// Versions, and the changes of suspected requests since an instant.
    Suspicions {
        /// Time up to which changes were already sent.
        since: Instant,
        /// Whether changes reported by other gateways are included.
        includes_forwarded: bool,
    },
    /// Versions, and reports of overloaded upstreams.
    Overloads {
        /// Sequence number up to which reports were already sent.
        since: u64,
    },
    /// Versions, and the gateways that are partitioned from pools.
    Partitions,
    /// Versions, and a request for members.
    Probe,
    /// Versions and members.
    Members,
    /// Everything that the receiver may lack.
    Full,
    /// Everything that the preferred relay may lack, with the subtotal for the totals of the fleet.
    FullToRelay,
}

/// Composes a message to the gateway at `receiver`, in response to `request` if there is one.
pub(super) fn compose_message(
    control: &ControlPlane,
    receiver: SocketAddr,
    content: MessageContent,
    request: Option<&PeerMessage>,
    now: Instant,
) -> PeerMessage {
    let peer = control.peer_states.borrow().get(receiver).copied();
    let mut message = PeerMessage {
        is_announcement: matches!(
            content,
            MessageContent::Brief
                | MessageContent::Suspicions { .. }
                | MessageContent::Overloads { .. }
                | MessageContent::Partitions
        ),
        is_probe: content == MessageContent::Probe,
        rules: control.context.rules.held_version(now),
        upstreams: control.context.upstreams.held_version(now),
        has_partial_list: control.context.upstreams.partial_list().is_some(),
        roster_digest: control.roster.borrow().digest(),
        sent_position: Some(LogPosition { incarnation: control.incarnation, sequence: 0 }),
        received_position: peer.and_then(|peer| peer.received),
        quarantine_digest: control.context.quarantine.digest(),
        part_quarantine_digest: control.context.quarantine.part_digest(),
        ..PeerMessage::from_sender(control.own_report())
    };
    let quarantine = &control.context.quarantine;
    if let MessageContent::Suspicions { since, includes_forwarded } = content {
        let changes = quarantine.changes_for(receiver, since, includes_forwarded, now);
        message.crash_histories = changes.requests;
        message.part_histories = changes.parts;
    }
    if let MessageContent::Overloads { since } = content {
        message.loads = control.context.upstreams.overloads_for(receiver, since, now).entries;
    }
    if matches!(content, MessageContent::Partitions | MessageContent::Full | MessageContent::FullToRelay) {
        control.add_partitions(&mut message, receiver);
    }
    if message.is_announcement {
        control.context.metrics.count_sent_entries(&message);
        return message;
    }
    let builder = MessageBuilder { control, receiver, peer, now };
    let is_full = matches!(content, MessageContent::Full | MessageContent::FullToRelay);
    if is_full || content == MessageContent::Members {
        builder.add_members(&mut message);
    }
    if is_full {
        let (request_digest, part_digest) =
            peer.map_or((0, 0), |peer| (peer.summary.quarantine_digest, peer.summary.part_quarantine_digest));
        message.crash_histories = quarantine.histories_to_sync(request_digest, now);
        message.part_histories = quarantine.part_histories_to_sync(part_digest, now);
        message.failure_evidence = control.context.upstreams.suspicions_for(receiver, now);
        builder.add_loads(&mut message);
        builder.add_cached_parts(request, &mut message);
    }
    if content == MessageContent::FullToRelay {
        message.totals = control.subtotal_for(receiver, now);
    } else if let Some(request) = request {
        message.totals = control.totals_for(receiver, request, now);
    }
    control.context.metrics.count_sent_entries(&message);
    message
}

/// Adds state to a message, given what is known of its receiver.
struct MessageBuilder<'a> {
    control: &'a ControlPlane,
    receiver: SocketAddr,
    peer: Option<PeerState>,
    now: Instant,
}

impl MessageBuilder<'_> {
    fn add_members(&self, message: &mut PeerMessage) {
        let roster = self.control.roster.borrow();
        if self.peer.is_some_and(|peer| peer.summary.roster_digest == message.roster_digest) {
            message.member_states = Some(roster.states_for(self.receiver, self.now));
        } else {
            message.members = roster.members(self.now).collect();
        }
    }

    fn add_loads(&self, message: &mut PeerMessage) {
        let upstreams = &self.control.context.upstreams;
        let held_digest = message.upstreams.map(|held| held.version.digest);
        let holds_same_list = held_digest.is_some()
            && self.peer.is_some_and(|peer| peer.summary.upstream_list_digest == held_digest);
        if holds_same_list {
            message.list_loads = upstreams.list_loads_for(self.receiver, self.now);
        } else {
            message.loads = upstreams.recent_loads(self.now);
        }
    }

    fn add_cached_parts(&self, request: Option<&PeerMessage>, message: &mut PeerMessage) {
        let ControlPlane { context, incarnation, .. } = self.control;
        let acknowledged = match request {
            // The request states what its sender has received.
            Some(request) => request
                .received_position
                .filter(|position| position.incarnation == *incarnation)
                .map(|position| position.sequence),
            None => self.peer.and_then(|peer| peer.acknowledged),
        };
        let batch = context.upstreams.cache_updates_for(self.receiver, acknowledged, self.now);
        context.metrics.count_dropped_cached_parts(batch.dropped);
        message.cached_parts =
            batch.entries.into_iter().map(|cached| observed_cached_part(cached, self.now)).collect();
        message.sent_position =
            Some(LogPosition { incarnation: *incarnation, sequence: batch.last_sequence });
    }
}

/// Merges a received message.
///
/// For a response, `requested_at` is the time of the request. It bounds the age of the response, so
/// only responses count as evidence that a version is current.
pub(super) fn merge_message(
    control: &Rc<ControlPlane>,
    message: &PeerMessage,
    requested_at: Option<Instant>,
) {
    let now = bendhinge_clock::now();
    let sender_address = message.sender.address;
    control.peer_states.borrow_mut().record_summary(sender_address, peer_summary(message), now);
    merge_members(control, message, now);
    control.merge_partitions(message);
    let upstreams = &control.context.upstreams;
    // Cached parts, loads, crash histories and failure evidence only guide decisions, so the
    // unknown transit time of an unsolicited message is ignored for them.
    let as_of = requested_at.unwrap_or(now);
    upstreams.record_peer_cached_parts(&message.cached_parts, sender_address, as_of);
    upstreams.record_peer_loads(&message.loads, sender_address, as_of);
    if message.is_announcement {
        upstreams.record_overloads(&message.loads, sender_address, as_of);
    }
    if let (Some(list_loads), Some(held)) = (&message.list_loads, message.upstreams) {
        upstreams.apply_list_loads(list_loads, held.version, sender_address, as_of);
    }
    control.context.quarantine.merge_reported(&message.crash_histories, sender_address, as_of);
    control.context.quarantine.merge_reported_parts(&message.part_histories, sender_address, as_of);
    for upstream in upstreams.merge_suspicions(&message.failure_evidence, sender_address, as_of) {
        control.context.log.upstream_suspected(&upstream.name, sender_address);
        control.context.metrics.count_suspected_upstream();
    }
    if let Some(held) = message.upstreams {
        control.check_for_list_conflict(sender_address, held.version);
    }
    let Some(requested_at) = requested_at else { return };
    if let Some(totals) = &message.totals {
        control.context.totals.record_totals(sender_address, totals, requested_at);
    }
    if let Some(held) = message.rules {
        control.context.rules.confirm(held.version, requested_at - held.age);
    }
    if let Some(held) = message.upstreams {
        upstreams.confirm(held.version, requested_at - held.age);
    }
}

fn merge_members(control: &ControlPlane, message: &PeerMessage, now: Instant) {
    let sender_address = message.sender.address;
    let mut roster = control.roster.borrow_mut();
    roster.merge_direct(&message.sender, now);
    for report in &message.members {
        roster.merge_reported(report, sender_address, now);
    }
    if let Some(states) = message.member_states.as_ref().filter(|_| message.roster_digest == roster.digest())
    {
        roster.merge_states(states, sender_address, now);
    }
}

fn peer_summary(message: &PeerMessage) -> PeerSummary {
    PeerSummary {
        incarnation: message.sent_position.map(|position| position.incarnation),
        roster_digest: message.roster_digest,
        upstream_list_digest: message.upstreams.map(|held| held.version.digest),
        quarantine_digest: message.quarantine_digest,
        part_quarantine_digest: message.part_quarantine_digest,
    }
}

impl ControlPlane {
    /// Returns this gateway's report of itself.
    fn own_report(&self) -> MemberReport {
        MemberReport {
            address: self.settings.peer_address,
            age: Duration::ZERO,
            is_leaving: self.lifecycle.is_stopping(),
            is_store_failing: self.is_store_failing(),
            link_mbps: self.settings.link.mbps(),
            forwarding_from: self.context.forwarding.accepts_from(),
            holds_stream_records: self.context.streams.is_enabled(),
            permits_from: self.issues_permits_from(),
        }
    }
}
