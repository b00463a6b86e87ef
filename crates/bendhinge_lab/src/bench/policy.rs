//! Ways of placing a turn: the router's own, and baselines.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{
    BoxName, ChatKey, Incarnation, Instant, NameHash, PermitId, PoolName, RouterInstance, UpstreamName,
};
use bendhinge_placement::{
    LedgerLimits, LoadBound, LoadKey, LoadReport, LoadView, PermitDenied, PermitLedger, PermitRequest,
    PermitRequestBudget, PermitResponse, PoolLoad, RankedUpstream, Ranking, SearchPool, SearchStep,
    UpstreamIndex, UpstreamSearch, owner_of,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::cache::Chat;
use super::placement::Truth;
use super::workload::Scenario;

/// A way of placing turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The router's own.
    Bendhinge,
    /// Knows every load and context exactly, under the same bound.
    Oracle,
    /// Any engine.
    Random,
    /// The engine with the least load by lagged reports.
    LeastLoaded,
    /// The chat's first by ranking, whatever its load.
    HashOnly,
    /// The chat's first by ranking whose load from this router alone is within the bound.
    OwnSliver,
}

impl PolicyKind {
    /// All baselines.
    pub const BASELINES: [Self; 4] = [Self::Random, Self::LeastLoaded, Self::HashOnly, Self::OwnSliver];

    /// The name in figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bendhinge => "bendhinge",
            Self::Oracle => "oracle",
            Self::Random => "random",
            Self::LeastLoaded => "least_loaded",
            Self::HashOnly => "hash_only",
            Self::OwnSliver => "own_sliver",
        }
    }
}

/// A turn to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked<'a> {
    pub(super) router: usize,
    pub(super) chat: Chat,
    pub(super) now: Instant,
    pub(super) tried: &'a [u32],
}

/// A permit that a placed turn holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    permit: Option<(usize, PermitId)>,
}

/// A placed turn.
pub(super) struct PlacedTurn {
    pub(super) engine: u32,
    pub(super) held: Held,
}

/// Messages between routers on behalf of placement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Messages {
    /// Permits asked for and answered.
    pub(super) asked: u64,
    /// Permits returned.
    pub(super) returned: u64,
    /// Displacements told.
    pub(super) displaced: u64,
}

/// The engines that routers believe to be there.
struct Pool {
    ranking: Ranking,
    hashes: Vec<NameHash>,
    /// Engine numbers in the order of the ranking.
    engines: Vec<u32>,
}

fn engine_name(engine: u32) -> UpstreamName {
    format!("engine-{engine}").parse().expect("a valid name")
}

impl Pool {
    fn new(engines: u32, is_up: impl Fn(u32) -> bool) -> Self {
        let ranked = (0..engines).map(|engine| RankedUpstream {
            name: engine_name(engine),
            weight: 1.0,
            tier: 0,
            serving: is_up(engine),
        });
        let ranking = Ranking::new(ranked.collect());
        let hashes = ranking.upstreams().iter().map(|ranked| NameHash::of(ranked.name.as_str())).collect();
        let number =
            |ranked: &RankedUpstream| ranked.name.as_str()["engine-".len()..].parse().expect("made above");
        let engines = ranking.upstreams().iter().map(number).collect();
        Self { ranking, hashes, engines }
    }

    fn engine(&self, index: UpstreamIndex) -> u32 {
        self.engines[index.0 as usize]
    }

    fn shortlist(&self, chat: Chat) -> Vec<u32> {
        let list = self.ranking.shortlist(key(chat));
        let serving = list.as_slice().iter().filter(|index| self.ranking.get(**index).serving);
        serving.map(|index| self.engine(*index)).collect()
    }

    /// The engines that routers believe to take work.
    fn serving(&self) -> impl Iterator<Item = u32> {
        self.ranking.serving_indices().map(|index| self.engine(index))
    }
}

fn key(chat: Chat) -> ChatKey {
    ChatKey::of("customer", &chat.0.to_le_bytes())
}

/// One of the routers, as the router's own policy has it.
struct RouterState {
    life: RouterInstance,
    view: LoadView,
    asks: PermitRequestBudget,
    ledger: PermitLedger,
}

/// A policy with its state over all routers.
pub(super) struct Policy {
    kind: PolicyKind,
    scenario: Scenario,
    pool: Pool,
    pool_name: PoolName,
    routers: Vec<RouterState>,
    /// Which router counts for each engine.
    owners: Vec<usize>,
    /// In progress by router and engine, for the sliver.
    own: Vec<Vec<u32>>,
    reports: VecDeque<(Instant, Vec<u32>)>,
    reported: Vec<u32>,
    pub(super) messages: Messages,
}

impl Policy {
    pub(super) fn new(kind: PolicyKind, scenario: Scenario) -> Self {
        let limits = LedgerLimits { lease: Duration::from_secs(10), max_displaced_chats: 20_000 };
        let names: Vec<BoxName> = (0..scenario.routers)
            .map(|number| format!("box-{number}").parse().expect("a valid name"))
            .collect();
        let engines = u32::try_from(scenario.engines).expect("few engines");
        let owner = |engine| {
            let name = engine_name(engine);
            let owner = owner_of(name.as_str(), &names);
            names.iter().position(|name| Some(name) == owner).expect("there are routers")
        };
        let router = |name: &BoxName| RouterState {
            life: RouterInstance { name: name.clone(), incarnation: Incarnation(1) },
            view: LoadView::default(),
            asks: PermitRequestBudget::default(),
            ledger: PermitLedger::new(limits),
        };
        let own_rows = if kind == PolicyKind::OwnSliver { scenario.routers } else { 0 };
        let mut policy = Self {
            kind,
            scenario,
            pool: Pool::new(engines, |_| true),
            pool_name: "pool".parse().expect("a valid name"),
            routers: names.iter().map(router).collect(),
            owners: (0..engines).map(owner).collect(),
            own: vec![vec![0; scenario.engines]; own_rows],
            reports: VecDeque::new(),
            reported: vec![0; scenario.engines],
            messages: Messages::default(),
        };
        policy.set_pool();
        policy
    }

    fn set_pool(&mut self) {
        for router in &mut self.routers {
            let serving = self.pool.ranking.serving_indices();
            router.view.set_pool(&self.pool_name, serving.map(|index| self.pool.hashes[index.0 as usize]));
        }
    }

    /// Routers learn which engines are there.
    pub(super) fn view(&mut self, truth: &Truth) {
        let engines = u32::try_from(self.scenario.engines).expect("few engines");
        self.pool = Pool::new(engines, |engine| truth.is_up(engine));
        self.set_pool();
    }

    /// Counts are told to all routers; what they hear is as old as the scenario's lag.
    pub(super) fn tick(&mut self, truth: &Truth, now: Instant) {
        self.reports.push_back((now, truth.loads().to_vec()));
        let shown = now - self.scenario.lag;
        while self.reports.len() > 1 && self.reports[1].0 <= shown {
            self.reports.pop_front();
        }
        let Some((at, loads)) = self.reports.front().filter(|(at, _)| *at <= shown) else { return };
        let (at, loads) = (*at, loads.clone());
        if self.kind == PolicyKind::Bendhinge {
            self.tell_counts(&loads, at);
        }
        self.reported = loads;
    }

    fn tell_counts(&mut self, loads: &[u32], at: Instant) {
        for (engine, load) in (0..).zip(loads) {
            let report = LoadReport { in_progress: *load, measured_at: at };
            self.routers[self.owners[engine as usize]].ledger.apply_report(&engine_name(engine), report);
        }
        for router in &mut self.routers {
            for (hash, engine) in self.pool.hashes.iter().zip(&self.pool.engines) {
                let key = LoadKey { upstream: *hash, pool: &self.pool_name };
                router.view.record_count(key, loads[*engine as usize], at);
            }
        }
    }

    /// Places a turn; `None` refuses it.
    pub(super) fn place(
        &mut self,
        asked: Asked<'_>,
        truth: &Truth,
        random: &mut ChaCha8Rng,
    ) -> Option<PlacedTurn> {
        let free = Held { permit: None };
        let engine = match self.kind {
            PolicyKind::Bendhinge => return self.walk(asked),
            PolicyKind::Oracle => self.oracle(asked, truth)?,
            PolicyKind::Random => {
                self.pool.serving().nth(random.random_range(0..self.pool.ranking.serving_count()))?
            }
            PolicyKind::LeastLoaded => {
                let untried = self.pool.serving().filter(|engine| !asked.tried.contains(engine));
                untried.min_by_key(|engine| self.reported[*engine as usize])?
            }
            PolicyKind::HashOnly => {
                *self.pool.shortlist(asked.chat).iter().find(|engine| !asked.tried.contains(engine))?
            }
            PolicyKind::OwnSliver => self.own_sliver(asked)?,
        };
        if self.kind == PolicyKind::OwnSliver {
            self.own[asked.router][engine as usize] += 1;
        }
        Some(PlacedTurn { engine, held: free })
    }

    fn bound(&self) -> LoadBound {
        LoadBound(self.scenario.bound)
    }

    fn oracle(&self, asked: Asked<'_>, truth: &Truth) -> Option<u32> {
        let in_progress = truth.total();
        let limit =
            self.bound().limit(PoolLoad { in_progress }, 1.0 / self.pool.ranking.serving_count() as f64);
        let fits = |engine: &u32| truth.is_up(*engine) && truth.loads()[*engine as usize] < limit;
        let with_context = truth.context_of(asked.chat).into_iter().find(|engine| fits(engine));
        let by_rank = || self.pool.shortlist(asked.chat).into_iter().find(|engine| fits(engine));
        let any = || self.pool.serving().find(|engine| fits(engine));
        with_context.or_else(by_rank).or_else(any)
    }

    fn own_sliver(&self, asked: Asked<'_>) -> Option<u32> {
        let own = &self.own[asked.router];
        let in_progress = own.iter().sum();
        let limit =
            self.bound().limit(PoolLoad { in_progress }, 1.0 / self.pool.ranking.serving_count() as f64);
        let shortlist = self.pool.shortlist(asked.chat);
        let untried = || shortlist.iter().filter(|engine| !asked.tried.contains(engine));
        let fitting = untried().find(|engine| own[**engine as usize] < limit);
        fitting.or_else(|| untried().next()).copied()
    }

    fn walk(&mut self, asked: Asked<'_>) -> Option<PlacedTurn> {
        let pool_name = self.pool_name.clone();
        let Self { pool, routers, owners, messages, scenario, .. } = self;
        let walk_pool = SearchPool {
            name: &pool_name,
            ranking: &pool.ranking,
            hashes: &pool.hashes,
            bound: LoadBound(scenario.bound),
        };
        let is_tried = |index: &UpstreamIndex| asked.tried.contains(&pool.engine(*index));
        let tried = if asked.tried.is_empty() {
            Vec::new()
        } else {
            pool.ranking.serving_indices().filter(is_tried).collect()
        };
        let counts_itself = |index| owners[pool.engine(index) as usize] == asked.router;
        let frugal = !routers[asked.router].asks.try_acquire(asked.now);
        let view = &routers[asked.router].view;
        let mut walk = UpstreamSearch::new(walk_pool, key(asked.chat), tried, view, asked.now)
            .skip_optional_permit(frugal);
        if walk.is_empty() {
            return None;
        }
        let (upstream, held) = loop {
            match walk.next(&routers[asked.router].view, counts_itself, asked.now) {
                SearchStep::Exhausted => return None,
                SearchStep::Send(upstream) => break (upstream, Held { permit: None }),
                SearchStep::Acquire { upstream, first_choice, limit } => {
                    let owner = owners[pool.engine(upstream) as usize];
                    messages.asked += u64::from(owner != asked.router);
                    let request = PermitRequest {
                        upstream: pool.ranking.get(upstream).name.clone(),
                        holder: routers[asked.router].life.clone(),
                        first_choice_of: first_choice.then(|| key(asked.chat)),
                        limit,
                    };
                    let answer = routers[owner].ledger.acquire(&request, asked.now);
                    let view = &mut routers[asked.router].view;
                    match answer {
                        Ok(granted) => {
                            view.record_count(walk_pool.key(upstream), granted.in_progress - 1, asked.now);
                            break (upstream, Held { permit: Some((owner, granted.permit)) });
                        }
                        Err(PermitDenied::AtBound { in_progress }) => {
                            view.record_count(walk_pool.key(upstream), in_progress, asked.now);
                            walk.handle_response(PermitResponse::AtBound, view);
                        }
                        Err(PermitDenied::Redirect(place)) => {
                            walk.handle_response(
                                PermitResponse::Redirect(pool.ranking.find_serving(&place)),
                                view,
                            );
                        }
                    }
                }
            }
        };
        routers[asked.router].view.request_started(walk_pool.key(upstream), asked.now);
        for remembering in walk.displacement_recorders(upstream) {
            let owner = owners[pool.engine(remembering) as usize];
            messages.displaced += u64::from(owner != asked.router);
            let place = pool.ranking.get(upstream).name.clone();
            routers[owner].ledger.record_displaced(key(asked.chat), place);
        }
        Some(PlacedTurn { engine: pool.engine(upstream), held })
    }

    /// An engine could not be reached.
    pub(super) fn failed(&mut self, router: usize, engine: u32, held: Held, now: Instant) {
        self.routers[router].view.avoid(NameHash::of(engine_name(engine).as_str()), now);
        self.ended(router, engine, held, now);
    }

    /// A turn has ended.
    pub(super) fn ended(&mut self, router: usize, engine: u32, held: Held, now: Instant) {
        if self.kind == PolicyKind::OwnSliver {
            self.own[router][engine as usize] -= 1;
        }
        if self.kind == PolicyKind::Bendhinge {
            let name = engine_name(engine);
            let key = LoadKey { upstream: NameHash::of(name.as_str()), pool: &self.pool_name };
            self.routers[router].view.request_ended(key, now);
        }
        if let Some((owner, permit)) = held.permit {
            self.messages.returned += u64::from(owner != router);
            self.routers[owner].ledger.release(permit, now);
        }
    }
}
