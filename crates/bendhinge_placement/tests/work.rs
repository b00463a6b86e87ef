//! Tests of the selection of upstreams whose work is known.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedParts, Candidate, CandidateWork, Choice, ChoiceReason, CostModel, CostQuery, Distance, PartId,
    Prompt, PromptPart, choose,
};

const NOW: Instant = Instant::from_millis(100_000);
const IDLE: CandidateWork = CandidateWork { pending_tokens: 0.0, waiting: 0.0, running: 0.0, pace: 1.0 };
/// Pending tokens at which a home is passed over.
const MANY_TOKENS: f32 = 30_000.0;

fn prompt(affinity_key: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id: PartId(id), tokens };
    Prompt::new(vec![part(1, 2_500), part(affinity_key, 8_000), part(affinity_key * 1_000 + 1, 300)])
}

struct Fixture {
    candidates: Vec<Candidate>,
    cached: CachedParts,
    can_fetch: bool,
}

impl Fixture {
    fn new(count: u64) -> Self {
        let candidate = |number| Candidate {
            upstream: NameHash(number * 7_919 + 1),
            load: 4.0,
            failure_rate: 0.0,
            takes_work: true,
            is_warming: false,
            counts_in_mean: true,
            distance: Distance::Local,
            work: Some(IDLE),
        };
        let cached = CachedParts::new(Duration::from_secs(60));
        Self { candidates: (0..count).map(candidate).collect(), cached, can_fetch: true }
    }

    fn choose(&self, prompt: &Prompt, tie_breaker: u64) -> Choice {
        let query = CostQuery {
            prompt: Some(prompt),
            can_fetch: self.can_fetch,
            tie_breaker,
            locality: None,
            key_requests: 0.0,
        };
        choose(&CostModel::default(), &query, &self.candidates, &self.cached, NOW).unwrap()
    }

    fn set_work(&mut self, index: usize, work: CandidateWork) {
        self.candidates[index].work = Some(work);
    }
}

/// Idle upstreams at the usual pace must have the homes that they have without work estimates: routers of
/// both kinds run side by side during an upgrade.
#[test]
fn homes_of_idle_upstreams_do_not_depend_on_work_estimates() {
    let with_work = Fixture::new(12);
    let mut without = Fixture::new(12);
    without.candidates.iter_mut().for_each(|candidate| candidate.work = None);
    for key in 100..400 {
        let prompt = prompt(key);
        assert_eq!(with_work.choose(&prompt, key).candidate, without.choose(&prompt, key).candidate);
    }
}

/// Guards against requests of one key that several routers send at the same time, with different tie
/// breakers, to different upstreams, each of which would process the prompt.
#[test]
fn routers_agree_on_the_home_when_the_first_is_busy() {
    let mut fixture = Fixture::new(60);
    for key in 100..200 {
        let prompt = prompt(key);
        let first = fixture.choose(&prompt, 1).candidate;
        fixture.set_work(first, CandidateWork { pending_tokens: MANY_TOKENS, ..IDLE });
        let second = fixture.choose(&prompt, 1);
        assert_ne!(second.candidate, first);
        assert_eq!(second.reason, ChoiceReason::Home);
        assert!(
            (2..20).all(|tie_breaker| fixture.choose(&prompt, tie_breaker).candidate == second.candidate)
        );
        fixture.set_work(first, IDLE);
    }
}

/// Guards against a busy pool that passes all of its homes over and then spreads requests at random.
#[test]
fn first_home_is_used_when_the_next_ones_are_busy_too() {
    let mut fixture = Fixture::new(60);
    let prompt = prompt(100);
    let first = fixture.choose(&prompt, 1).candidate;
    for index in 0..60 {
        fixture.set_work(index, CandidateWork { pending_tokens: MANY_TOKENS, ..IDLE });
    }
    let choice = fixture.choose(&prompt, 2);
    assert_eq!((choice.candidate, choice.reason), (first, ChoiceReason::Home));
}

/// Requests that cannot go to a home at the load limit must not be spread over the pool, where each
/// upstream would process the prompt.
#[test]
fn routers_agree_on_the_next_home_when_the_first_is_at_the_load_limit() {
    let mut fixture = Fixture::new(60);
    let prompt = prompt(100);
    let first = fixture.choose(&prompt, 1).candidate;
    fixture.candidates[first].load = 40.0;
    let second = fixture.choose(&prompt, 1).candidate;
    assert_ne!(second, first);
    assert!((2..20).all(|tie_breaker| fixture.choose(&prompt, tie_breaker).candidate == second));
}

/// A copy is expected from when its request is sent. Guards against a fetch from an upstream that is still
/// processing the prompt, after which it would be processed twice.
#[test]
fn prompt_is_not_fetched_from_an_upstream_that_is_processing_it() {
    let mut fixture = Fixture::new(60);
    let prompt = prompt(100);
    let home = fixture.choose(&prompt, 1).candidate;
    let other = (home + 1) % 60;
    fixture.cached.record_prompt(fixture.candidates[other].upstream, &prompt, NOW);
    assert_eq!(fixture.choose(&prompt, 2).fetch_source, Some(other));
    fixture.set_work(other, CandidateWork { pending_tokens: 10_500.0, ..IDLE });
    let choice = fixture.choose(&prompt, 2);
    assert_eq!((choice.candidate, choice.fetch_source), (other, None), "it waits for the copy");
}

/// Guards against a second reading of a prompt while its only copy is at a busy upstream.
#[test]
fn cached_prompt_is_not_processed_again_while_its_home_is_busy() {
    let mut fixture = Fixture::new(60);
    fixture.can_fetch = false;
    let prompt = prompt(100);
    let home = fixture.choose(&prompt, 1).candidate;
    fixture.cached.record_prompt(fixture.candidates[home].upstream, &prompt, NOW);
    fixture.set_work(home, CandidateWork { pending_tokens: 34_000.0, ..IDLE });
    assert_eq!(fixture.choose(&prompt, 2).candidate, home);
}

#[test]
fn long_uncached_prompt_avoids_slow_and_busy_upstreams() {
    let mut fixture = Fixture::new(12);
    let prompt = prompt(100);
    let home = fixture.choose(&prompt, 1).candidate;
    fixture.set_work(home, CandidateWork { pace: 2.5, ..IDLE });
    assert_ne!(fixture.choose(&prompt, 1).candidate, home, "slow at present");
    fixture.set_work(home, CandidateWork { running: 40.0, ..IDLE });
    assert_ne!(fixture.choose(&prompt, 1).candidate, home, "40 running requests would be delayed");
}

/// The limit on load applies whatever the work: guards against a pool whose requests concentrate on
/// upstreams without prompts to process.
#[test]
fn load_limit_holds_with_work_estimates() {
    let mut fixture = Fixture::new(12);
    for index in 0..12 {
        fixture.set_work(index, CandidateWork { pending_tokens: MANY_TOKENS, running: 4.0, ..IDLE });
    }
    fixture.candidates[3].load = 20.0;
    fixture.set_work(3, IDLE);
    for key in 100..160 {
        assert_ne!(fixture.choose(&prompt(key), key).candidate, 3);
    }
}

/// Guards against herding of routers that have the same stale reports.
#[test]
fn equal_requests_without_prompt_are_spread() {
    let mut fixture = Fixture::new(60);
    for index in 0..60 {
        let pending_tokens = if index % 2 == 0 { 0.0 } else { 500.0 };
        fixture.set_work(index, CandidateWork { pending_tokens, running: 4.0, ..IDLE });
    }
    let mut counts = [0; 60];
    for tie_breaker in 0..600 {
        let query =
            CostQuery { prompt: None, can_fetch: true, tie_breaker, locality: None, key_requests: 0.0 };
        let choice = choose(&CostModel::default(), &query, &fixture.candidates, &fixture.cached, NOW);
        counts[choice.unwrap().candidate] += 1;
    }
    let most = counts.iter().max().unwrap();
    assert!(*most <= 40, "{most} of 600 requests on one of 30 equal upstreams");
}
