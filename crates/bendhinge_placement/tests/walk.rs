//! The walk, driven against ledgers that count truly, and against ones that fail.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{ChatKey, Instant, NameHash, PoolName};
use bendhinge_placement::{
    Answer, Assessment, KnownLoad, LoadBound, LoadView, PlacementReason, PoolLoad, Ranked, Ranking, Step,
    UpstreamIndex, ViewKey, Walk, WalkPool, assess,
};

struct Pool {
    name: PoolName,
    ranking: Ranking,
    hashes: Vec<NameHash>,
    view: LoadView,
}

fn pool(serving: &[bool]) -> Pool {
    let ranked = serving.iter().enumerate().map(|(number, serving)| Ranked {
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
    fn walk_pool(&self) -> WalkPool<'_> {
        WalkPool { name: &self.name, ranking: &self.ranking, hashes: &self.hashes, bound: LoadBound(1.25) }
    }
}

/// A walk that hears the truth always ends at an upstream below its bound, if it is told the
/// counts with the denials: a multiple of the mean leaves room somewhere.
#[test]
fn a_walk_that_hears_the_truth_is_never_exhausted() {
    arbtest(|u| {
        let serving: Vec<bool> =
            (0..u.int_in_range(1..=14)?).map(|_| u.ratio(4, 5)).collect::<Result<_, _>>()?;
        let mut pool = pool(&serving);
        let loads: Vec<u32> = (0..serving.len()).map(|_| u.int_in_range(0..=6)).collect::<Result<_, _>>()?;
        let now = Instant::from_millis(60_000);
        let chat = ChatKey(u.arbitrary()?);
        let (name, hashes) = (pool.name.clone(), pool.hashes.clone());
        let ranking = pool.ranking.clone();
        let walk_pool = WalkPool { name: &name, ranking: &ranking, hashes: &hashes, bound: LoadBound(1.25) };
        let mut walk = Walk::new(walk_pool, chat, Vec::new(), &pool.view, now);
        if walk.is_empty() {
            assert!(serving.iter().all(|serving| !serving));
            return Ok(());
        }
        let mut asks = 0;
        let chosen = loop {
            match walk.next(&pool.view, |_| true, now) {
                Step::Exhausted => panic!("exhausted with loads {loads:?} serving {serving:?}"),
                Step::Take(_) => panic!("nothing is known, so nothing can be taken unasked"),
                Step::Ask { upstream, limit, .. } => {
                    asks += 1;
                    assert!(asks < 40, "the walk does not end");
                    let load = loads[upstream.0 as usize];
                    if load < limit {
                        break upstream;
                    }
                    pool.view.learn(
                        ViewKey { upstream: hashes[upstream.0 as usize], pool: &name },
                        load,
                        now,
                    );
                    assert_eq!(walk.answered(Answer::AtBound, &pool.view), None);
                }
            }
        };
        assert!(ranking.get(chosen).serving);
        let total: u32 = ranking.serving_indices().map(|index| loads[index.0 as usize]).sum();
        let promise = LoadBound(1.25).limit(PoolLoad { in_progress: total }, ranking.share(chosen));
        assert!(loads[chosen.0 as usize] < promise, "loads {loads:?} chosen {chosen:?}");
        Ok(())
    });
}

fn asked(step: Step) -> UpstreamIndex {
    match step {
        Step::Ask { upstream, .. } => upstream,
        other => panic!("not an ask: {other:?}"),
    }
}

/// A displaced chat goes back to where its context is; if that is full, to its first.
#[test]
fn a_displaced_chat_returns() {
    let pool = pool(&[true; 6]);
    let now = Instant::from_millis(60_000);
    let shortlist = pool.ranking.shortlist(ChatKey(7));
    let (first, place) = (shortlist.as_slice()[0], shortlist.as_slice()[3]);
    let mut walk = Walk::new(pool.walk_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    assert_eq!(asked(walk.next(&pool.view, |_| true, now)), first);
    walk.answered(Answer::Elsewhere(Some(place)), &pool.view);
    assert_eq!(asked(walk.next(&pool.view, |_| true, now)), place);
    assert_eq!(walk.reason(), PlacementReason::ReturnedToDisplaced);
    walk.answered(Answer::AtBound, &pool.view);
    let again = walk.next(&pool.view, |_| true, now);
    assert!(
        matches!(again, Step::Ask { upstream, first_choice: false, .. } if upstream == first),
        "{again:?}"
    );
    assert_eq!(walk.reason(), PlacementReason::FirstChoice);
    assert!(walk.remembering(first).any(|index| index == first), "its old place must be forgotten");
}

/// Found by the bench: a chat that was remembered at an upstream which had just failed this very
/// request was sent there again, until its attempts were spent.
#[test]
fn a_tried_upstream_is_not_returned_to() {
    let pool = pool(&[true; 6]);
    let now = Instant::from_millis(60_000);
    let shortlist = pool.ranking.shortlist(ChatKey(7));
    let (first, failed) = (shortlist.as_slice()[0], shortlist.as_slice()[1]);
    let mut walk = Walk::new(pool.walk_pool(), ChatKey(7), vec![failed], &pool.view, now);
    assert_eq!(asked(walk.next(&pool.view, |_| true, now)), first);
    walk.answered(Answer::Elsewhere(Some(failed)), &pool.view);
    assert_eq!(asked(walk.next(&pool.view, |_| true, now)), first);
    for _ in 0..40 {
        walk.answered(Answer::AtBound, &pool.view);
        match walk.next(&pool.view, |_| true, now) {
            Step::Exhausted => return,
            step => assert_ne!(asked(step), failed),
        }
    }
    panic!("the walk does not end");
}

/// While a chat's lasting first is away, the router that counts for it is told where the chat is.
#[test]
fn a_lasting_first_remembers() {
    let all = pool(&[true; 6]);
    let lasting = all.ranking.shortlist(ChatKey(7)).as_slice()[0];
    let mut serving = [true; 6];
    serving[all.ranking.get(lasting).name.as_str()["engine-".len()..].parse::<usize>().unwrap()] = false;
    let pool = pool(&serving);
    let now = Instant::from_millis(60_000);
    let mut walk = Walk::new(pool.walk_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    let place = asked(walk.next(&pool.view, |_| true, now));
    assert_ne!(place, lasting);
    assert_eq!(walk.reason(), PlacementReason::Displaced);
    assert!(walk.remembering(place).any(|index| index == lasting));
}

/// Nobody answers: lagged knowledge decides, under the same bound.
#[test]
fn without_an_answer_the_bound_still_holds() {
    let mut pool = pool(&[true; 4]);
    let now = Instant::from_millis(60_000);
    let first = pool.ranking.shortlist(ChatKey(7)).as_slice()[0];
    let name = pool.name.clone();
    for (index, hash) in (0..).zip(pool.hashes.clone()) {
        let load = if UpstreamIndex(index) == first { 9 } else { 2 };
        pool.view.learn(ViewKey { upstream: hash, pool: &name }, load, now);
    }
    let mut walk = Walk::new(pool.walk_pool(), ChatKey(7), Vec::new(), &pool.view, now);
    loop {
        let step = walk.next(&pool.view, |_| false, now);
        if matches!(step, Step::Exhausted) {
            panic!("others have room");
        }
        if let Some(alone) = walk.answered(Answer::NoWord, &pool.view) {
            assert_ne!(alone, first);
            assert_eq!(walk.reason(), PlacementReason::LocalKnowledge);
            return;
        }
    }
}

/// The promise in words: ceil(multiple × (pool load + 1) × share).
#[test]
fn limits() {
    let table =
        [(0, 0.025, 1), (39, 0.025, 2), (31, 0.025, 1), (320, 0.025, 11), (319, 0.025, 10), (7, 1.0, 10)];
    for (in_progress, share, limit) in table {
        assert_eq!(LoadBound(1.25).limit(PoolLoad { in_progress }, share), limit, "{in_progress} {share}");
    }
}

/// With a handful of requests there is no room for guessing, with a hundred there is.
#[test]
fn what_can_be_told_without_asking() {
    let share = 1.0 / 40.0;
    let judge = |load, total, age| {
        let known = Some(KnownLoad { in_progress: load, age });
        assess(known, LoadBound(1.25), PoolLoad { in_progress: total }, share)
    };
    let fresh = Duration::from_secs(1);
    assert_eq!(judge(8, 320, fresh), Assessment::Ask);
    assert_eq!(judge(1, 320, fresh), Assessment::Clear);
    assert_eq!(judge(128, 5_120, fresh), Assessment::Clear);
    assert_eq!(judge(155, 5_120, fresh), Assessment::Ask);
    assert_eq!(judge(220, 5_120, fresh), Assessment::Full);
    assert_eq!(judge(1, 320, Duration::from_secs(6)), Assessment::Ask, "old knowledge is none");
    assert_eq!(assess(None, LoadBound(1.25), PoolLoad { in_progress: 320 }, share), Assessment::Ask);
}

/// A count measured before own requests began or ended is brought up to date by both.
#[test]
fn own_changes_are_added_to_older_counts() {
    let mut pool = pool(&[true]);
    let (name, hash) = (pool.name.clone(), pool.hashes[0]);
    let key = ViewKey { upstream: hash, pool: &name };
    let at = Instant::from_millis;
    pool.view.sent(key, at(1_000));
    pool.view.sent(key, at(2_000));
    pool.view.ended(key, at(3_000));
    pool.view.learn(key, 5, at(1_500));
    assert_eq!(pool.view.load(hash), 5, "one began and one ended since");
    pool.view.learn(key, 6, at(2_500));
    assert_eq!(pool.view.load(hash), 5, "one ended since");
    pool.view.learn(key, 1, at(2_400));
    assert_eq!(pool.view.load(hash), 5, "older word is passed over");
    assert_eq!(pool.view.pool_load(&name).in_progress, 5);
}
