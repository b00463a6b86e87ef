//! What one decision costs, and how it grows.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use bendhinge_admission::{
    AdmissionController, AdmissionRequest, AdmissionRules, ClassIndex, ClassRule, CustomerIndex,
    CustomerRule, PoolIndex, PoolRule,
};
use bendhinge_configuration::{SealKey, parse_document};
use bendhinge_delivery::{IdentityKey, RequestIdentity};
use bendhinge_fleet::PartQuarantine;
use bendhinge_ids::{ChatKey, Incarnation, Instant, NameHash, PoolName, RouterInstance};
use bendhinge_placement::{
    LedgerLimits, LoadBound, LoadKey, LoadView, PermitLedger, PermitRequest, RankedUpstream, Ranking,
    SearchPool, SearchStep, UpstreamSearch,
};

const ROUNDS: u32 = 20_000;

/// Milliseconds for checking, reading and sealing-off a configuration with `customers` customers,
/// as each router does for each change.
#[must_use]
pub fn open_configuration_ms(customers: usize) -> f64 {
    const TIMES: u32 = 5;
    let mut text =
        "[fleet]\nrevision = 1\n[data_centre.h]\n[class.c]\nshare = 1\n[pool.p]\nkind = model\nmodel = m\n"
            .to_owned();
    for number in 0..customers {
        let _ = write!(text, "[customer.c{number}]\nkey_sha256 = {number:064x}\nclass = c\n");
    }
    let key = SealKey::new("a key for the bench");
    let sealed = key.seal(parse_document("bench", &text));
    let began = Clock::now();
    for _ in 0..TIMES {
        black_box(key.open("bench", &sealed)).expect("it was sealed above");
    }
    began.elapsed().as_secs_f64() * 1_000.0 / f64::from(TIMES)
}

/// Nanoseconds for the digest that tells a request with a body of `bytes` from all others.
#[must_use]
pub fn digest_ns(bytes: usize) -> f64 {
    identity_ns(bytes, |identity, key| _ = black_box(identity.digest(key)))
}

/// Nanoseconds for the hint that tells it from nearly all others.
#[must_use]
pub fn hint_ns(bytes: usize) -> f64 {
    identity_ns(bytes, |identity, key| _ = black_box(identity.hint(key)))
}

/// Nanoseconds for the digests of `parts` prompt parts and the record of their complete response.
#[must_use]
pub fn answered_parts_ns(parts: u64) -> f64 {
    const TIMES: u32 = 2_000;
    let key = IdentityKey([7; 32]);
    let pool: PoolName = "pool".parse().expect("a valid name");
    let mut quarantine = PartQuarantine::new(NameHash(1));
    let began = Clock::now();
    for time in 0..TIMES {
        let digests: Vec<_> = (0..parts).map(|part| key.part_digest(&pool, black_box(part))).collect();
        let at = Instant::from_millis(u64::from(time));
        black_box(quarantine.record_response(&digests, NameHash::of(pool.as_str()), at));
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(TIMES)
}

fn identity_ns(bytes: usize, find: impl Fn(RequestIdentity<'_>, &IdentityKey)) -> f64 {
    const TIMES: u32 = 2_000;
    let body = vec![b'x'; bytes];
    let key = IdentityKey([7; 32]);
    let identity =
        RequestIdentity { customer: "readers", method: "POST", target: "/minutes/council", body: &body };
    let began = Clock::now();
    for _ in 0..TIMES {
        find(black_box(identity), &key);
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(TIMES)
}

/// Nanoseconds for placing a turn, counting it and returning its permit, with `upstreams`
/// upstreams in one pool.
#[must_use]
pub fn place_ns(upstreams: usize) -> f64 {
    let ranked = (0..upstreams).map(|number| RankedUpstream {
        name: format!("engine-{number}").parse().expect("a valid name"),
        weight: 1.0,
        tier: 0,
        serving: true,
    });
    let ranking = Ranking::new(ranked.collect());
    let hashes: Vec<NameHash> =
        ranking.upstreams().iter().map(|ranked| NameHash::of(ranked.name.as_str())).collect();
    let name: PoolName = "pool".parse().expect("a valid name");
    let pool = SearchPool { name: &name, ranking: &ranking, hashes: &hashes, bound: LoadBound(1.25) };
    let mut view = LoadView::default();
    view.set_pool(&name, hashes.iter().copied());
    for hash in &hashes {
        view.record_count(LoadKey { upstream: *hash, pool: &name }, 100, Instant::from_millis(1));
    }
    let limits = LedgerLimits { lease: Duration::from_secs(10), max_displaced_chats: 1_000 };
    let mut ledger = PermitLedger::new(limits);
    let holder = RouterInstance { name: "box-1".parse().expect("a valid name"), incarnation: Incarnation(1) };
    let began = Clock::now();
    for round in 0..ROUNDS {
        let now = Instant::from_millis(10_000 + u64::from(round));
        let chat = ChatKey::of("customer", &round.to_le_bytes());
        let mut walk = UpstreamSearch::new(pool, chat, Vec::new(), &view, now);
        let SearchStep::Acquire { upstream, limit, .. } = walk.next(&view, |_| true, now) else { continue };
        let upstream = ranking.get(upstream).name.clone();
        let request = PermitRequest { upstream, holder: holder.clone(), first_choice_of: Some(chat), limit };
        if let Ok(granted) = black_box(ledger.acquire(&request, now)) {
            ledger.release(granted.permit, now);
        }
    }
    began.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

/// Nanoseconds for letting a request in and counting it out, with `customers` customers and
/// `pools` pools.
#[must_use]
pub fn admit_ns(customers: usize, pools: usize) -> f64 {
    const CLASSES: usize = 3;
    let rules = AdmissionRules {
        classes: vec![ClassRule { share: 1.0 }; CLASSES],
        customers: (0..customers)
            .map(|number| CustomerRule { class: ClassIndex(number % CLASSES), limit: 1_000, share: 1.0 })
            .collect(),
        pools: vec![PoolRule { slots: 10_000, initial_service_time: Duration::from_secs(8) }; pools],
    };
    let mut admission = AdmissionController::new(rules, 9);
    let began = Clock::now();
    for round in 0..ROUNDS as usize {
        let (pool, customer) = (PoolIndex(round % pools), CustomerIndex(round % customers));
        let ask = AdmissionRequest { pool, customer, deadline: None, pool_in_progress: 9_000 };
        if black_box(admission.decide(ask, 0.5)).is_ok() {
            admission.finish(pool, customer, None);
        }
    }
    began.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}
