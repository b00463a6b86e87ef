//! Comparison of ways to prefer the own data centre, in virtual time.
//!
//! Several routers in each of three data centres choose among 140 engines. Demand differs between data centres,
//! then becomes five times as high in the first one, then the first one is drained. Routers know the loads as of
//! half a second ago and their own sends since. Durations do not depend on the load, and caches evict nothing.
//!
//! The test plays one seed. `BENDHINGE_LOCALITY_SEEDS=1,2,3 cargo test --release -p bendhinge_placement --test
//! locality_model -- --nocapture` prints the table of `docs/design/LOCALITY.md`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedParts, Candidate, Choice, CostModel, CostQuery, Distance, LocalUpstream, Locality, LocalityState,
    PartId, Prompt, PromptPart, choose,
};

const DATA_CENTRES: usize = 3;
const ROUTERS_PER_DATA_CENTRE: usize = 4;
const ENGINES: [usize; DATA_CENTRES] = [47, 47, 46];
const SLOTS: u32 = 24;
const DEMAND_PER_SECOND: [f32; DATA_CENTRES] = [348.0, 301.0, 246.0];
const BURST_FACTOR: f32 = 5.0;
/// The data centre that has the burst and is drained later.
const AFFECTED: usize = 0;
const MEAN_DURATION_MS: f32 = 1_200.0;
const STEP_MS: u64 = 10;
const REPORT_AGE_STEPS: usize = 50;
const SHARE_UPDATE_STEPS: u64 = 20;
const CACHE_TTL: Duration = Duration::from_secs(600);
const KEYS: u64 = 400;
/// Tokens of the first shared part, which an eighth of the keys have in common.
const PREFIX_TOKENS: u32 = 1_000;
/// Tokens of the second shared part, by key. The prompts are short enough for local homes with and without
/// fetches, with fetches only (three), and in neither case.
const OWN_TOKENS: [u32; 5] = [500, 3_000, 6_000, 9_000, 19_000];
/// Cost of a remote engine in [`Way::Penalty`]: ten requests in progress.
const PENALTY_TOKENS: f32 = 600.0;

/// The phases: name and end, in milliseconds.
const PHASES: [(&str, u64); 5] =
    [("start", 5_000), ("usual", 10_000), ("burst", 22_000), ("after", 30_000), ("drained", 38_000)];
const USUAL: usize = 1;
const BURST: usize = 2;
const DRAINED: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Way {
    /// Data centres do not matter.
    None,
    /// Local upstreams within the load limit come first.
    Local,
    /// As `Local`, with the spillover share by affinity key.
    Share,
    /// As `Share`, but drawn for each request.
    Drawn,
    /// The lower cost of the local and the remote choice, the latter with a fixed penalty.
    Penalty,
}

const WAYS: [Way; 5] = [Way::None, Way::Local, Way::Share, Way::Drawn, Way::Penalty];

/// Limits at which most prompts of the model have local homes, so that the ways differ.
fn costs() -> CostModel {
    CostModel { crossings_per_copy: 60.0, ..CostModel::default() }
}

/// Figures of a phase.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    requests: f32,
    crossing: f32,
    /// Sum and number of samples of the highest load over the mean.
    over_mean: (f32, f32),
    read: f32,
    fetched: f32,
    side_changes: f32,
}

impl Figures {
    fn over_mean(&self) -> f32 {
        self.over_mean.0 / self.over_mean.1
    }

    fn add(&mut self, run: &Self, weight: f32) {
        self.requests += run.requests * weight;
        self.crossing += run.crossing * weight;
        self.over_mean.0 += run.over_mean.0;
        self.over_mean.1 += run.over_mean.1;
        self.read += run.read * weight;
        self.fetched += run.fetched * weight;
        self.side_changes += run.side_changes * weight;
    }
}

struct Router {
    data_centre: usize,
    own_since_report: VecDeque<(u64, usize)>,
    locality: LocalityState,
    cached: CachedParts,
}

struct Model {
    way: Way,
    can_fetch: bool,
    random_state: u64,
    engine_data_centres: Vec<usize>,
    loads: Vec<f32>,
    reported: VecDeque<Vec<f32>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    routers: Vec<Router>,
    /// What engines have cached, in truth.
    cached: CachedParts,
    /// Entries that routers learn after the age of a report: time, engine and key.
    cache_news: VecDeque<(u64, usize, u64)>,
    sides: HashMap<(usize, u64), bool>,
    figures: [Figures; PHASES.len()],
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive number")]
const fn whole(number: f32) -> u64 {
    number as u64
}

const fn upstream(engine: usize) -> NameHash {
    NameHash(engine as u64 * 7_919 + 1)
}

fn prompt(key: u64) -> Prompt {
    let own_tokens = OWN_TOKENS[usize::try_from(key).unwrap() % OWN_TOKENS.len()];
    let part = |id, tokens| PromptPart { id: PartId(id), tokens };
    Prompt::new(vec![
        part(key % 8 + 1, PREFIX_TOKENS),
        part(1_000 + key, own_tokens),
        part(1_000_000 + key, 200),
    ])
}

impl Model {
    fn new(way: Way, can_fetch: bool, seed: u64) -> Self {
        let engine_data_centres: Vec<usize> = ENGINES
            .iter()
            .enumerate()
            .flat_map(|(data_centre, count)| std::iter::repeat_n(data_centre, *count))
            .collect();
        let router = |number| Router {
            data_centre: number / ROUTERS_PER_DATA_CENTRE,
            own_since_report: VecDeque::new(),
            locality: LocalityState::default(),
            cached: CachedParts::new(CACHE_TTL),
        };
        Self {
            way,
            can_fetch,
            random_state: seed,
            loads: vec![0.0; engine_data_centres.len()],
            reported: VecDeque::new(),
            ends: BinaryHeap::new(),
            routers: (0..DATA_CENTRES * ROUTERS_PER_DATA_CENTRE).map(router).collect(),
            cached: CachedParts::new(CACHE_TTL),
            cache_news: VecDeque::new(),
            sides: HashMap::new(),
            figures: [Figures::default(); PHASES.len()],
            engine_data_centres,
        }
    }

    /// Returns a pseudo-random number (`SplitMix64`).
    fn random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a pseudo-random number below 1.
    fn unit(&mut self) -> f32 {
        (self.random() >> 40) as f32 / (1_u32 << 24) as f32
    }

    fn run(mut self) -> [Figures; PHASES.len()] {
        let mut phase = 0;
        for now in (0..PHASES[PHASES.len() - 1].1).step_by(usize::try_from(STEP_MS).unwrap()) {
            phase += usize::from(now >= PHASES[phase].1);
            self.step(now, phase);
        }
        self.figures
    }

    fn step(&mut self, now: u64, phase: usize) {
        while let Some(Reverse((end, engine))) = self.ends.peek().copied()
            && end <= now
        {
            self.ends.pop();
            self.loads[engine] -= 1.0;
        }
        self.reported.push_back(self.loads.clone());
        if self.reported.len() > REPORT_AGE_STEPS {
            self.reported.pop_front();
        }
        self.deliver_cache_news(now);
        let is_drained = phase == DRAINED;
        for router in 0..self.routers.len() {
            if (now / STEP_MS + router as u64).is_multiple_of(SHARE_UPDATE_STEPS) {
                self.update_share(router, is_drained, now);
            }
            let data_centre = self.routers[router].data_centre;
            let is_burst = phase == BURST && data_centre == AFFECTED;
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            let per_step = DEMAND_PER_SECOND[data_centre] * factor * STEP_MS as f32 / 1_000.0;
            let mut arrivals = per_step / ROUTERS_PER_DATA_CENTRE as f32 + self.unit();
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.request(router, is_drained, now, phase);
            }
        }
        self.record_skew(phase);
    }

    fn deliver_cache_news(&mut self, now: u64) {
        let is_due = |(sent, ..): &mut (u64, usize, u64)| *sent + REPORT_AGE_STEPS as u64 * STEP_MS <= now;
        while let Some((sent, engine, key)) = self.cache_news.pop_front_if(is_due) {
            for router in &mut self.routers {
                router.cached.record_prompt(upstream(engine), &prompt(key), Instant::from_millis(sent));
            }
        }
    }

    fn record_skew(&mut self, phase: usize) {
        let accepting = if phase == DRAINED { ENGINES[AFFECTED].. } else { 0.. };
        let loads = &self.loads[accepting];
        let mean = loads.iter().sum::<f32>() / loads.len() as f32;
        let over_mean = &mut self.figures[phase].over_mean;
        over_mean.0 += loads.iter().copied().fold(0.0, f32::max) / mean.max(1.0);
        over_mean.1 += 1.0;
    }

    fn candidates(&mut self, router: usize, is_drained: bool, now: u64) -> Vec<Candidate> {
        let own = &mut self.routers[router].own_since_report;
        while own.pop_front_if(|(sent, _)| *sent + REPORT_AGE_STEPS as u64 * STEP_MS <= now).is_some() {}
        let data_centre = self.routers[router].data_centre;
        let mut candidates: Vec<Candidate> = Vec::with_capacity(self.loads.len());
        for (engine, load) in self.reported[0].iter().enumerate() {
            let takes_work = !(is_drained && self.engine_data_centres[engine] == AFFECTED);
            let is_local = self.engine_data_centres[engine] == data_centre;
            candidates.push(Candidate {
                upstream: upstream(engine),
                load: *load,
                failure_rate: 0.0,
                takes_work,
                is_warming: false,
                counts_in_mean: true,
                distance: if is_local { Distance::Local } else { Distance::Remote },
                work: None,
            });
        }
        for (_, engine) in &self.routers[router].own_since_report {
            candidates[*engine].load += 1.0;
        }
        candidates
    }

    fn update_share(&mut self, router: usize, is_drained: bool, now: u64) {
        let candidates = self.candidates(router, is_drained, now);
        let upstream = |candidate: &Candidate| LocalUpstream {
            load: candidate.load,
            slots: Some(SLOTS),
            distance: candidate.distance,
            takes_work: candidate.takes_work,
        };
        let upstreams: Vec<LocalUpstream> = candidates.iter().map(upstream).collect();
        self.routers[router].locality.update(&upstreams, Instant::from_millis(now));
    }

    fn choose(
        &self,
        router: usize,
        prompt: &Prompt,
        candidates: &[Candidate],
        tie_breaker: u64,
        now: u64,
    ) -> Choice {
        let with_spill = |spill: Option<f32>| {
            let locality = spill.map(|spill| Locality { spill });
            let query = CostQuery {
                prompt: Some(prompt),
                can_fetch: self.can_fetch,
                tie_breaker,
                locality,
                key_requests: 0.0,
            };
            choose(&costs(), &query, candidates, &self.routers[router].cached, Instant::from_millis(now))
                .unwrap()
        };
        let spill = self.routers[router].locality.spill();
        match self.way {
            Way::None => with_spill(None),
            Way::Local => with_spill(Some(0.0)),
            Way::Share => with_spill(Some(spill)),
            Way::Drawn => {
                let is_spilled = (tie_breaker >> 40) as f32 / ((1_u32 << 24) as f32) < spill;
                with_spill(Some(if is_spilled { 1.0 } else { 0.0 }))
            }
            Way::Penalty => {
                let (local, remote) = (with_spill(Some(0.0)), with_spill(Some(1.0)));
                if remote.cost + PENALTY_TOKENS < local.cost { remote } else { local }
            }
        }
    }

    fn request(&mut self, router: usize, is_drained: bool, now: u64, phase: usize) {
        // The square of a uniform number makes a tenth of the keys a third of the demand.
        let unit = self.unit();
        let key = whole(unit * unit * KEYS as f32);
        let prompt = prompt(key);
        let tie_breaker = self.random();
        let candidates = self.candidates(router, is_drained, now);
        let choice = self.choose(router, &prompt, &candidates, tie_breaker, now);
        let engine = choice.candidate;
        let data_centre = self.routers[router].data_centre;
        let crosses = self.engine_data_centres[engine] != data_centre;
        let changes_side =
            self.sides.insert((data_centre, key), crosses).is_some_and(|before| before != crosses);
        let figures = &mut self.figures[phase];
        figures.requests += 1.0;
        figures.crossing += f32::from(u8::from(crosses));
        figures.side_changes += f32::from(u8::from(changes_side));
        let at = Instant::from_millis(now);
        let cached = self.cached.cached_tokens_by_upstream(&prompt, at);
        if cached.get(&upstream(engine)).is_none_or(|tokens| *tokens < prompt.shared_tokens()) {
            let count = if choice.fetch_source.is_some() { &mut figures.fetched } else { &mut figures.read };
            *count += 1.0;
        }
        self.cached.record_prompt(upstream(engine), &prompt, at);
        if !self.routers[router].cached.record_prompt(upstream(engine), &prompt, at).is_empty() {
            self.cache_news.push_back((now, engine, key));
        }
        self.loads[engine] += 1.0;
        self.routers[router].own_since_report.push_back((now, engine));
        let duration = -self.unit().max(1e-6).ln() * MEAN_DURATION_MS;
        self.ends.push(Reverse((now + whole(duration), engine)));
    }
}

fn seeds() -> Vec<u64> {
    let listed = std::env::var("BENDHINGE_LOCALITY_SEEDS").unwrap_or_else(|_| "1".to_owned());
    listed.split(',').map(|seed| seed.parse().expect("a list of numbers")).collect()
}

/// Returns the means over all seeds.
fn run_all(way: Way, can_fetch: bool) -> [Figures; PHASES.len()] {
    let mut means = [Figures::default(); PHASES.len()];
    let seeds = seeds();
    for seed in &seeds {
        for (mean, run) in means.iter_mut().zip(Model::new(way, can_fetch, *seed).run()) {
            mean.add(&run, 1.0 / seeds.len() as f32);
        }
    }
    means
}

/// Prints a row with the figures of all phases in each cell.
fn print_row(way: Way, can_fetch: bool, phases: &[Figures]) {
    let cell = |decimals: usize, figure: fn(&Figures) -> f32| {
        let figures: Vec<String> =
            phases.iter().map(|phase| format!("{:.decimals$}", figure(phase))).collect();
        figures.join(", ")
    };
    println!(
        "| {way:?} | {} | {} | {} | {} | {} | {} |",
        if can_fetch { "yes" } else { "no" },
        cell(2, |phase| phase.crossing / phase.requests),
        cell(2, Figures::over_mean),
        cell(0, |phase| phase.read),
        cell(0, |phase| phase.fetched),
        cell(0, |phase| phase.side_changes),
    );
}

fn compare(can_fetch: bool) -> Vec<[Figures; PHASES.len()]> {
    std::thread::scope(|scope| {
        let runs = WAYS.map(|way| scope.spawn(move || run_all(way, can_fetch)));
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    })
}

/// Guards against a share that oscillates or lets more requests cross than the demand requires, and against a local
/// preference that overloads single engines or multiplies copies.
#[test]
fn share_keeps_requests_local_without_skew_or_oscillation() {
    println!("| way | can fetch | crossing | highest load over mean | read | fetched | changes of side |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let results = compare(true);
    WAYS.iter().zip(&results).for_each(|(way, phases)| print_row(*way, true, phases));
    let [none, local, share, drawn, penalty] = results.try_into().unwrap();
    assert!(share[USUAL].crossing < 0.35 * none[USUAL].crossing);
    assert!(share[BURST].over_mean() < local[BURST].over_mean());
    assert!(share[BURST].over_mean() < none[BURST].over_mean() + 0.2);
    assert!(share[BURST].side_changes < 0.7 * penalty[BURST].side_changes);
    assert!(share[BURST].side_changes < 0.7 * drawn[BURST].side_changes);
    assert!(share[DRAINED].over_mean() < none[DRAINED].over_mean() + 0.2);
    let fetched = |phases: &[Figures]| phases.iter().map(|figures| figures.fetched).sum::<f32>();
    assert!(fetched(&share) < 1.5 * fetched(&none));
}

/// Guards against local homes of prompts that every data centre would have to process.
#[test]
fn share_reads_few_prompts_again_without_fetches() {
    let results = compare(false);
    WAYS.iter().zip(&results).for_each(|(way, phases)| print_row(*way, false, phases));
    let [none, _, share, _, _] = results.try_into().unwrap();
    let read = |phases: &[Figures]| phases.iter().map(|figures| figures.read).sum::<f32>();
    assert!(read(&share) < 1.2 * read(&none));
    assert!(share[USUAL].crossing < none[USUAL].crossing);
}
