//! Conversions between the message types and the Cap'n Proto types of the `fleet` schema.

use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    ListDelta, ListLoads, ListUpdate, LogPosition, MemberReport, MemberStates, PackedHighLoads, PackedLoads,
    PackedTotals, Revision, RosterDigest, RouterIncarnation, UpstreamEntry, UpstreamList, UpstreamState,
    Version, WarmUp,
};
use bendhinge_ids::{DataCentreName, NameHash};
use bendhinge_placement::PartId;
use capnp::traits::OwnedStruct;
use capnp::{Error, struct_list, text_list};

use super::crash_history::{read_crash_history, write_crash_history};
use super::part_history::{read_part_history, write_part_history};
use super::{
    HeldVersion, ObservedCachedPart, ObservedFailureEvidence, ObservedFailureReport, ObservedLoad,
    ObservedPartition, PeerMessage, address_parts,
};
use crate::fleet_capnp::{
    doubt, fleet, known, load, member, news_position, partition, peer_message, read, upstream, witness,
};

pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn short_millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}

pub(super) fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn address(bits: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from_bits(bits), port))
}

pub(super) fn write_held_version(mut builder: known::Builder<'_>, held: Option<&HeldVersion>) {
    let Some(held) = held else { return };
    builder.set_held(true);
    builder.set_revision(held.version.revision.0);
    builder.set_digest(held.version.digest);
    // Rounds up so that the receiver never assumes a lower age.
    builder.set_age_millis(millis(held.age).saturating_add(1));
}

pub(super) fn read_held_version(reader: known::Reader<'_>) -> Option<HeldVersion> {
    let version = Version { revision: Revision(reader.get_revision()), digest: reader.get_digest() };
    let age = Duration::from_millis(reader.get_age_millis().into());
    reader.get_held().then_some(HeldVersion { version, age })
}

fn write_member(mut builder: member::Builder<'_>, report: &MemberReport) {
    let Some((bits, port)) = address_parts(report.address) else { return };
    builder.set_address(bits);
    builder.set_port(port);
    builder.set_age_millis(millis(report.age));
    builder.set_leaving(report.is_leaving);
    builder.set_store_failing(report.is_store_failing);
    builder.set_link_mbps(report.link_mbps);
    builder.set_forwarding_data_centre(report.forwarding_from.map_or(0, NonZeroU32::get));
    builder.set_holds_stream_records(report.holds_stream_records);
    builder.set_permits_data_centre(report.permits_from.map_or(0, NonZeroU32::get));
}

fn read_member(reader: member::Reader<'_>) -> MemberReport {
    MemberReport {
        address: address(reader.get_address(), reader.get_port()),
        age: Duration::from_millis(reader.get_age_millis().into()),
        is_leaving: reader.get_leaving(),
        is_store_failing: reader.get_store_failing(),
        link_mbps: reader.get_link_mbps(),
        forwarding_from: NonZeroU32::new(reader.get_forwarding_data_centre()),
        holds_stream_records: reader.get_holds_stream_records(),
        permits_from: NonZeroU32::new(reader.get_permits_data_centre()),
    }
}

fn write_load(mut builder: load::Builder<'_>, load: &ObservedLoad) {
    builder.set_upstream(load.upstream.0);
    builder.set_in_progress(load.in_progress);
    builder.set_age_millis(short_millis(load.age));
}

fn read_load(reader: load::Reader<'_>) -> ObservedLoad {
    ObservedLoad {
        upstream: NameHash(reader.get_upstream()),
        in_progress: reader.get_in_progress(),
        age: Duration::from_millis(reader.get_age_millis().into()),
    }
}

pub(super) fn write_cached_part(mut builder: read::Builder<'_>, cached_part: &ObservedCachedPart) {
    builder.set_part(cached_part.part.0);
    builder.set_upstream(cached_part.upstream.0);
    builder.set_age_millis(millis(cached_part.age));
}

pub(super) fn read_cached_part(reader: read::Reader<'_>) -> ObservedCachedPart {
    ObservedCachedPart {
        part: PartId(reader.get_part()),
        upstream: NameHash(reader.get_upstream()),
        age: Duration::from_millis(reader.get_age_millis().into()),
    }
}

fn write_position(mut builder: news_position::Builder<'_>, position: LogPosition) {
    builder.set_life(position.incarnation.0);
    builder.set_number(position.sequence);
}

fn read_position(reader: news_position::Reader<'_>) -> Option<LogPosition> {
    let position =
        LogPosition { incarnation: RouterIncarnation(reader.get_life()), sequence: reader.get_number() };
    (position.incarnation.0 != 0).then_some(position)
}

pub(super) fn write_message(mut builder: peer_message::Builder<'_>, message: &PeerMessage) {
    write_member(builder.reborrow().init_sender(), &message.sender);
    builder.set_brief(message.is_announcement);
    builder.set_probe(message.is_probe);
    write_held_version(builder.reborrow().init_rules(), message.rules.as_ref());
    write_held_version(builder.reborrow().init_upstreams(), message.upstreams.as_ref());
    builder.set_roster(message.roster_digest.0);
    builder.set_quarantine(message.quarantine_digest);
    builder.set_part_quarantine(message.part_quarantine_digest);
    write_lists(builder.reborrow(), message);
    if let Some(MemberStates(states)) = &message.member_states {
        builder.set_member_states(states);
    }
    builder.set_begun(message.has_partial_list);
    match &message.list_loads {
        Some(ListLoads::All(PackedLoads(states))) => builder.set_load_states(states),
        Some(ListLoads::Highest(PackedHighLoads(loads))) => builder.set_high_loads(loads),
        None => {}
    }
    if let Some(PackedTotals(totals)) = &message.totals {
        builder.set_totals(totals);
    }
    if let Some(position) = message.sent_position {
        write_position(builder.reborrow().init_told(), position);
    }
    if let Some(position) = message.received_position {
        write_position(builder.init_heard(), position);
    }
}

/// Writes `items` to a list of the same length.
pub(super) fn write_list_items<Owned: OwnedStruct, T>(
    mut builder: struct_list::Builder<'_, Owned>,
    items: &[T],
    write: impl Fn(Owned::Builder<'_>, &T),
) {
    for (index, item) in (0..).zip(items) {
        write(builder.reborrow().get(index), item);
    }
}

fn read_list_loads(states: &[u8], highest: &[u8]) -> Option<ListLoads> {
    if !states.is_empty() {
        return Some(ListLoads::All(PackedLoads(states.to_vec())));
    }
    (!highest.is_empty()).then(|| ListLoads::Highest(PackedHighLoads(highest.to_vec())))
}

/// Writes the lists of a message. Empty lists are not allocated.
fn write_lists(mut builder: peer_message::Builder<'_>, message: &PeerMessage) {
    let PeerMessage {
        members,
        loads,
        cached_parts,
        failure_evidence,
        crash_histories,
        part_histories,
        partitions,
        ..
    } = message;
    if !partitions.is_empty() {
        write_list_items(
            builder.reborrow().init_partitions(list_length(partitions.len())),
            partitions,
            write_partition,
        );
    }
    if !members.is_empty() {
        write_list_items(builder.reborrow().init_members(list_length(members.len())), members, write_member);
    }
    if !loads.is_empty() {
        write_list_items(builder.reborrow().init_loads(list_length(loads.len())), loads, write_load);
    }
    if !cached_parts.is_empty() {
        write_list_items(
            builder.reborrow().init_reads(list_length(cached_parts.len())),
            cached_parts,
            write_cached_part,
        );
    }
    if !failure_evidence.is_empty() {
        write_list_items(
            builder.reborrow().init_doubts(list_length(failure_evidence.len())),
            failure_evidence,
            write_failure_evidence,
        );
    }
    if !crash_histories.is_empty() {
        write_list_items(
            builder.reborrow().init_suspicions(list_length(crash_histories.len())),
            crash_histories,
            write_crash_history,
        );
    }
    if !part_histories.is_empty() {
        write_list_items(
            builder.init_part_suspicions(list_length(part_histories.len())),
            part_histories,
            write_part_history,
        );
    }
}

fn write_partition(mut builder: partition::Builder<'_>, observed: &ObservedPartition) {
    builder.set_router(observed.router.0);
    builder.set_age_millis(millis(observed.age));
    let mut pools = builder.init_pools(list_length(observed.pools.len()));
    for (index, pool) in (0..).zip(&observed.pools) {
        pools.set(index, pool.0);
    }
}

fn read_partition(reader: partition::Reader<'_>) -> Result<ObservedPartition, Error> {
    Ok(ObservedPartition {
        router: NameHash(reader.get_router()),
        pools: reader.get_pools()?.iter().map(NameHash).collect(),
        age: Duration::from_millis(reader.get_age_millis().into()),
    })
}

fn write_failure_evidence(mut builder: doubt::Builder<'_>, evidence: &ObservedFailureEvidence) {
    builder.set_upstream(evidence.upstream.0);
    builder.set_answered(evidence.last_response_age.is_some());
    builder.set_answered_age_millis(millis(evidence.last_response_age.unwrap_or_default()));
    write_list_items(
        builder.init_witnesses(list_length(evidence.reports.len())),
        &evidence.reports,
        write_failure_report,
    );
}

fn write_failure_report(mut builder: witness::Builder<'_>, report: &ObservedFailureReport) {
    builder.set_router(report.router.0);
    builder.set_age_millis(millis(report.age));
}

fn read_failure_evidence(reader: doubt::Reader<'_>) -> Result<ObservedFailureEvidence, Error> {
    let age = |millis: u32| Duration::from_millis(millis.into());
    let reports = reader.get_witnesses()?.iter().map(|report| ObservedFailureReport {
        router: NameHash(report.get_router()),
        age: age(report.get_age_millis()),
    });
    Ok(ObservedFailureEvidence {
        upstream: NameHash(reader.get_upstream()),
        last_response_age: reader.get_answered().then(|| age(reader.get_answered_age_millis())),
        reports: reports.collect(),
    })
}

pub(super) fn read_message(reader: peer_message::Reader<'_>) -> Result<PeerMessage, Error> {
    let member_states = reader.get_member_states()?;
    let load_states = reader.get_load_states()?;
    let high_loads = reader.get_high_loads()?;
    let totals = reader.get_totals()?;
    Ok(PeerMessage {
        sender: read_member(reader.get_sender()?),
        is_announcement: reader.get_brief(),
        is_probe: reader.get_probe(),
        rules: read_held_version(reader.get_rules()?),
        upstreams: read_held_version(reader.get_upstreams()?),
        roster_digest: RosterDigest(reader.get_roster()),
        members: reader.get_members()?.iter().map(read_member).collect(),
        member_states: (!member_states.is_empty()).then(|| MemberStates(member_states.to_vec())),
        loads: reader.get_loads()?.iter().map(read_load).collect(),
        has_partial_list: reader.get_begun(),
        list_loads: read_list_loads(load_states, high_loads),
        cached_parts: reader.get_reads()?.iter().map(read_cached_part).collect(),
        sent_position: read_position(reader.get_told()?),
        received_position: read_position(reader.get_heard()?),
        failure_evidence: reader.get_doubts()?.iter().map(read_failure_evidence).collect::<Result<_, _>>()?,
        crash_histories: reader.get_suspicions()?.iter().map(read_crash_history).collect::<Result<_, _>>()?,
        quarantine_digest: reader.get_quarantine(),
        part_histories: reader
            .get_part_suspicions()?
            .iter()
            .map(read_part_history)
            .collect::<Result<_, _>>()?,
        part_quarantine_digest: reader.get_part_quarantine(),
        partitions: reader.get_partitions()?.iter().map(read_partition).collect::<Result<_, _>>()?,
        totals: reader.has_totals().then(|| PackedTotals(totals.to_vec())),
    })
}

fn write_upstream(mut builder: upstream::Builder<'_>, entry: &UpstreamEntry) {
    let Some((bits, port)) = address_parts(entry.address) else { return };
    builder.set_name(entry.name.as_str());
    builder.set_pool(entry.pool.as_str());
    builder.set_address(bits);
    builder.set_port(port);
    builder.set_data_centre(entry.data_centre.as_str());
    builder.set_slots(entry.slots);
    builder.set_draining(entry.state == UpstreamState::Draining);
    builder.set_made(entry.created_revision);
    builder.set_born(entry.started_ms);
    builder.set_software(entry.software.0);
    if let Some(warm_up) = entry.warm_up {
        builder.set_warm_up_left_millis(millis(warm_up.remaining));
        builder.set_warm_up_said(warm_up.revision.0);
    }
}

fn read_warm_up(reader: upstream::Reader<'_>) -> Option<WarmUp> {
    let remaining = Duration::from_millis(reader.get_warm_up_left_millis().into());
    WarmUp::new(remaining, Revision(reader.get_warm_up_said()))
}

fn read_data_centre(name: capnp::text::Reader<'_>) -> Result<DataCentreName, Error> {
    name.to_str()?.parse().map_err(|_| Error::failed("invalid name of a data centre".to_owned()))
}

fn read_upstream(reader: upstream::Reader<'_>) -> Result<UpstreamEntry, Error> {
    let invalid = |_| Error::failed("invalid name of an upstream or its pool".to_owned());
    let name: bendhinge_ids::UpstreamName = reader.get_name()?.to_str()?.parse().map_err(invalid)?;
    Ok(UpstreamEntry {
        hash: UpstreamEntry::instance_hash(&name, reader.get_born()),
        name,
        started_ms: reader.get_born(),
        software: NameHash(reader.get_software()),
        pool: reader.get_pool()?.to_str()?.parse().map_err(invalid)?,
        address: address(reader.get_address(), reader.get_port()),
        data_centre: read_data_centre(reader.get_data_centre()?)?,
        slots: reader.get_slots(),
        state: if reader.get_draining() { UpstreamState::Draining } else { UpstreamState::Ready },
        created_revision: reader.get_made(),
        warm_up: read_warm_up(reader),
    })
}

pub(super) fn read_upstreams(reader: struct_list::Reader<'_, upstream::Owned>) -> Result<Entries, Error> {
    reader.iter().map(|entry| read_upstream(entry).map(Arc::new)).collect()
}

type Entries = Vec<Arc<UpstreamEntry>>;

pub(super) fn write_list(mut builder: fleet::upstreams_results::Builder<'_>, update: &ListUpdate) {
    let (entries, drained) = match update {
        ListUpdate::Full(list) => (&list.entries, &list.drained),
        ListUpdate::Delta { base, delta: list_delta } => {
            builder.set_base(*base);
            let mut removed_hashes = builder.reborrow().init_gone(list_length(list_delta.removed.len()));
            for (index, hash) in (0..).zip(&list_delta.removed) {
                removed_hashes.set(index, hash.0);
            }
            (&list_delta.upserted, &list_delta.drained)
        }
    };
    write_drained(builder.reborrow().init_drained(list_length(drained.len())), drained);
    write_entries(builder.init_list(list_length(entries.len())), entries);
}

pub(super) fn write_drained(mut builder: text_list::Builder<'_>, drained: &[DataCentreName]) {
    for (index, name) in (0..).zip(drained) {
        builder.set(index, name.as_str());
    }
}

pub(super) fn read_drained(reader: text_list::Reader<'_>) -> Result<Vec<DataCentreName>, Error> {
    reader.iter().map(|name| read_data_centre(name?)).collect()
}

pub(super) fn write_entries(
    builder: struct_list::Builder<'_, upstream::Owned>,
    entries: &[Arc<UpstreamEntry>],
) {
    write_list_items(builder, entries, |item, entry| write_upstream(item, entry));
}

pub(super) fn read_list(reader: fleet::upstreams_results::Reader<'_>) -> Result<ListUpdate, Error> {
    let entries = read_upstreams(reader.get_list()?)?;
    let drained = read_drained(reader.get_drained()?)?;
    let base = reader.get_base();
    if base == 0 {
        return Ok(ListUpdate::Full(UpstreamList { entries, drained }));
    }
    let removed_hashes = reader.get_gone()?.iter().map(NameHash).collect();
    Ok(ListUpdate::Delta { base, delta: ListDelta { removed: removed_hashes, upserted: entries, drained } })
}
