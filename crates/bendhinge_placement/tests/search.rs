//! Tests of the upstream search, of load assessment and of the load view.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{ChatKey, Instant, NameHash, PoolName};
use bendhinge_placement::{
    Assessment, KnownLoad, LoadBound, LoadKey, LoadView, PermitResponse, PlacementReason, PoolLoad,
    RankedUpstream, Ranking, SearchPool, SearchStep, UpstreamIndex, UpstreamSearch, assess,
};

struct Pool {
    name: PoolName,
    ranking: Ranking,
    hashes: Vec<NameHash>,
    view: LoadView,
}

fn pool(serving: &[bool]) -> Pool {
    let ranked = serving.iter().enumerate().map(|(number, serving)| RankedUpstream {
        name: format!("engine-{number}").parse().unwrap(),
        weight: 1.0,
        tier: 0,
        serving: *serving,
    });
    let ranking = Ranking::new(ranked.collect());
    let hashes: Vec<NameHash> =
        ranking.upstreams().iter().map(|ranked| NameHash::of(ranked.name.as_str())).collect();
    let name: PoolName = "pool".parse().unwrap();
    let mut view = LoadView::default();
    view.set_pool(&name, ranking.serving_indices().map(|index| hashes[index.0 as usize]));
    Pool { name, ranking, hashes, view }
}

impl Pool {
    fn search_pool(&self) -> SearchPool<'_> {
        SearchPool { name: &self.name, ranking: &self.ranking, hashes: &self.hashes, bound: LoadBound(1.25) }
    }
}

/// With exact counts in the denials, the search always finds an upstream below its limit, because
/// the limit is a multiple of the mean load.
#[test]
fn search_with_exact_counts_is_never_exhausted() {
    arbtest(|u| {
        let serving: Vec<bool> =
            (0..u.int_in_range(1..=14)?).map(|_| u.ratio(4, 5)).collect::<Result<_, _>>()?;
        let mut pool = pool(&serving);
        let loads: Vec<u32> = (0..serving.len()).map(|_| u.int_in_range(0..=6)).collect::<Result<_, _>>()?;
        let now = Instant::from_millis(60_000);
        let chat = ChatKey(u.arbitrary()?);
        let (name, hashes) = (pool.name.clone(), pool.hashes.clone());
        let ranking = pool.ranking.clone();
        let search_pool =
            SearchPool { name: &name, ranking: &ranking, hashes: &hashes, bound: LoadBound(1.25) };
        let mut search = UpstreamSearch::new(search_pool, chat, Vec::new(), &pool.view, now);
        if search.is_empty() {
            assert!(serving.iter().all(|serving| !serving));
            return Ok(());
        }
        let mut requests = 0;
        let chosen = loop {
            match search.next(&pool.view, |_| true, now) {
                SearchStep::Exhausted => panic!("search exhausted with loads {loads:?}, serving {serving:?}"),
                SearchStep::Send(_) => panic!("sent without a permit although no load is known"),
                SearchStep::Acquire { upstream, limit, .. } => {
                    requests += 1;
                    assert!(requests < 40, "the search does not terminate");
                    let load = loads[upstream.0 as usize];
                    if load < limit {
                        break upstream;
                    }
                    pool.view.record_count(
                        LoadKey { upstream: hashes[upstream.0 as usize], pool: &name },
                        load,
                        now,
                    );
                    assert_eq!(search.handle_response(PermitResponse::AtBound, &pool.view), None);
                }
            }
        };
        assert!(ranking.get(chosen).serving);
        let total: u32 = ranking.serving_indices().map(|index| loads[index.0 as usize]).sum();
        let bound = LoadBound(1.25).limit(PoolLoad { in_progress: total }, ranking.weight_share(chosen));
        assert!(loads[chosen.0 as usize] < bound, "loads {loads:?}, chosen {chosen:?}");
        Ok(())
    });
}

fn requested_upstream(step: SearchStep) -> UpstreamIndex {
    match step {
        SearchStep::Acquire { upstream, .. } => upstream,
        other => panic!("not a permit request: {other:?}"),
    }
}

/// A displaced chat returns to the upstream that has its context, or to its preferred one if that
/// is full.
#[test]
fn displaced_chat_returns_to_its_upstream() {
    let pool = pool(&[true; 6]);
    let now = Instant::from_millis(60_000);
    let shortlist = pool.ranking.shortlist(ChatKey(7));
    let (first, location) = (shortlist.as_slice()[0], shortlist.as_slice()[3]);
    let mut search = UpstreamSearch::new(pool.search_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    assert_eq!(requested_upstream(search.next(&pool.view, |_| true, now)), first);
    search.handle_response(PermitResponse::Redirect(Some(location)), &pool.view);
    assert_eq!(requested_upstream(search.next(&pool.view, |_| true, now)), location);
    assert_eq!(search.reason(), PlacementReason::ReturnedToDisplaced);
    search.handle_response(PermitResponse::AtBound, &pool.view);
    let retry = search.next(&pool.view, |_| true, now);
    assert!(
        matches!(retry, SearchStep::Acquire { upstream, first_choice: false, .. } if upstream == first),
        "{retry:?}"
    );
    assert_eq!(search.reason(), PlacementReason::FirstChoice);
    assert!(
        search.displacement_recorders(first).any(|index| index == first),
        "the old location must be overwritten"
    );
}

/// A redirect to an upstream that already failed this request must not use up its remaining
/// attempts.
#[test]
fn redirect_to_a_tried_upstream_is_ignored() {
    let pool = pool(&[true; 6]);
    let now = Instant::from_millis(60_000);
    let shortlist = pool.ranking.shortlist(ChatKey(7));
    let (first, failed) = (shortlist.as_slice()[0], shortlist.as_slice()[1]);
    let mut search = UpstreamSearch::new(pool.search_pool(), ChatKey(7), vec![failed], &pool.view, now);
    assert_eq!(requested_upstream(search.next(&pool.view, |_| true, now)), first);
    search.handle_response(PermitResponse::Redirect(Some(failed)), &pool.view);
    assert_eq!(requested_upstream(search.next(&pool.view, |_| true, now)), first);
    for _ in 0..40 {
        search.handle_response(PermitResponse::AtBound, &pool.view);
        match search.next(&pool.view, |_| true, now) {
            SearchStep::Exhausted => return,
            step => assert_ne!(requested_upstream(step), failed),
        }
    }
    panic!("the search does not terminate");
}

/// While a chat's preferred upstream is unavailable, the owner of that upstream must still learn
/// the chat's location.
#[test]
fn displacement_is_recorded_at_the_preferred_upstream() {
    let all = pool(&[true; 6]);
    let preferred = all.ranking.shortlist(ChatKey(7)).as_slice()[0];
    let mut serving = [true; 6];
    serving[all.ranking.get(preferred).name.as_str()["engine-".len()..].parse::<usize>().unwrap()] = false;
    let pool = pool(&serving);
    let now = Instant::from_millis(60_000);
    let mut search = UpstreamSearch::new(pool.search_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    let location = requested_upstream(search.next(&pool.view, |_| true, now));
    assert_ne!(location, preferred);
    assert_eq!(search.reason(), PlacementReason::Displaced);
    assert!(search.displacement_recorders(location).any(|index| index == preferred));
}

/// Without a response from the owner, the bound is applied to the router's own load data.
#[test]
fn load_bound_applies_without_a_response() {
    let mut pool = pool(&[true; 4]);
    let now = Instant::from_millis(60_000);
    let first = pool.ranking.shortlist(ChatKey(7)).as_slice()[0];
    let name = pool.name.clone();
    for (index, hash) in (0..).zip(pool.hashes.clone()) {
        let load = if UpstreamIndex(index) == first { 9 } else { 2 };
        pool.view.record_count(LoadKey { upstream: hash, pool: &name }, load, now);
    }
    let mut search = UpstreamSearch::new(pool.search_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    loop {
        let step = search.next(&pool.view, |_| false, now);
        if matches!(step, SearchStep::Exhausted) {
            panic!("other upstreams are below their limit");
        }
        if let Some(chosen) = search.handle_response(PermitResponse::NoResponse, &pool.view) {
            assert_ne!(chosen, first);
            assert_eq!(search.reason(), PlacementReason::LocalKnowledge);
            return;
        }
    }
}

/// The limit is `ceil(multiple × (pool load + 1) × share)`.
#[test]
fn limit_rounds_up() {
    let table =
        [(0, 0.025, 1), (39, 0.025, 2), (31, 0.025, 1), (320, 0.025, 11), (319, 0.025, 10), (7, 1.0, 10)];
    for (in_progress, share, limit) in table {
        assert_eq!(LoadBound(1.25).limit(PoolLoad { in_progress }, share), limit, "{in_progress} {share}");
    }
}

/// Under low load the result is uncertain near the limit; under high load it is clear.
#[test]
fn assessment_depends_on_load_and_age() {
    let share = 1.0 / 40.0;
    let assess_load = |load, total, age| {
        let known = Some(KnownLoad { in_progress: load, age });
        assess(known, LoadBound(1.25), PoolLoad { in_progress: total }, share)
    };
    let fresh = Duration::from_secs(1);
    assert_eq!(assess_load(8, 320, fresh), Assessment::Uncertain);
    assert_eq!(assess_load(1, 320, fresh), Assessment::BelowLimit);
    assert_eq!(assess_load(128, 5_120, fresh), Assessment::BelowLimit);
    assert_eq!(assess_load(155, 5_120, fresh), Assessment::Uncertain);
    assert_eq!(assess_load(220, 5_120, fresh), Assessment::AboveLimit);
    assert_eq!(
        assess_load(1, 320, Duration::from_secs(6)),
        Assessment::Uncertain,
        "outdated load data is ignored"
    );
    assert_eq!(assess(None, LoadBound(1.25), PoolLoad { in_progress: 320 }, share), Assessment::Uncertain);
}

/// Own requests that started or ended after a measurement adjust the measured count.
#[test]
fn own_changes_after_measurement_adjust_the_load() {
    let mut pool = pool(&[true]);
    let (name, hash) = (pool.name.clone(), pool.hashes[0]);
    let key = LoadKey { upstream: hash, pool: &name };
    let at = Instant::from_millis;
    pool.view.request_started(key, at(1_000));
    pool.view.request_started(key, at(2_000));
    pool.view.request_ended(key, at(3_000));
    pool.view.record_count(key, 5, at(1_500));
    assert_eq!(pool.view.load(hash), 5, "one request started and one ended since");
    pool.view.record_count(key, 6, at(2_500));
    assert_eq!(pool.view.load(hash), 5, "one request ended since");
    pool.view.record_count(key, 1, at(2_400));
    assert_eq!(pool.view.load(hash), 5, "an older count is ignored");
    assert_eq!(pool.view.pool_load(&name).in_progress, 5);
}
