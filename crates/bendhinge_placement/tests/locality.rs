//! Tests of the preference for the router's own data centre.

#![expect(clippy::float_cmp, reason = "shares of exactly 0 and 1 are published as such")]

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedParts, Candidate, Choice, ChoiceReason, CostModel, CostQuery, Distance, LocalUpstream, Locality,
    LocalityState, PartId, Prompt, PromptPart, choose,
};

const NOW: Instant = Instant::from_millis(100_000);
const CACHE_TTL: Duration = Duration::from_secs(60);
const DATA_CENTRES: usize = 3;

/// A pool of equal upstreams in three data centres, as seen by routers of each.
struct Pool {
    candidates: Vec<Candidate>,
    cached: CachedParts,
    can_fetch: bool,
}

impl Pool {
    fn new(count: u64) -> Self {
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
        Self {
            candidates: (0..count).map(candidate).collect(),
            cached: CachedParts::new(CACHE_TTL),
            can_fetch: true,
        }
    }

    fn set_accepting(&mut self, data_centre: usize, takes_work: bool) {
        for (index, candidate) in self.candidates.iter_mut().enumerate() {
            if data_centre_of(index) == data_centre {
                candidate.takes_work = takes_work;
            }
        }
    }

    /// Returns the choice of a router in `data_centre`.
    fn choose(&self, data_centre: usize, prompt: Option<&Prompt>, spill: f32, tie_breaker: u64) -> Choice {
        let candidates = self.seen_from(data_centre);
        let locality = Some(Locality { spill });
        let query = CostQuery { prompt, can_fetch: self.can_fetch, tie_breaker, locality, key_requests: 0.0 };
        choose(&CostModel::default(), &query, &candidates, &self.cached, NOW).unwrap()
    }

    fn seen_from(&self, data_centre: usize) -> Vec<Candidate> {
        let candidates = self.candidates.iter().enumerate();
        let with_distance = candidates.map(|(index, candidate)| {
            let is_local = data_centre_of(index) == data_centre;
            Candidate { distance: if is_local { Distance::Local } else { Distance::Remote }, ..*candidate }
        });
        with_distance.collect()
    }

    fn chosen(&self, data_centre: usize, prompt: &Prompt) -> usize {
        self.choose(data_centre, Some(prompt), 0.0, 5).candidate
    }

    /// Records that the common home of a new prompt has processed it, and returns that home.
    fn process_at_common_home(&mut self, prompt: &Prompt) -> usize {
        let home = self.chosen(0, prompt);
        self.record_prompt(home, prompt);
        home
    }

    fn record_prompt(&mut self, index: usize, prompt: &Prompt) {
        self.cached.record_prompt(self.candidates[index].upstream, prompt, NOW);
    }
}

const fn data_centre_of(index: usize) -> usize {
    index % DATA_CENTRES
}

fn prompt(key: u64, shared_tokens: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id: PartId(id), tokens };
    Prompt::new(vec![part(key, shared_tokens), part(key * 1_000 + 1, 500)])
}

/// A prompt with a home in each data centre, if upstreams can fetch.
fn short_prompt(key: u64) -> Prompt {
    prompt(key, CostModel::default().max_local_tokens(true))
}

/// Returns a short prompt whose common home, where the pool has it cached, is outside the first data centre, and that
/// home.
fn prompt_cached_elsewhere(pool: &mut Pool) -> (Prompt, usize) {
    let prompts = (1..).map(short_prompt);
    let prompt = prompts.into_iter().find(|prompt| data_centre_of(pool.chosen(0, prompt)) != 0).unwrap();
    let home = pool.process_at_common_home(&prompt);
    (prompt, home)
}

/// Guards against a change of choices in deployments without the preference.
#[test]
fn distance_has_no_effect_without_a_preference() {
    arbtest(|random| {
        let mut pool = Pool::new(30);
        pool.can_fetch = random.arbitrary()?;
        let prompt = prompt(random.int_in_range(1..=1_000)?, random.int_in_range(0..=40_000)?);
        for candidate in &mut pool.candidates {
            candidate.load = f32::from(random.int_in_range(0..=20_u8)?);
        }
        let cached_at = random.int_in_range(0..=29_usize)?;
        pool.record_prompt(cached_at, &prompt);
        let query = CostQuery {
            prompt: Some(&prompt),
            can_fetch: pool.can_fetch,
            tie_breaker: 3,
            locality: None,
            key_requests: 0.0,
        };
        let choice =
            |candidates: &[Candidate]| choose(&CostModel::default(), &query, candidates, &pool.cached, NOW);
        assert_eq!(choice(&pool.candidates), choice(&pool.seen_from(1)));
        Ok(())
    });
}

#[test]
fn short_prompts_have_a_home_in_each_data_centre() {
    let mut pool = Pool::new(30);
    for key in 1..200 {
        let prompt = short_prompt(key);
        pool.process_at_common_home(&prompt);
        for data_centre in 0..DATA_CENTRES {
            let choice = pool.choose(data_centre, Some(&prompt), 0.0, key);
            assert_eq!(data_centre_of(choice.candidate), data_centre);
            assert_eq!(choice.reason, ChoiceReason::Home);
        }
    }
}

/// Otherwise, each data centre would process the prompts that all of them request after a start.
#[test]
fn new_prompts_have_one_home_if_they_can_be_fetched_from_there() {
    let pool = Pool::new(30);
    for key in 1..200 {
        let homes = [0, 1, 2].map(|data_centre| pool.chosen(data_centre, &short_prompt(key)));
        assert_eq!(homes, [homes[0]; DATA_CENTRES]);
    }
}

/// With a home for each data centre, each would process or copy a long prompt, at a higher cost than what crosses.
#[test]
fn long_prompts_have_one_home() {
    let model = CostModel::default();
    for (can_fetch, max_tokens) in
        [(true, model.max_local_tokens(true)), (false, model.max_local_tokens(false))]
    {
        let mut pool = Pool { can_fetch, ..Pool::new(30) };
        for key in 1..200 {
            let (long, short) = (prompt(key, max_tokens + 1), prompt(key, max_tokens));
            let common = pool.process_at_common_home(&long);
            let homes = |prompt| [0, 1, 2].map(|data_centre| pool.chosen(data_centre, prompt));
            assert_eq!(homes(&long), [common; DATA_CENTRES]);
            let local = homes(&short);
            assert!(local.contains(&common), "the common home is one of the local homes");
            assert_eq!(local.map(data_centre_of), [0, 1, 2]);
        }
    }
}

#[test]
fn spilling_keys_are_the_same_for_all_requests_and_follow_the_share() {
    let mut pool = Pool::new(30);
    (1..=1_000).for_each(|key| _ = pool.process_at_common_home(&short_prompt(key)));
    let crosses = |key, spill, tie_breaker| {
        let choice = pool.choose(0, Some(&short_prompt(key)), spill, tie_breaker);
        data_centre_of(choice.candidate) != 0
    };
    for (spill, expected) in [(0.0, 0..=0), (0.3, 250..=350), (1.0, 1_000..=1_000)] {
        let crossing = (1..=1_000).filter(|key| crosses(*key, spill, 1)).count();
        assert!(expected.contains(&crossing), "{crossing} of 1,000 keys at a share of {spill}");
    }
    for key in 1..=1_000 {
        assert_eq!(crosses(key, 0.3, 1), crosses(key, 0.3, 2));
        assert!(crosses(key, 0.35, 1) >= crosses(key, 0.3, 1), "a growing share brings no key back");
    }
}

#[test]
fn requests_without_a_prompt_follow_the_share() {
    let pool = Pool::new(30);
    let crosses = |tie_breaker: &u64| data_centre_of(pool.choose(0, None, 0.3, *tie_breaker).candidate) != 0;
    let crossing = (0..1_000).filter(crosses).count();
    assert!((250..=350).contains(&crossing), "{crossing} of 1,000");
}

/// A spilled prompt is already cached at the home that its own data centre gives it.
#[test]
fn spilled_prompts_go_to_a_local_home_of_another_data_centre() {
    let mut pool = Pool::new(30);
    for key in 1..200 {
        let prompt = short_prompt(key);
        pool.process_at_common_home(&prompt);
        let spilled = pool.choose(0, Some(&prompt), 1.0, key).candidate;
        assert!([pool.chosen(1, &prompt), pool.chosen(2, &prompt)].contains(&spilled));
    }
}

#[test]
fn local_home_fetches_from_another_data_centre_once() {
    let mut pool = Pool::new(30);
    let (prompt, remote_home) = prompt_cached_elsewhere(&mut pool);
    let first = pool.choose(0, Some(&prompt), 0.0, 5);
    assert_eq!((data_centre_of(first.candidate), first.fetch_source), (0, Some(remote_home)));
    pool.record_prompt(first.candidate, &prompt);
    for data_centre in [0, data_centre_of(remote_home)] {
        let next = pool.choose(data_centre, Some(&prompt), 0.0, 5);
        assert_eq!((data_centre_of(next.candidate), next.fetch_source), (data_centre, None));
    }
}

/// Without fetches, cached parts must not attract the requests of another data centre for good.
#[test]
fn local_home_reads_a_short_prompt_that_is_cached_elsewhere() {
    let mut pool = Pool { can_fetch: false, ..Pool::new(30) };
    let prompt = prompt(7, CostModel::default().max_local_tokens(false));
    pool.record_prompt(pool.chosen(1, &prompt), &prompt);
    let choice = pool.choose(0, Some(&prompt), 0.0, 5);
    assert_eq!((data_centre_of(choice.candidate), choice.reason), (0, ChoiceReason::Home));
}

/// Guards against fetch loops: however data centres and shares take turns, each prompt is copied at most to its home
/// in each data centre and to its common home.
#[test]
fn prompts_are_not_fetched_back_and_forth() {
    arbtest(|random| {
        let mut pool = Pool::new(30);
        let prompt = prompt(random.int_in_range(1..=1_000)?, random.int_in_range(500..=40_000)?);
        let mut fetches = 0;
        for request in 0..60 {
            let spill = f32::from(random.int_in_range(0..=10_u8)?) / 10.0;
            let choice = pool.choose(random.int_in_range(0..=2_usize)?, Some(&prompt), spill, request);
            fetches += usize::from(choice.fetch_source.is_some());
            pool.record_prompt(choice.candidate, &prompt);
        }
        assert!(fetches < DATA_CENTRES, "{fetches} fetches");
        Ok(())
    });
}

#[test]
fn local_fetch_sources_are_preferred() {
    let mut pool = Pool::new(30);
    let (prompt, _) = prompt_cached_elsewhere(&mut pool);
    let home = pool.chosen(0, &prompt);
    let local = (home + DATA_CENTRES) % 30;
    pool.record_prompt(local, &prompt);
    for tie_breaker in 0..20 {
        let choice = pool.choose(0, Some(&prompt), 0.0, tie_breaker);
        assert_eq!((choice.candidate, choice.fetch_source), (home, Some(local)));
    }
}

/// While the home is busy, most requests go to a cached copy elsewhere, but a popular prompt gets a local copy.
#[test]
fn copies_away_from_the_home_are_rare() {
    // One request in five at the longest prompt with local homes, and three standard deviations.
    const MAX_COPYING_REQUESTS: usize = 238;
    let mut pool = Pool::new(30);
    let (prompt, _) = prompt_cached_elsewhere(&mut pool);
    let home = pool.chosen(0, &prompt);
    pool.record_prompt(home, &prompt);
    pool.candidates[home].load = 30.0;
    let is_local =
        |tie_breaker: &u64| data_centre_of(pool.choose(0, Some(&prompt), 0.0, *tie_breaker).candidate) == 0;
    let copying = (0..1_000).filter(is_local).count();
    assert!((1..MAX_COPYING_REQUESTS).contains(&copying), "{copying} of 1,000 requests make a copy");
}

#[test]
fn busy_data_centre_spills_over_before_the_share_follows() {
    let mut pool = Pool::new(30);
    for (index, candidate) in pool.candidates.iter_mut().enumerate() {
        candidate.load = if data_centre_of(index) == 0 { 30.0 } else { 2.0 };
    }
    for key in 1..100 {
        pool.process_at_common_home(&short_prompt(key));
        assert_ne!(data_centre_of(pool.chosen(0, &short_prompt(key))), 0);
    }
    assert_ne!(data_centre_of(pool.choose(0, None, 0.0, 5).candidate), 0);
}

/// Guards the load limit: the preference must not choose an upstream at the limit while another is below it.
#[test]
fn preference_respects_the_load_limit() {
    arbtest(|random| {
        let mut pool = Pool::new(30);
        pool.can_fetch = random.arbitrary()?;
        for candidate in &mut pool.candidates {
            candidate.load = f32::from(random.int_in_range(0..=40_u8)?);
            candidate.takes_work = random.ratio(1, 2_u8)?;
        }
        pool.candidates[0].takes_work = true;
        let prompt = prompt(random.int_in_range(1..=1_000)?, random.int_in_range(0..=20_000)?);
        pool.record_prompt(random.int_in_range(0..=29_usize)?, &prompt);
        let spill = f32::from(random.int_in_range(0..=10_u8)?) / 10.0;
        let choice = pool.choose(random.int_in_range(0..=2_usize)?, Some(&prompt), spill, 5);
        let model = CostModel::default();
        let limit = model.load_bound_factor * choice.mean_load + model.load_bound_slack;
        let is_below = |candidate: &Candidate| candidate.takes_work && candidate.load < limit;
        let chosen = &pool.candidates[choice.candidate];
        assert!(chosen.takes_work && (is_below(chosen) || !pool.candidates.iter().any(is_below)));
        Ok(())
    });
}

#[test]
fn drained_or_lost_data_centre_gets_nothing_at_once() {
    let mut pool = Pool::new(30);
    pool.set_accepting(0, false);
    for key in 1..100 {
        let prompt = short_prompt(key);
        pool.process_at_common_home(&prompt);
        let home = pool.chosen(0, &prompt);
        assert_ne!(data_centre_of(home), 0);
        assert!([pool.chosen(1, &prompt), pool.chosen(2, &prompt)].contains(&home));
    }
    pool.candidates.retain(|candidate| candidate.takes_work);
    assert_eq!(pool.choose(0, None, 0.0, 5).reason, ChoiceReason::LeastCost);
}

/// A router that is partitioned off with its data centre sees all others fail.
#[test]
fn partitioned_data_centre_serves_itself_whatever_the_share() {
    let mut pool = Pool::new(30);
    pool.set_accepting(1, false);
    pool.set_accepting(2, false);
    for key in 1..100 {
        pool.process_at_common_home(&short_prompt(key));
        let choice = pool.choose(0, Some(&short_prompt(key)), 1.0, key);
        assert_eq!(data_centre_of(choice.candidate), 0);
    }
}

/// Failing upstreams may still accept requests until they are ejected.
#[test]
fn failing_local_upstreams_are_not_preferred() {
    let mut pool = Pool::new(30);
    for (index, candidate) in pool.candidates.iter_mut().enumerate() {
        candidate.failure_rate = if data_centre_of(index) == 0 { 0.9 } else { 0.0 };
    }
    for key in 1..100 {
        let choice = pool.choose(0, None, 0.0, key);
        assert_ne!(data_centre_of(choice.candidate), 0);
    }
}

#[test]
fn small_side_of_a_large_pool_has_homes() {
    const LOCAL: usize = 3;
    let mut pool = Pool::new(3_000);
    let prompt = short_prompt(7);
    pool.process_at_common_home(&prompt);
    let mut candidates = pool.seen_from(0);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.distance = if index < LOCAL { Distance::Local } else { Distance::Remote };
    }
    let query = CostQuery {
        prompt: Some(&prompt),
        can_fetch: true,
        tie_breaker: 5,
        locality: Some(Locality { spill: 0.0 }),
        key_requests: 0.0,
    };
    let choice = choose(&CostModel::default(), &query, &candidates, &pool.cached, NOW).unwrap();
    assert!(choice.candidate < LOCAL);
    assert_eq!(choice.reason, ChoiceReason::Home);
}

/// A shorter list must not change most homes, since routers hold different lists for seconds.
#[test]
fn routers_with_different_lists_mostly_agree_on_homes() {
    let (mut full, mut partial) = (Pool::new(30), Pool::new(30));
    partial.candidates.truncate(27);
    for key in 1..=300 {
        let home = full.process_at_common_home(&short_prompt(key));
        partial.cached.record_prompt(full.candidates[home].upstream, &short_prompt(key), NOW);
    }
    let differing =
        (1..=300).filter(|key| full.chosen(0, &short_prompt(*key)) != partial.chosen(0, &short_prompt(*key)));
    let differing = differing.count();
    assert!(differing < 60, "{differing} of 300 homes differ");
}

#[test]
fn implausible_shares_are_harmless() {
    let mut pool = Pool::new(30);
    pool.process_at_common_home(&short_prompt(7));
    for (spill, is_local) in [(f32::NAN, true), (-1.0, true), (f32::INFINITY, false), (2.0, false)] {
        let choice = pool.choose(0, Some(&short_prompt(7)), spill, 5);
        assert_eq!(data_centre_of(choice.candidate) == 0, is_local, "share {spill}");
    }
}

const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

fn upstreams(local_load: f32, remote_load: f32, slots: Option<u32>) -> Vec<LocalUpstream> {
    let upstream = |load, distance| LocalUpstream { load, slots, distance, takes_work: true };
    let mut upstreams = vec![upstream(local_load, Distance::Local); 10];
    upstreams.extend(vec![upstream(remote_load, Distance::Remote); 20]);
    upstreams
}

/// Returns the share after a minute of constant loads.
fn share_at(upstreams: &[LocalUpstream]) -> f32 {
    let mut state = LocalityState::default();
    let mut now = NOW;
    for _ in 0..300 {
        state.update(upstreams, now);
        now = now + UPDATE_INTERVAL;
    }
    state.spill()
}

#[test]
fn nothing_spills_at_even_or_low_load() {
    assert_eq!(LocalityState::default().spill(), 0.0, "no information yet");
    for (local, remote) in [(8.0, 8.0), (10.0, 8.0), (2.0, 0.0), (0.0, 0.0), (2.0, 9.0)] {
        for slots in [None, Some(24)] {
            assert_eq!(share_at(&upstreams(local, remote, slots)), 0.0, "{local} and {remote}");
        }
    }
    assert_eq!(share_at(&[]), 0.0);
}

#[test]
fn share_grows_with_the_local_load() {
    let shares = [10.0, 20.0, 25.0, 30.0].map(|load| share_at(&upstreams(load, 10.0, None)));
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[0] < 0.01 && shares[3] > 0.3, "{shares:?}");
}

/// Below the limit relative to the mean, slots that are nearly all in use make requests spill over, but only if other
/// data centres have more room.
#[test]
fn full_slots_spill_over_to_free_ones() {
    assert!(share_at(&upstreams(10.0, 8.0, Some(10))) > 0.2);
    assert_eq!(share_at(&upstreams(10.0, 10.0, Some(10))), 0.0);
    assert_eq!(share_at(&upstreams(10.0, 8.0, None)), 0.0);
}

#[test]
fn share_is_one_without_local_and_zero_without_remote_upstreams() {
    let mut state = LocalityState::default();
    let mut upstreams = upstreams(8.0, 8.0, None);
    state.update(&upstreams, NOW);
    upstreams[..10].iter_mut().for_each(|local| local.takes_work = false);
    state.update(&upstreams, NOW + UPDATE_INTERVAL);
    assert_eq!(state.spill(), 1.0, "drained");
    upstreams[..10].iter_mut().for_each(|local| local.takes_work = true);
    state.update(&upstreams, NOW + UPDATE_INTERVAL * 2);
    assert!(state.spill() > 0.5, "traffic returns gradually");
    state.update(&upstreams, NOW + UPDATE_INTERVAL * 200);
    assert_eq!(state.spill(), 0.0);
    upstreams[10..].iter_mut().for_each(|remote| remote.takes_work = false);
    upstreams[..10].iter_mut().for_each(|local| local.load = 50.0);
    state.update(&upstreams, NOW + UPDATE_INTERVAL * 201);
    assert_eq!(state.spill(), 0.0, "partitioned off");
}

/// With one of three data centres drained, the others have half as many requests again; they must not exchange them.
#[test]
fn drained_upstreams_elsewhere_cause_no_spillover() {
    let mut upstreams = upstreams(12.0, 12.0, Some(24));
    upstreams[10..20].iter_mut().for_each(|drained| {
        drained.takes_work = false;
        drained.load = 0.0;
    });
    assert_eq!(share_at(&upstreams), 0.0);
}

/// Routers that disagree send the same key to both sides, which doubles its copies.
#[test]
fn routers_agree_after_a_start_a_pause_and_with_different_lists() {
    let full = upstreams(25.0, 10.0, Some(48));
    let (mut running, mut resumed, mut started) =
        (LocalityState::default(), LocalityState::default(), LocalityState::default());
    resumed.update(&upstreams(8.0, 8.0, Some(48)), NOW);
    for step in 0..300 {
        running.update(&full, NOW + UPDATE_INTERVAL * step);
    }
    let now = NOW + UPDATE_INTERVAL * 300;
    let partial: Vec<LocalUpstream> = full[1..29].to_vec();
    started.update(&partial, now);
    resumed.update(&full, now);
    for other in [&started, &resumed] {
        assert!((running.spill() - other.spill()).abs() < 0.08, "{} and {}", running.spill(), other.spill());
    }
}

#[test]
fn invalid_loads_and_slots_are_ignored() {
    arbtest(|random| {
        let mut upstreams = upstreams(8.0, 8.0, Some(24));
        for upstream in &mut upstreams {
            if random.ratio(1, 4_u8)? {
                upstream.load = f32::from_bits(random.arbitrary()?);
                upstream.slots = random.arbitrary()?;
            }
        }
        let mut state = LocalityState::default();
        for step in 0..5 {
            state.update(&upstreams, NOW + UPDATE_INTERVAL * step);
            assert!((0.0..=1.0).contains(&state.spill()));
        }
        Ok(())
    });
    let mut upstreams = upstreams(8.0, 8.0, Some(24));
    upstreams[0].load = f32::INFINITY;
    upstreams[1].slots = Some(0);
    upstreams[2].slots = Some(u32::MAX);
    upstreams[3].load = -1e30;
    assert_eq!(share_at(&upstreams), 0.0);
}

/// Data centres whose demand differs, with loads that follow the shares by the duration of a request and reports of
/// a given age.
struct Loop {
    demand: Vec<f32>,
    duration_s: f32,
    report_age_steps: usize,
    loads: Vec<f32>,
    reported: VecDeque<Vec<f32>>,
    states: Vec<LocalityState>,
    drained: Option<usize>,
    now: Instant,
}

impl Loop {
    /// Upstreams of each data centre.
    const UPSTREAMS: usize = 40;

    fn new(demand: Vec<f32>, duration_s: f32, report_age_steps: usize) -> Self {
        let loads = demand.iter().map(|demand| demand * duration_s).collect();
        let states = demand.iter().map(|_| LocalityState::default()).collect();
        Self {
            demand,
            duration_s,
            report_age_steps,
            loads,
            reported: VecDeque::new(),
            states,
            drained: None,
            now: NOW,
        }
    }

    /// Advances by `steps` and returns the shares of the first data centre.
    fn run(&mut self, steps: usize) -> Vec<f32> {
        (0..steps).map(|_| self.step()).collect()
    }

    fn step(&mut self) -> f32 {
        self.reported.push_back(self.loads.clone());
        if self.reported.len() > self.report_age_steps {
            self.reported.pop_front();
        }
        let reported = self.reported[0].clone();
        for (own, state) in self.states.iter_mut().enumerate() {
            let upstream = |data_centre: usize| LocalUpstream {
                load: reported[data_centre] / Self::UPSTREAMS as f32,
                slots: None,
                distance: if data_centre == own { Distance::Local } else { Distance::Remote },
                takes_work: self.drained != Some(data_centre),
            };
            let upstreams: Vec<_> =
                (0..reported.len()).flat_map(|index| vec![upstream(index); Self::UPSTREAMS]).collect();
            state.update(&upstreams, self.now);
        }
        self.now = self.now + UPDATE_INTERVAL;
        self.apply_shares();
        self.states[0].spill()
    }

    /// Spilled requests are spread over the other data centres that accept them.
    fn apply_shares(&mut self) {
        let accepting: Vec<usize> =
            (0..self.demand.len()).filter(|index| self.drained != Some(*index)).collect();
        let mut arriving = vec![0.0; self.demand.len()];
        for (own, (demand, state)) in self.demand.iter().zip(&self.states).enumerate() {
            let spilled = demand * state.spill();
            arriving[own] += demand - spilled;
            let others = accepting.iter().filter(|index| **index != own);
            let count = others.clone().count() as f32;
            others.for_each(|other| arriving[*other] += spilled / count);
        }
        for (load, arriving) in self.loads.iter_mut().zip(arriving) {
            *load += (arriving - *load / self.duration_s) * UPDATE_INTERVAL.as_secs_f32();
        }
    }

    fn shares(&self) -> Vec<f32> {
        self.states.iter().map(LocalityState::spill).collect()
    }
}

/// Guards against oscillation, which would move the same keys to and fro and fetch their prompts each time.
#[test]
fn share_settles_at_five_times_the_demand_and_returns() {
    for data_centres in [2, 3, 5] {
        for duration_s in [0.5, 1.2, 4.0, 12.0] {
            for report_age_steps in [1, 3, 5] {
                let usual = vec![300.0; data_centres];
                let mut burst = usual.clone();
                burst[0] *= 5.0;
                let mut control = Loop::new(usual.clone(), duration_s, report_age_steps);
                assert!(control.run(50).iter().all(|share| *share == 0.0));
                control.demand = burst;
                let shares = control.run(300);
                let settled = &shares[200..];
                let highest = settled.iter().copied().fold(0.0, f32::max);
                let lowest = settled.iter().copied().fold(1.0, f32::min);
                let case = format!("{data_centres} data centres, {duration_s} s, {report_age_steps} steps");
                assert!(lowest > 0.05 && highest - lowest < 0.1, "{case}: {lowest} to {highest}");
                let mean = control.loads.iter().sum::<f32>() / data_centres as f32;
                let limit = 1.5 * mean + 2.0 * Loop::UPSTREAMS as f32;
                assert!(control.loads[0] < 0.95 * limit, "{case}: {} of {limit}", control.loads[0]);
                control.demand = usual;
                assert_eq!(control.run(500).last(), Some(&0.0), "{case}");
            }
        }
    }
}

/// The data centre with the burst, or one that takes its excess, may be drained meanwhile.
#[test]
fn share_settles_when_a_data_centre_is_drained_during_a_burst() {
    for drained in [0, 1] {
        let mut control = Loop::new(vec![300.0; 3], 1.2, 3);
        control.run(50);
        control.demand[0] *= 5.0;
        control.run(100);
        control.drained = Some(drained);
        control.run(1);
        assert_eq!(control.shares()[drained], 1.0);
        control.run(200);
        let before = control.shares();
        control.run(50);
        for (before, after) in before.iter().zip(control.shares()) {
            assert!((before - after).abs() < 0.1, "{drained} drained: {before} and {after}");
        }
        assert_eq!(control.shares()[2], 0.0, "the least loaded one exchanges no requests");
        control.drained = None;
        control.demand[0] /= 5.0;
        control.run(500);
        assert_eq!(control.shares(), [0.0; 3]);
    }
}
