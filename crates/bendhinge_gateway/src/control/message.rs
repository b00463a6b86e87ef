//! What a message between gateways says, and what is taken from one.
//!
//! A message says what its receiver lacks, as far as is known: where both ends know the same members, or
//! hold the same list of upstreams, a byte or two for each; and each piece of news of reads once.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{Heard, NewsPosition, PeerSaid};
use bendhinge_ids::Instant;
use bendhinge_peer::PeerMessage;

use super::Control;
use crate::knowledge::observed_read;

/// What a message says.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Content {
    /// What the sender holds: there is news of it.
    Brief,
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
    let upstreams = &control.delivering.upstreams;
    let mut message = PeerMessage {
        is_brief: content == Content::Brief,
        is_probe: content == Content::Probe,
        rules: control.delivering.rules.known(now),
        upstreams: upstreams.known(now),
        roster: control.roster.borrow().digest(),
        told: Some(NewsPosition { life: control.life, number: 0 }),
        heard: control.peer_states.borrow().get(listener).and_then(|state| state.heard),
        ..PeerMessage::from_sender(control.sender())
    };
    if content == Content::Brief {
        return message;
    }
    if matches!(content, Content::Members | Content::Whole) {
        tell_members(control, listener, &mut message, now);
    }
    if content == Content::Whole {
        message.doubts = upstreams.doubts_to_tell(listener, now);
        tell_loads(control, listener, &mut message, now);
        tell_reads(control, listener, question, &mut message, now);
    }
    control.delivering.metrics.told(&message);
    message
}

fn tell_members(control: &Control, listener: SocketAddr, message: &mut PeerMessage, now: Instant) {
    let said = control.said(listener);
    let roster = control.roster.borrow();
    if said.is_some_and(|said| said.roster == roster.digest()) {
        message.member_states = Some(roster.states_for(listener, now));
    } else {
        message.members = roster.members(now).collect();
    }
}

fn tell_loads(control: &Control, listener: SocketAddr, message: &mut PeerMessage, now: Instant) {
    let upstreams = &control.delivering.upstreams;
    let held = message.upstreams.map(|known| known.version.digest);
    let is_same = held.is_some() && control.said(listener).is_some_and(|said| said.upstreams == held);
    if is_same {
        message.load_states = upstreams.load_states_to_tell(listener, now);
    } else {
        message.loads = upstreams.loads_to_tell(now);
    }
}

fn tell_reads(
    control: &Control,
    listener: SocketAddr,
    question: Option<&PeerMessage>,
    message: &mut PeerMessage,
    now: Instant,
) {
    let told = match question {
        // Who asks knows best what reached it.
        Some(question) => question.heard.filter(|heard| heard.life == control.life).map(|heard| heard.number),
        None => control.peer_states.borrow().get(listener).and_then(|state| state.told),
    };
    let news = control.delivering.upstreams.reads_to_tell(listener, told, now);
    control.delivering.metrics.reads_not_told(news.dropped);
    message.reads = news.pieces.into_iter().map(|kept| observed_read(kept, now)).collect();
    message.told = Some(NewsPosition { life: control.life, number: news.up_to });
}

/// Takes a message in. `asked` is when it was asked for: only then is it known how old it can be at
/// most, and only then does it count as evidence of what is current.
pub(super) fn take_in(control: &Control, message: &PeerMessage, asked: Option<Instant>) {
    let now = bendhinge_clock::now();
    let from = message.sender.address;
    control.peer_states.borrow_mut().said(from, said_by(message), now);
    take_in_members(control, message, now);
    let upstreams = &control.delivering.upstreams;
    // Of what only guides choices, a message that nobody asked for tells as much: it may be older than
    // it says by the time that it was on its way.
    let as_of = asked.unwrap_or(now);
    upstreams.hear_reads(&message.reads, from, as_of);
    upstreams.hear_loads(&message.loads, from, as_of);
    if let (Some(states), Some(known)) = (&message.load_states, message.upstreams) {
        upstreams.hear_load_states(states, known.version, from, as_of);
    }
    for upstream in upstreams.hear_doubts(&message.doubts, from, as_of) {
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
    roster.hear(&message.sender, now);
    for heard in &message.members {
        roster.hear_told(heard, from, now);
    }
    if let Some(states) = message.member_states.as_ref().filter(|_| message.roster == roster.digest()) {
        roster.hear_states(states, from, now);
    }
}

fn said_by(message: &PeerMessage) -> PeerSaid {
    PeerSaid {
        life: message.told.map(|told| told.life),
        roster: message.roster,
        upstreams: message.upstreams.map(|known| known.version.digest),
    }
}

impl Control {
    /// What this gateway tells of itself.
    fn sender(&self) -> Heard {
        Heard {
            address: self.settings.peers,
            age: Duration::ZERO,
            is_leaving: self.lifecycle.is_stopping(),
            is_store_failing: self.is_store_failing(),
            link_mbps: self.settings.link.mbps(),
        }
    }

    /// What the gateway at `peer` said last of itself.
    fn said(&self, peer: SocketAddr) -> Option<PeerSaid> {
        self.peer_states.borrow().get(peer).map(|state| state.said)
    }
}
