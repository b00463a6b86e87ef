//! What a message between gateways says, and what is taken from one.
//!
//! A message says what its receiver lacks, as far as is known: where both ends know the same members, or
//! hold the same list of upstreams, a byte or two for each; and each piece of news of reads once.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{LogPosition, MemberReport, PeerState, PeerSummary};
use bendhinge_ids::Instant;
use bendhinge_peer::PeerMessage;

use super::Control;
use crate::knowledge::observed_read;

/// What a message says.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Content {
    /// What the sender holds: there is news of it.
    Brief,
    /// That, and what changed of suspected requests after an instant.
    Urgent {
        /// Until then it was told.
        since: Instant,
        /// Whether what others told is told on.
        tells_on: bool,
    },
    /// That, and a question for members.
    Probe,
    /// What it holds, and whom it knows.
    Members,
    /// All that it has to tell.
    Whole,
}

/// What this gateway tells the one at `listener` at `now`, in answer to `question` if there is one.
pub(super) fn own_message(
    control: &Control,
    listener: SocketAddr,
    content: Content,
    question: Option<&PeerMessage>,
    now: Instant,
) -> PeerMessage {
    let peer = control.peer_states.borrow().get(listener).copied();
    let mut message = PeerMessage {
        is_announcement: matches!(content, Content::Brief | Content::Urgent { .. }),
        is_probe: content == Content::Probe,
        rules: control.delivering.rules.known(now),
        upstreams: control.delivering.upstreams.known(now),
        has_partial_list: control.delivering.upstreams.part().is_some(),
        roster_digest: control.roster.borrow().digest(),
        sent_position: Some(LogPosition { incarnation: control.life, sequence: 0 }),
        received_position: peer.and_then(|peer| peer.received),
        quarantine_digest: control.delivering.quarantine.digest(),
        ..PeerMessage::from_sender(control.sender())
    };
    let quarantine = &control.delivering.quarantine;
    if let Content::Urgent { since, tells_on } = content {
        message.crash_histories = quarantine.changes(listener, since, tells_on, now);
    }
    if message.is_announcement {
        return message;
    }
    let telling = Telling { control, listener, peer, now };
    if matches!(content, Content::Members | Content::Whole) {
        telling.members(&mut message);
    }
    if content == Content::Whole {
        let known = peer.map_or(0, |peer| peer.summary.quarantine_digest);
        message.crash_histories = quarantine.that_differs(known, now);
        message.failure_evidence = control.delivering.upstreams.doubts_to_tell(listener, now);
        telling.loads(&mut message);
        telling.reads(question, &mut message);
    }
    control.delivering.metrics.told(&message);
    message
}

/// What is told beyond who holds what, to whom, and what is known of that one.
struct Telling<'a> {
    control: &'a Control,
    listener: SocketAddr,
    peer: Option<PeerState>,
    now: Instant,
}

impl Telling<'_> {
    fn members(&self, message: &mut PeerMessage) {
        let roster = self.control.roster.borrow();
        if self.peer.is_some_and(|peer| peer.summary.roster_digest == message.roster_digest) {
            message.member_states = Some(roster.states_for(self.listener, self.now));
        } else {
            message.members = roster.members(self.now).collect();
        }
    }

    fn loads(&self, message: &mut PeerMessage) {
        let upstreams = &self.control.delivering.upstreams;
        let held = message.upstreams.map(|known| known.version.digest);
        let is_same =
            held.is_some() && self.peer.is_some_and(|peer| peer.summary.upstream_list_digest == held);
        if is_same {
            message.list_loads = upstreams.list_loads_to_tell(self.listener, self.now);
        } else {
            message.loads = upstreams.loads_to_tell(self.now);
        }
    }

    fn reads(&self, question: Option<&PeerMessage>, message: &mut PeerMessage) {
        let Control { delivering, life, .. } = self.control;
        let told = match question {
            // Who asks knows best what reached it.
            Some(question) => question
                .received_position
                .filter(|heard| heard.incarnation == *life)
                .map(|heard| heard.sequence),
            None => self.peer.and_then(|peer| peer.acknowledged),
        };
        let news = delivering.upstreams.reads_to_tell(self.listener, told, self.now);
        delivering.metrics.reads_not_told(news.dropped);
        message.cached_parts = news.entries.into_iter().map(|kept| observed_read(kept, self.now)).collect();
        message.sent_position = Some(LogPosition { incarnation: *life, sequence: news.last_sequence });
    }
}

/// Takes a message in. `asked` is when it was asked for: only then is it known how old it can be at
/// most, and only then does it count as evidence of what is current.
pub(super) fn take_in(control: &Control, message: &PeerMessage, asked: Option<Instant>) {
    let now = bendhinge_clock::now();
    let from = message.sender.address;
    control.peer_states.borrow_mut().record_summary(from, said_by(message), now);
    take_in_members(control, message, now);
    let upstreams = &control.delivering.upstreams;
    // Of what only guides choices, a message that nobody asked for tells as much: it may be older than
    // it says by the time that it was on its way.
    let as_of = asked.unwrap_or(now);
    upstreams.hear_reads(&message.cached_parts, from, as_of);
    upstreams.hear_loads(&message.loads, from, as_of);
    if let (Some(told), Some(known)) = (&message.list_loads, message.upstreams) {
        upstreams.hear_list_loads(told, known.version, from, as_of);
    }
    control.delivering.quarantine.hear(&message.crash_histories, from, as_of);
    for upstream in upstreams.hear_doubts(&message.failure_evidence, from, as_of) {
        control.delivering.log.upstream_suspected(&upstream.name, from);
        control.delivering.metrics.upstream_suspected();
    }
    let Some(asked) = asked else { return };
    if let Some(known) = message.rules {
        control.delivering.rules.confirm(known.version, asked - known.age);
    }
    if let Some(known) = message.upstreams {
        upstreams.confirm(known.version, asked - known.age);
    }
}

fn take_in_members(control: &Control, message: &PeerMessage, now: Instant) {
    let from = message.sender.address;
    let mut roster = control.roster.borrow_mut();
    roster.merge_direct(&message.sender, now);
    for heard in &message.members {
        roster.merge_reported(heard, from, now);
    }
    if let Some(states) = message.member_states.as_ref().filter(|_| message.roster_digest == roster.digest())
    {
        roster.merge_states(states, from, now);
    }
}

fn said_by(message: &PeerMessage) -> PeerSummary {
    PeerSummary {
        incarnation: message.sent_position.map(|told| told.incarnation),
        roster_digest: message.roster_digest,
        upstream_list_digest: message.upstreams.map(|known| known.version.digest),
        quarantine_digest: message.quarantine_digest,
    }
}

impl Control {
    /// What this gateway tells of itself.
    fn sender(&self) -> MemberReport {
        MemberReport {
            address: self.settings.peers,
            age: Duration::ZERO,
            is_leaving: self.lifecycle.is_stopping(),
            is_store_failing: self.is_store_failing(),
            link_mbps: self.settings.link.mbps(),
        }
    }
}
