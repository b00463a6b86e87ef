//! Between the typed messages and those of the schema.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    ListDelta, ListLoads, ListUpdate, LogPosition, MemberReport, MemberStates, PackedHighLoads, PackedLoads,
    Revision, RosterDigest, RouterIncarnation, UpstreamEntry, UpstreamList, UpstreamState, Version, WarmUp,
};
use bendhinge_ids::{DataCentreName, NameHash};
use bendhinge_placement::PartId;
use capnp::traits::OwnedStruct;
use capnp::{Error, struct_list, text_list};

use super::suspicion::{read_suspicion, write_suspicion};
use super::{Known, ObservedDoubt, ObservedFailure, ObservedLoad, ObservedRead, PeerMessage, address_parts};
use crate::fleet_capnp::{
    doubt, fleet, known, load, member, news_position, peer_message, read, upstream, witness,
};

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn short_millis(span: Duration) -> u16 {
    u16::try_from(span.as_millis()).unwrap_or(u16::MAX)
}

pub(super) fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn address(bits: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(bits), port))
}

pub(super) fn write_known(mut to: known::Builder<'_>, known: Option<&Known>) {
    let Some(known) = known else { return };
    to.set_held(true);
    to.set_revision(known.version.revision.0);
    to.set_digest(known.version.digest);
    // An age is never stated as less than it is.
    to.set_age_millis(millis(known.age).saturating_add(1));
}

pub(super) fn read_known(from: known::Reader<'_>) -> Option<Known> {
    let version = Version { revision: Revision(from.get_revision()), digest: from.get_digest() };
    let age = Duration::from_millis(from.get_age_millis().into());
    from.get_held().then_some(Known { version, age })
}

fn write_member(mut to: member::Builder<'_>, heard: &MemberReport) {
    let Some((bits, port)) = address_parts(heard.address) else { return };
    to.set_address(bits);
    to.set_port(port);
    to.set_age_millis(millis(heard.age));
    to.set_leaving(heard.is_leaving);
    to.set_store_failing(heard.is_store_failing);
    to.set_link_mbps(heard.link_mbps);
}

fn read_member(from: member::Reader<'_>) -> MemberReport {
    MemberReport {
        address: address(from.get_address(), from.get_port()),
        age: Duration::from_millis(from.get_age_millis().into()),
        is_leaving: from.get_leaving(),
        is_store_failing: from.get_store_failing(),
        link_mbps: from.get_link_mbps(),
    }
}

fn write_load(mut to: load::Builder<'_>, load: &ObservedLoad) {
    to.set_upstream(load.upstream.0);
    to.set_in_progress(load.in_progress);
    to.set_age_millis(short_millis(load.age));
}

fn read_load(from: load::Reader<'_>) -> ObservedLoad {
    ObservedLoad {
        upstream: NameHash(from.get_upstream()),
        in_progress: from.get_in_progress(),
        age: Duration::from_millis(from.get_age_millis().into()),
    }
}

pub(super) fn write_read(mut to: read::Builder<'_>, read: &ObservedRead) {
    to.set_part(read.part.0);
    to.set_upstream(read.upstream.0);
    to.set_age_millis(millis(read.age));
}

pub(super) fn read_read(from: read::Reader<'_>) -> ObservedRead {
    ObservedRead {
        part: PartId(from.get_part()),
        upstream: NameHash(from.get_upstream()),
        age: Duration::from_millis(from.get_age_millis().into()),
    }
}

fn write_position(mut to: news_position::Builder<'_>, position: LogPosition) {
    to.set_life(position.incarnation.0);
    to.set_number(position.sequence);
}

fn read_position(from: news_position::Reader<'_>) -> Option<LogPosition> {
    let position =
        LogPosition { incarnation: RouterIncarnation(from.get_life()), sequence: from.get_number() };
    (position.incarnation.0 != 0).then_some(position)
}

pub(super) fn write_message(mut to: peer_message::Builder<'_>, message: &PeerMessage) {
    write_member(to.reborrow().init_sender(), &message.sender);
    to.set_brief(message.is_brief);
    to.set_probe(message.is_probe);
    write_known(to.reborrow().init_rules(), message.rules.as_ref());
    write_known(to.reborrow().init_upstreams(), message.upstreams.as_ref());
    to.set_roster(message.roster.0);
    to.set_quarantine(message.quarantine);
    write_lists(to.reborrow(), message);
    if let Some(MemberStates(states)) = &message.member_states {
        to.set_member_states(states);
    }
    to.set_begun(message.is_begun);
    match &message.list_loads {
        Some(ListLoads::All(PackedLoads(states))) => to.set_load_states(states),
        Some(ListLoads::Highest(PackedHighLoads(loads))) => to.set_high_loads(loads),
        None => {}
    }
    if let Some(told) = message.told {
        write_position(to.reborrow().init_told(), told);
    }
    if let Some(heard) = message.heard {
        write_position(to.init_heard(), heard);
    }
}

/// Writes each item into its place in a list.
pub(super) fn write_all<Owned: OwnedStruct, T>(
    mut to: struct_list::Builder<'_, Owned>,
    items: &[T],
    write: impl Fn(Owned::Builder<'_>, &T),
) {
    for (index, item) in (0..).zip(items) {
        write(to.reborrow().get(index), item);
    }
}

/// Writes the lists of a message; one without entries takes no room.
fn read_list_loads(states: &[u8], highest: &[u8]) -> Option<ListLoads> {
    if !states.is_empty() {
        return Some(ListLoads::All(PackedLoads(states.to_vec())));
    }
    (!highest.is_empty()).then(|| ListLoads::Highest(PackedHighLoads(highest.to_vec())))
}

fn write_lists(mut to: peer_message::Builder<'_>, message: &PeerMessage) {
    let PeerMessage { members, loads, reads, doubts, suspicions, .. } = message;
    if !members.is_empty() {
        write_all(to.reborrow().init_members(count(members.len())), members, write_member);
    }
    if !loads.is_empty() {
        write_all(to.reborrow().init_loads(count(loads.len())), loads, write_load);
    }
    if !reads.is_empty() {
        write_all(to.reborrow().init_reads(count(reads.len())), reads, write_read);
    }
    if !doubts.is_empty() {
        write_all(to.reborrow().init_doubts(count(doubts.len())), doubts, write_doubt);
    }
    if !suspicions.is_empty() {
        write_all(to.init_suspicions(count(suspicions.len())), suspicions, write_suspicion);
    }
}

fn write_doubt(mut to: doubt::Builder<'_>, doubt: &ObservedDoubt) {
    to.set_upstream(doubt.upstream.0);
    to.set_answered(doubt.answered.is_some());
    to.set_answered_age_millis(millis(doubt.answered.unwrap_or_default()));
    write_all(to.init_witnesses(count(doubt.witnesses.len())), &doubt.witnesses, write_failure);
}

fn write_failure(mut to: witness::Builder<'_>, failure: &ObservedFailure) {
    to.set_router(failure.router.0);
    to.set_age_millis(millis(failure.age));
}

fn read_doubt(from: doubt::Reader<'_>) -> Result<ObservedDoubt, Error> {
    let age = |age: u32| Duration::from_millis(age.into());
    let witnesses = from.get_witnesses()?.iter().map(|witness| ObservedFailure {
        router: NameHash(witness.get_router()),
        age: age(witness.get_age_millis()),
    });
    Ok(ObservedDoubt {
        upstream: NameHash(from.get_upstream()),
        answered: from.get_answered().then(|| age(from.get_answered_age_millis())),
        witnesses: witnesses.collect(),
    })
}

pub(super) fn read_message(from: peer_message::Reader<'_>) -> Result<PeerMessage, Error> {
    let member_states = from.get_member_states()?;
    let load_states = from.get_load_states()?;
    let high_loads = from.get_high_loads()?;
    Ok(PeerMessage {
        sender: read_member(from.get_sender()?),
        is_brief: from.get_brief(),
        is_probe: from.get_probe(),
        rules: read_known(from.get_rules()?),
        upstreams: read_known(from.get_upstreams()?),
        roster: RosterDigest(from.get_roster()),
        members: from.get_members()?.iter().map(read_member).collect(),
        member_states: (!member_states.is_empty()).then(|| MemberStates(member_states.to_vec())),
        loads: from.get_loads()?.iter().map(read_load).collect(),
        is_begun: from.get_begun(),
        list_loads: read_list_loads(load_states, high_loads),
        reads: from.get_reads()?.iter().map(read_read).collect(),
        told: read_position(from.get_told()?),
        heard: read_position(from.get_heard()?),
        doubts: from.get_doubts()?.iter().map(read_doubt).collect::<Result<_, _>>()?,
        suspicions: from.get_suspicions()?.iter().map(read_suspicion).collect::<Result<_, _>>()?,
        quarantine: from.get_quarantine(),
    })
}

fn write_upstream(mut to: upstream::Builder<'_>, entry: &UpstreamEntry) {
    let Some((bits, port)) = address_parts(entry.address) else { return };
    to.set_name(entry.name.as_str());
    to.set_pool(entry.pool.as_str());
    to.set_address(bits);
    to.set_port(port);
    to.set_data_centre(entry.data_centre.as_str());
    to.set_slots(entry.slots);
    to.set_draining(entry.state == UpstreamState::Draining);
    to.set_made(entry.created_revision);
    to.set_born(entry.started_ms);
    to.set_software(entry.software.0);
    if let Some(warm_up) = entry.warm_up {
        to.set_warm_up_left_millis(millis(warm_up.remaining));
        to.set_warm_up_said(warm_up.revision.0);
    }
}

fn read_warm_up(from: upstream::Reader<'_>) -> Option<WarmUp> {
    let left = Duration::from_millis(from.get_warm_up_left_millis().into());
    WarmUp::new(left, Revision(from.get_warm_up_said()))
}

fn read_data_centre(name: capnp::text::Reader<'_>) -> Result<DataCentreName, Error> {
    name.to_str()?.parse().map_err(|_| Error::failed("a data centre's name is invalid".to_owned()))
}

fn read_upstream(from: upstream::Reader<'_>) -> Result<UpstreamEntry, Error> {
    let invalid = |_| Error::failed("an upstream's name is invalid".to_owned());
    let name: bendhinge_ids::UpstreamName = from.get_name()?.to_str()?.parse().map_err(invalid)?;
    Ok(UpstreamEntry {
        hash: UpstreamEntry::instance_hash(&name, from.get_born()),
        name,
        started_ms: from.get_born(),
        software: NameHash(from.get_software()),
        pool: from.get_pool()?.to_str()?.parse().map_err(invalid)?,
        address: address(from.get_address(), from.get_port()),
        data_centre: read_data_centre(from.get_data_centre()?)?,
        slots: from.get_slots(),
        state: if from.get_draining() { UpstreamState::Draining } else { UpstreamState::Ready },
        created_revision: from.get_made(),
        warm_up: read_warm_up(from),
    })
}

pub(super) fn read_upstreams(from: struct_list::Reader<'_, upstream::Owned>) -> Result<Entries, Error> {
    from.iter().map(|entry| read_upstream(entry).map(Arc::new)).collect()
}

type Entries = Vec<Arc<UpstreamEntry>>;

pub(super) fn write_list(mut to: fleet::upstreams_results::Builder<'_>, told: &ListUpdate) {
    let (entries, drained) = match told {
        ListUpdate::Full(list) => (&list.entries, &list.drained),
        ListUpdate::Delta { base, delta: changes } => {
            to.set_base(*base);
            let mut gone = to.reborrow().init_gone(count(changes.removed.len()));
            for (index, hash) in (0..).zip(&changes.removed) {
                gone.set(index, hash.0);
            }
            (&changes.upserted, &changes.drained)
        }
    };
    write_drained(to.reborrow().init_drained(count(drained.len())), drained);
    write_entries(to.init_list(count(entries.len())), entries);
}

pub(super) fn write_drained(mut to: text_list::Builder<'_>, drained: &[DataCentreName]) {
    for (index, name) in (0..).zip(drained) {
        to.set(index, name.as_str());
    }
}

pub(super) fn read_drained(from: text_list::Reader<'_>) -> Result<Vec<DataCentreName>, Error> {
    from.iter().map(|name| read_data_centre(name?)).collect()
}

pub(super) fn write_entries(to: struct_list::Builder<'_, upstream::Owned>, entries: &[Arc<UpstreamEntry>]) {
    write_all(to, entries, |to, entry| write_upstream(to, entry));
}

pub(super) fn read_list(from: fleet::upstreams_results::Reader<'_>) -> Result<ListUpdate, Error> {
    let entries = read_upstreams(from.get_list()?)?;
    let drained = read_drained(from.get_drained()?)?;
    let base = from.get_base();
    if base == 0 {
        return Ok(ListUpdate::Full(UpstreamList { entries, drained }));
    }
    let gone = from.get_gone()?.iter().map(NameHash).collect();
    Ok(ListUpdate::Delta { base, delta: ListDelta { removed: gone, upserted: entries, drained } })
}
