//! Tests of cost-based upstream selection.

use std::collections::HashMap;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedParts, Candidate, Choice, ChoiceReason, CostModel, CostQuery, Distance, PartId, Prompt, PromptPart,
    UpstreamUsage, choose, spread_above_limit,
};

const NOW: Instant = Instant::from_millis(100_000);
const CACHE_TTL: Duration = Duration::from_secs(60);

fn candidates(count: u64) -> Vec<Candidate> {
    let candidate = |number| Candidate {
        upstream: NameHash(number * 7_919 + 1),
        load: 0.0,
        failure_rate: 0.0,
        takes_work: true,
        is_warming: false,
        counts_in_mean: true,
        distance: Distance::Local,
        work: None,
    };
    (0..count).map(candidate).collect()
}

fn prompt(prefix: u64, affinity_key: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id: PartId(id), tokens };
    Prompt::new(vec![part(prefix, 2_500), part(affinity_key, 6_000), part(affinity_key * 1_000 + 1, 500)])
}

struct Fixture {
    candidates: Vec<Candidate>,
    cached: CachedParts,
    can_fetch: bool,
}

impl Fixture {
    fn new(count: u64) -> Self {
        Self { candidates: candidates(count), cached: CachedParts::new(CACHE_TTL), can_fetch: true }
    }

    fn choose(&self, prompt: Option<&Prompt>) -> Option<Choice> {
        let query = CostQuery {
            prompt,
            can_fetch: self.can_fetch,
            tie_breaker: 5,
            locality: None,
            key_requests: 0.0,
        };
        choose(&CostModel::default(), &query, &self.candidates, &self.cached, NOW)
    }

    fn chosen(&self, prompt: &Prompt) -> usize {
        self.choose(Some(prompt)).unwrap().candidate
    }

    fn record_prompt(&mut self, index: usize, prompt: &Prompt) {
        self.cached.record_prompt(self.candidates[index].upstream, prompt, NOW);
    }
}

#[test]
fn homes_are_deterministic_and_evenly_distributed() {
    let fixture = Fixture::new(12);
    let homes: Vec<usize> = (100..1_300).map(|key| fixture.chosen(&prompt(1, key))).collect();
    let recomputed: Vec<usize> = (100..1_300).map(|key| Fixture::new(12).chosen(&prompt(1, key))).collect();
    assert_eq!(homes, recomputed);
    for upstream in 0..12 {
        let count = homes.iter().filter(|home| **home == upstream).count();
        assert!(
            (60..=140).contains(&count),
            "{count} of 1,200 affinity keys have their home on one of twelve upstreams"
        );
    }
}

/// Returns the homes that 400 requests with one prompt choose, by number of requests.
fn homes_of_popular_prompt(fixture: &Fixture, key_requests: f32) -> HashMap<usize, usize> {
    let mut homes = HashMap::new();
    for tie_breaker in 0..400 {
        let query = CostQuery {
            prompt: Some(&prompt(1, 7)),
            can_fetch: true,
            tie_breaker,
            locality: None,
            key_requests,
        };
        let choice =
            choose(&CostModel::default(), &query, &fixture.candidates, &fixture.cached, NOW).unwrap();
        assert_eq!(choice.reason, ChoiceReason::Home);
        *homes.entry(choice.candidate).or_default() += 1;
    }
    homes
}

/// Guards against one home that all requests with a popular prompt are sent to, and against copies of prompts that one
/// home bears. With a mean load of 4, the limit is 4 above it.
#[test]
fn a_popular_prompt_has_as_many_homes_as_its_requests_need() {
    let mut fixture = Fixture::new(40);
    fixture.candidates.iter_mut().for_each(|candidate| candidate.load = 4.0);
    for (key_requests, expected) in [(0.0, 1), (4.0, 1), (5.0, 3), (20.0, 10), (1_000.0, 40)] {
        let homes = homes_of_popular_prompt(&fixture, key_requests);
        assert_eq!(homes.len(), expected, "{key_requests} requests");
        let most = homes.values().max().unwrap();
        assert!(*most <= 2 * 400 / expected + 10, "{most} of 400 requests at one of {expected} homes");
    }
    let single = homes_of_popular_prompt(&fixture, 0.0);
    let several = homes_of_popular_prompt(&fixture, 20.0);
    assert!(several.contains_key(single.keys().next().unwrap()), "the first home stays a home");
}

/// Guards against reports of upstreams that are within the load limit.
#[test]
fn an_upstream_is_overloaded_only_above_the_load_limit() {
    let model = CostModel::default();
    for (load, mean_load, expected) in
        [(2.0, 0.0, false), (3.0, 0.0, true), (8.0, 4.0, false), (10.0, 4.0, false), (11.0, 4.0, true)]
    {
        assert_eq!(model.is_overloaded(load, mean_load), expected, "{load} at a mean of {mean_load}");
    }
}

/// Guards against a number of homes that overflows or a choice that panics.
#[test]
fn invalid_numbers_of_requests_are_bounded() {
    let fixture = Fixture::new(3);
    for key_requests in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, f32::MAX, -1.0] {
        assert!((1..=3).contains(&homes_of_popular_prompt(&fixture, key_requests).len()), "{key_requests}");
    }
}

/// Returns the chosen upstreams of 80 prompts before and after an upstream is added.
fn choices_after_upstream_added(can_fetch: bool) -> Vec<(usize, Choice)> {
    let mut fixture = Fixture { can_fetch, ..Fixture::new(11) };
    let prompts: Vec<Prompt> = (100..180).map(|key| prompt(key % 4, key)).collect();
    let before: Vec<usize> = prompts.iter().map(|prompt| fixture.chosen(prompt)).collect();
    for (index, prompt) in before.iter().zip(&prompts) {
        fixture.record_prompt(*index, prompt);
    }
    fixture.candidates = candidates(12);
    let after = prompts.iter().map(|prompt| fixture.choose(Some(prompt)).unwrap());
    before.into_iter().zip(after).collect()
}

#[test]
fn cached_prompt_keeps_its_upstream_when_one_is_added_and_fetching_is_disabled() {
    for (before, after) in choices_after_upstream_added(false) {
        assert_eq!(before, after.candidate);
    }
}

/// Routers without cache data send prompts to their home, so cached prompts must move there to
/// avoid processing them again.
#[test]
fn cached_prompt_moves_to_its_new_home_when_fetching_is_enabled() {
    let choices = choices_after_upstream_added(true);
    let added = 11;
    let moved: Vec<_> = choices.iter().filter(|(before, after)| *before != after.candidate).collect();
    assert!(
        (2..=16).contains(&moved.len()),
        "{} of 80 prompts moved to the added upstream, one of twelve",
        moved.len()
    );
    for (before, after) in moved {
        assert_eq!((after.candidate, after.fetch_source), (added, Some(*before)));
        assert_eq!(after.reason, ChoiceReason::Home);
    }
}

/// Six more requests on the home outweigh the cost of serving the prompt away from it.
#[test]
fn prompt_stays_on_caching_upstream_when_home_is_busier() {
    let mut fixture = Fixture::new(12);
    let prompt = prompt(1, 9);
    let home = fixture.chosen(&prompt);
    fixture.record_prompt((home + 1) % 12, &prompt);
    fixture.candidates.iter_mut().for_each(|candidate| candidate.load = 10.0);
    assert_eq!(fixture.chosen(&prompt), home);
    fixture.candidates[home].load = 16.0;
    assert_eq!(fixture.chosen(&prompt), (home + 1) % 12);
}

#[test]
fn prompt_is_fetched_from_a_drained_home() {
    let mut fixture = Fixture::new(12);
    let prompt = prompt(1, 9);
    let home = fixture.chosen(&prompt);
    fixture.record_prompt(home, &prompt);
    fixture.candidates[home].takes_work = false;
    let choice = fixture.choose(Some(&prompt)).unwrap();
    assert_ne!(choice.candidate, home);
    assert_eq!(choice.fetch_source, Some(home));
}

#[test]
fn overloaded_upstream_is_skipped_while_others_are_below_the_limit() {
    let mut fixture = Fixture::new(12);
    let prompt = prompt(1, 9);
    let home = fixture.chosen(&prompt);
    fixture.record_prompt(home, &prompt);
    fixture.candidates.iter_mut().for_each(|candidate| candidate.load = 4.0);
    fixture.candidates[home].load = 20.0;
    let choice = fixture.choose(Some(&prompt)).unwrap();
    assert_ne!(choice.candidate, home);
    assert_eq!(choice.fetch_source, Some(home));
    fixture.candidates.iter_mut().for_each(|candidate| candidate.load = 20.0);
    assert_eq!(fixture.chosen(&prompt), home, "all upstreams have the same load");
}

#[test]
fn failing_upstream_is_avoided_without_a_prompt() {
    let mut fixture = Fixture::new(3);
    fixture.candidates[0].failure_rate = 0.6;
    fixture.candidates[1].load = 1.0;
    fixture.candidates[2].load = 3.0;
    assert_eq!(fixture.choose(None).unwrap().candidate, 1);
}

#[test]
fn no_choice_without_accepting_candidates() {
    let mut fixture = Fixture::new(3);
    fixture.candidates.iter_mut().for_each(|candidate| candidate.takes_work = false);
    assert_eq!(fixture.choose(None), None);
    assert_eq!(Fixture::new(0).choose(Some(&prompt(1, 1))), None);
}

#[test]
fn cached_tokens_stop_at_the_first_missing_part() {
    let mut cached = CachedParts::new(CACHE_TTL);
    let upstream = NameHash(1);
    cached.record_prompt(upstream, &prompt(1, 9), NOW);
    let tokens = |prompt: &Prompt, now| cached.cached_tokens_by_upstream(prompt, now).get(&upstream).copied();
    assert_eq!(tokens(&prompt(1, 9), NOW), Some(8_500));
    assert_eq!(tokens(&prompt(1, 8), NOW), Some(2_500));
    assert_eq!(tokens(&prompt(2, 9), NOW), None, "the first part is missing");
    assert_eq!(tokens(&prompt(1, 9), NOW + CACHE_TTL), None);
}

#[test]
fn choice_reason_matches_deciding_factor() {
    let mut fixture = Fixture::new(12);
    let prompt = prompt(1, 9);
    let home = fixture.chosen(&prompt);
    assert_eq!(fixture.choose(Some(&prompt)).unwrap().reason, ChoiceReason::Home);
    let other = (home + 1) % 12;
    fixture.record_prompt(other, &prompt);
    assert_eq!(
        fixture.choose(Some(&prompt)).unwrap().reason,
        ChoiceReason::Home,
        "the prompt is fetched to its home"
    );
    fixture.can_fetch = false;
    let choice = fixture.choose(Some(&prompt)).unwrap();
    assert_eq!((choice.candidate, choice.reason), (other, ChoiceReason::Cached));
    assert_eq!(fixture.choose(None).unwrap().reason, ChoiceReason::LeastCost);
}

/// Excluding drained upstreams would raise the mean and thus the load limit of the others.
#[test]
fn drained_upstreams_count_in_mean_load() {
    let mut fixture = Fixture::new(12);
    for (index, candidate) in fixture.candidates.iter_mut().enumerate() {
        let is_drained = index % 3 == 0;
        candidate.takes_work = !is_drained;
        candidate.load = if is_drained { 0.0 } else { 9.0 };
    }
    let busy = fixture.chosen(&prompt(1, 100));
    fixture.candidates[busy].load = 12.0;
    assert_ne!(fixture.chosen(&prompt(1, 100)), busy);
    fixture
        .candidates
        .iter_mut()
        .filter(|candidate| !candidate.takes_work)
        .for_each(|drained| drained.counts_in_mean = false);
    assert_eq!(
        fixture.chosen(&prompt(1, 100)),
        busy,
        "the home is below the limit when drained upstreams are excluded"
    );
}

/// Fetching from the same source every time would queue the fetches on one upstream.
#[test]
fn fetches_of_a_shared_prefix_are_spread_over_all_sources() {
    const UPSTREAMS: usize = 600;
    const CACHING_UPSTREAMS: usize = 200;
    const FETCHES: u64 = 1_000;
    let mut fixture = Fixture::new(UPSTREAMS as u64);
    for index in 0..CACHING_UPSTREAMS {
        fixture.record_prompt(index, &prompt(1, 10_000 + index as u64));
    }
    let mut sources = vec![0_usize; UPSTREAMS];
    for key in 0..FETCHES {
        let prompt = prompt(1, 50_000 + key);
        let query = CostQuery {
            prompt: Some(&prompt),
            can_fetch: true,
            tie_breaker: key,
            locality: None,
            key_requests: 0.0,
        };
        let choice =
            choose(&CostModel::default(), &query, &fixture.candidates, &fixture.cached, NOW).unwrap();
        if let Some(source) = choice.fetch_source {
            assert!(source < CACHING_UPSTREAMS, "the source has cached the prefix");
            sources[source] += 1;
        }
    }
    let fetched: usize = sources.iter().sum();
    assert!(fetched > CACHING_UPSTREAMS, "only {fetched} fetches");
    let even = fetched / CACHING_UPSTREAMS;
    let busiest = sources.iter().max().unwrap();
    assert!(*busiest <= 4 * even, "{busiest} of {fetched} fetches from one of {CACHING_UPSTREAMS} sources");
}

/// Returns the number of copies of prefixes in a pool of `count` upstreams: distinct pairs of a
/// prefix and an upstream chosen for it.
fn count_prefix_copies(count: u64) -> usize {
    let fixture = Fixture::new(count);
    let homes: std::collections::BTreeSet<(u64, usize)> =
        (0..1_800).map(|key| (key % 4, fixture.chosen(&prompt(key % 4, 10_000 + key)))).collect();
    homes.len()
}

/// Without groups, nearly every upstream of a large pool would process and cache the prefix for a
/// few affinity keys only.
#[test]
fn prefix_copies_do_not_grow_with_pool_size() {
    const PREFIXES: usize = 4;
    /// Maximum number of upstreams per group.
    const MAX_GROUP_SIZE: usize = 256;
    for count in [600, 6_000] {
        let copies = count_prefix_copies(count);
        assert!(copies <= PREFIXES * MAX_GROUP_SIZE, "{copies} prefix copies on {count} upstreams");
    }
}

/// A popular prefix must not be confined to one group: busy homes fall back to the next group.
#[test]
fn busy_homes_fall_back_to_the_next_group() {
    let mut fixture = Fixture::new(6_000);
    let prompts: Vec<Prompt> = (0..200).map(|key| prompt(1, 10_000 + key)).collect();
    let first: Vec<usize> = prompts.iter().map(|prompt| fixture.chosen(prompt)).collect();
    for index in &first {
        fixture.candidates[*index].load = 9.0;
    }
    let second: Vec<Choice> = prompts.iter().map(|prompt| fixture.choose(Some(prompt)).unwrap()).collect();
    let with_home = second.iter().filter(|choice| choice.reason == ChoiceReason::Home).count();
    assert!(with_home > 190, "only {with_home} of 200 prompts have a home in another group");
    let elsewhere: std::collections::BTreeSet<usize> = second.iter().map(|choice| choice.candidate).collect();
    assert!(elsewhere.iter().all(|index| !first.contains(index)));
    assert!(elsewhere.len() <= 256, "homes must be in one group, got {} upstreams", elsewhere.len());
}

/// Adding an upstream must not move most homes to another group.
#[test]
fn adding_an_upstream_moves_few_homes_in_a_large_pool() {
    let (before, mut after) = (Fixture::new(3_000), Fixture::new(3_001));
    after.candidates[17].takes_work = false;
    let moved = (0..300).filter(|key| {
        let prompt = prompt(key % 4, 10_000 + key);
        before.chosen(&prompt) != after.chosen(&prompt)
    });
    assert!(moved.count() < 18);
}

fn usage(load: f32, takes_requests: bool) -> UpstreamUsage {
    UpstreamUsage { load, takes_requests }
}

/// Guards against exchanges that stay rare while the upstreams that are left bear the load of drained ones, and against
/// frequent ones while there is room.
#[test]
fn a_pool_is_near_its_load_limit_while_part_of_it_takes_no_requests() {
    let model = CostModel::default();
    let drained = [usage(0.0, false), usage(6.6, true), usage(6.6, true)];
    assert!(model.is_near_load_limit(drained.into_iter()));
    let all = [usage(4.4, true); 3];
    assert!(!model.is_near_load_limit(all.into_iter()));
    let idle = [usage(0.0, false), usage(0.9, true), usage(0.9, true)];
    assert!(!model.is_near_load_limit(idle.into_iter()));
    assert!(!model.is_near_load_limit(std::iter::empty()));
}

/// Guards against streams of one prompt that all go on at the one of the last upstreams with their software that has
/// it cached.
#[test]
fn requests_that_few_upstreams_may_process_are_spread() {
    const REQUESTS: usize = 30;
    let prompt = prompt(1, 2);
    let loads_after = |spreads: bool| {
        let mut fixture = Fixture { can_fetch: false, ..Fixture::new(12) };
        fixture.record_prompt(0, &prompt);
        for _ in 0..REQUESTS {
            for (index, candidate) in fixture.candidates.iter_mut().enumerate() {
                candidate.takes_work = index < 2;
            }
            if spreads {
                spread_above_limit(&CostModel::default(), &mut fixture.candidates);
            }
            let chosen = fixture.chosen(&prompt);
            fixture.candidates[chosen].load += 1.0;
        }
        let loads = fixture.candidates[..2].iter().map(|candidate| candidate.load);
        (loads.clone().fold(f32::MAX, f32::min), loads.fold(0.0, f32::max))
    };
    let (lowest, highest) = loads_after(true);
    assert!(highest - lowest <= 2.0, "{lowest} to {highest} requests");
    let (lowest, highest) = loads_after(false);
    assert!(highest - lowest > 2.0, "{lowest} to {highest} requests, so the test shows nothing");
}
