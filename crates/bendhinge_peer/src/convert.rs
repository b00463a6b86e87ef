//! Conversions between the message types and the Cap'n Proto types of the `peer` schema.

use std::time::Duration;

use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{
    BoxName, ConfigRevision, Digest, EventSequence, Incarnation, NameHash, RequestId, RouterInstance,
};
use bendhinge_membership::{ClassUsage, CustomerUsage, Summary, SummaryVersion, UpstreamLoad};
use capnp::Error;

use crate::peer_capnp::{self, holder, summary, usage};
use crate::{ClaimResponse, Traced};

/// The maximum number of summaries in a message. Longer messages are rejected.
const MAX_SUMMARIES: u32 = 4_096;

fn invalid(field: &str) -> Error {
    Error::failed(format!("invalid {field}"))
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

pub(crate) fn write_summary(mut builder: summary::Builder<'_>, summary: &Summary) {
    builder.set_name(summary.name.as_str());
    builder.set_incarnation(summary.version.incarnation.0);
    builder.set_sequence(summary.version.sequence);
    builder.set_age_millis(u32::try_from(summary.age.as_millis()).unwrap_or(u32::MAX));
    builder.set_leaving(summary.leaving);
    builder.set_platform_fails(summary.platform_fails);
    builder.set_list_revision(summary.list_revision);
    builder.set_config_revision(summary.config_revision.0);
    builder.set_config_digest(&summary.config_digest.0);
    write_upstreams(
        builder.reborrow().init_upstreams(list_length(summary.upstreams.len())),
        &summary.upstreams,
    );
    let mut classes = builder.reborrow().init_classes(list_length(summary.classes.len()));
    for (index, class) in (0..).zip(&summary.classes) {
        write_usage(classes.reborrow().get(index), class.pool, class.class, class.in_progress, class.refused);
    }
    let mut customers = builder.init_customers(list_length(summary.customers.len()));
    for (index, customer) in (0..).zip(&summary.customers) {
        let entry = customers.reborrow().get(index);
        write_usage(entry, customer.pool, customer.customer, customer.in_progress, customer.refused);
    }
}

fn write_upstreams(
    mut builder: capnp::struct_list::Builder<'_, peer_capnp::upstream_count::Owned>,
    counts: &[UpstreamLoad],
) {
    for (index, count) in (0..).zip(counts) {
        let mut entry = builder.reborrow().get(index);
        entry.set_upstream(count.upstream.0);
        entry.set_in_progress(count.in_progress);
        entry.set_reachable(count.reachable);
    }
}

fn write_usage(
    mut builder: usage::Builder<'_>,
    pool: NameHash,
    name: NameHash,
    in_progress: u16,
    refused: u16,
) {
    builder.set_pool(pool.0);
    builder.set_name(name.0);
    builder.set_in_progress(in_progress);
    builder.set_refused(refused);
}

pub(crate) fn read_summaries(
    list: capnp::struct_list::Reader<'_, summary::Owned>,
) -> Result<Vec<Summary>, Error> {
    if list.len() > MAX_SUMMARIES {
        return Err(invalid("number of summaries"));
    }
    list.iter().map(read_summary).collect()
}

fn read_summary(reader: summary::Reader<'_>) -> Result<Summary, Error> {
    let version = SummaryVersion {
        incarnation: Incarnation(reader.get_incarnation()),
        sequence: reader.get_sequence(),
    };
    let upstreams = reader.get_upstreams()?.iter().map(|count| UpstreamLoad {
        upstream: NameHash(count.get_upstream()),
        in_progress: count.get_in_progress(),
        reachable: count.get_reachable(),
    });
    let classes = reader.get_classes()?.iter().map(|usage| ClassUsage {
        pool: NameHash(usage.get_pool()),
        class: NameHash(usage.get_name()),
        in_progress: usage.get_in_progress(),
        refused: usage.get_refused(),
    });
    let customers = reader.get_customers()?.iter().map(|usage| CustomerUsage {
        pool: NameHash(usage.get_pool()),
        customer: NameHash(usage.get_name()),
        in_progress: usage.get_in_progress(),
        refused: usage.get_refused(),
    });
    Ok(Summary {
        name: read_box_name(reader.get_name()?)?,
        version,
        age: Duration::from_millis(reader.get_age_millis().into()),
        leaving: reader.get_leaving(),
        platform_fails: reader.get_platform_fails(),
        list_revision: reader.get_list_revision(),
        config_revision: ConfigRevision(reader.get_config_revision()),
        config_digest: read_digest(reader.get_config_digest()?)?,
        upstreams: upstreams.collect(),
        classes: classes.collect(),
        customers: customers.collect(),
    })
}

fn read_box_name(text: capnp::text::Reader<'_>) -> Result<BoxName, Error> {
    text.to_str()?.parse().map_err(|_| invalid("box name"))
}

pub(crate) fn read_digest(bytes: &[u8]) -> Result<Digest, Error> {
    bytes.try_into().map(Digest).map_err(|_| invalid("digest"))
}

pub(crate) fn read_once_key(bytes: &[u8]) -> Result<OnceKey, Error> {
    bytes.try_into().map(OnceKey).map_err(|_| invalid("idempotency key"))
}

pub(crate) fn write_holder(mut builder: holder::Builder<'_>, router: &RouterInstance) {
    builder.set_name(router.name.as_str());
    builder.set_incarnation(router.incarnation.0);
}

pub(crate) fn write_traced<T>(mut builder: holder::Builder<'_>, router: &RouterInstance, traced: &Traced<T>) {
    builder.set_event(traced.event.0);
    builder.set_request(traced.request.0);
    write_holder(builder, router);
}

pub(crate) fn read_traced<T>(message: T, reader: holder::Reader<'_>) -> Traced<T> {
    Traced { message, event: EventSequence(reader.get_event()), request: RequestId(reader.get_request()) }
}

pub(crate) fn read_holder(reader: holder::Reader<'_>) -> Result<RouterInstance, Error> {
    Ok(RouterInstance {
        name: read_box_name(reader.get_name()?)?,
        incarnation: Incarnation(reader.get_incarnation()),
    })
}

pub(crate) fn write_claimant(mut builder: holder::Builder<'_>, claimant: &Claimant) {
    builder.set_request(claimant.request.0);
    write_holder(builder, &claimant.life);
}

pub(crate) fn read_claimant(reader: holder::Reader<'_>) -> Result<Claimant, Error> {
    Ok(Claimant { life: read_holder(reader)?, request: RequestId(reader.get_request()) })
}

pub(crate) const fn write_claim(response: ClaimResponse) -> peer_capnp::Claim {
    match response {
        ClaimResponse::Claim(Claim::Granted) => peer_capnp::Claim::Granted,
        ClaimResponse::Claim(Claim::AlreadyTaken) => peer_capnp::Claim::AlreadyTaken,
        ClaimResponse::Claim(Claim::AlreadyRan) => peer_capnp::Claim::AlreadyRan,
        ClaimResponse::Claim(Claim::Unverifiable) => peer_capnp::Claim::CannotVouch,
        ClaimResponse::Claim(Claim::Full) => peer_capnp::Claim::Full,
        ClaimResponse::NotOwner => peer_capnp::Claim::NotOwner,
    }
}

pub(crate) const fn read_claim(claim: peer_capnp::Claim) -> ClaimResponse {
    match claim {
        peer_capnp::Claim::Granted => ClaimResponse::Claim(Claim::Granted),
        peer_capnp::Claim::AlreadyTaken => ClaimResponse::Claim(Claim::AlreadyTaken),
        peer_capnp::Claim::AlreadyRan => ClaimResponse::Claim(Claim::AlreadyRan),
        peer_capnp::Claim::CannotVouch => ClaimResponse::Claim(Claim::Unverifiable),
        peer_capnp::Claim::Full => ClaimResponse::Claim(Claim::Full),
        peer_capnp::Claim::NotOwner => ClaimResponse::NotOwner,
    }
}

pub(crate) const fn write_outcome(outcome: OnceOutcome) -> peer_capnp::OnceOutcome {
    match outcome {
        OnceOutcome::Ran => peer_capnp::OnceOutcome::Ran,
        OnceOutcome::NotRun => peer_capnp::OnceOutcome::NotRun,
        OnceOutcome::Unknown => peer_capnp::OnceOutcome::Unknown,
    }
}

pub(crate) const fn read_outcome(outcome: peer_capnp::OnceOutcome) -> OnceOutcome {
    match outcome {
        peer_capnp::OnceOutcome::Ran => OnceOutcome::Ran,
        peer_capnp::OnceOutcome::NotRun => OnceOutcome::NotRun,
        peer_capnp::OnceOutcome::Unknown => OnceOutcome::Unknown,
    }
}
