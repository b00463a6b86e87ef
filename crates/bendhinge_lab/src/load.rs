//! Loads in the shapes of the users' workloads: returning chats, bursts, and calls of plain
//! services some of which may not be repeated.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::Pool;
use hdrhistogram::Histogram;
use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::Timer;

use crate::client::{Caller, ChatTurn, Message, Outcome};
use crate::fleet::Fleet;

/// A kind of chat.
#[derive(Clone, Debug)]
pub struct ChatKind {
    /// What it is called in reports.
    pub name: &'static str,
    /// Whose chats they are.
    pub customers: &'static [&'static str],
    /// The model.
    pub model: &'static str,
    /// How many chats there are.
    pub chats: u32,
    /// Turns of each.
    pub turns: u32,
    /// Words of the opening: a dossier, or a short question.
    pub opening_words: u32,
    /// Words of each later message.
    pub turn_words: u32,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// The pause between two turns.
    pub pause: Duration,
    /// Whether the chats begin all at once rather than spread over a pause.
    pub burst: bool,
}

/// A kind of call of a plain service.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// What it is called in reports.
    pub name: &'static str,
    /// Whose calls they are.
    pub customers: &'static [&'static str],
    /// The path.
    pub path: &'static str,
    /// Whether they may not be repeated.
    pub once: bool,
    /// How many there are.
    pub calls: u32,
    /// The pause between two.
    pub pause: Duration,
}

/// A load.
#[derive(Clone, Debug, Default)]
pub struct LoadShape {
    /// Chats.
    pub chats: Vec<ChatKind>,
    /// Calls.
    pub calls: Vec<CallKind>,
}

const NEWSROOMS: &[&str] = &["newsroom-tunja", "newsroom-duitama", "newsroom-sogamoso", "print-desk"];
const DISPATCH: &[&str] = &["dispatch-water", "dispatch-power"];
const READERS: &[&str] = &["portal-readers", "subscriber-line"];
const OFFICES: &[&str] = &["office-oslo", "office-bergen", "office-trondheim", "office-tromso"];
const QUOTA: &[&str] = &["quota-line", "quota-web"];
const REVIEWS: &[&str] = &["reviews-north", "reviews-south"];
const PORTAL: &[&str] = &["portal-documents", "portal-deadlines"];

impl LoadShape {
    /// Boyacá: editors' chats, a burst before the deadline, bulletins that may not be repeated.
    #[must_use]
    pub fn boyaca() -> Self {
        let model = "boletin-7b";
        let pause = Duration::from_millis(400);
        Self {
            chats: vec![
                ChatKind {
                    name: "minutes",
                    customers: NEWSROOMS,
                    model,
                    chats: 24,
                    turns: 6,
                    opening_words: 400,
                    turn_words: 20,
                    answer_tokens: 40,
                    pause,
                    burst: false,
                },
                ChatKind {
                    name: "deadline",
                    customers: NEWSROOMS,
                    model,
                    chats: 60,
                    turns: 2,
                    opening_words: 150,
                    turn_words: 20,
                    answer_tokens: 30,
                    pause,
                    burst: true,
                },
                ChatKind {
                    name: "readers",
                    customers: READERS,
                    model,
                    chats: 30,
                    turns: 4,
                    opening_words: 20,
                    turn_words: 10,
                    answer_tokens: 15,
                    pause,
                    burst: false,
                },
            ],
            calls: vec![
                CallKind {
                    name: "bulletins",
                    customers: DISPATCH,
                    path: "/portal/bulletins",
                    once: true,
                    calls: 40,
                    pause: Duration::from_millis(50),
                },
                CallKind {
                    name: "portal",
                    customers: READERS,
                    path: "/portal/cuts",
                    once: false,
                    calls: 200,
                    pause: Duration::from_millis(10),
                },
            ],
        }
    }

    /// Fjordvei: long dossiers that can wait, guidance chats that return often, receipts.
    #[must_use]
    pub fn fjordvei() -> Self {
        let model = "veileder-13b";
        let pause = Duration::from_millis(300);
        Self {
            chats: vec![
                ChatKind {
                    name: "guidance",
                    customers: OFFICES,
                    model,
                    chats: 40,
                    turns: 8,
                    opening_words: 120,
                    turn_words: 20,
                    answer_tokens: 30,
                    pause,
                    burst: false,
                },
                ChatKind {
                    name: "quota",
                    customers: QUOTA,
                    model,
                    chats: 30,
                    turns: 3,
                    opening_words: 30,
                    turn_words: 10,
                    answer_tokens: 15,
                    pause,
                    burst: false,
                },
                ChatKind {
                    name: "dossiers",
                    customers: REVIEWS,
                    model,
                    chats: 10,
                    turns: 5,
                    opening_words: 3_000,
                    turn_words: 30,
                    answer_tokens: 60,
                    pause,
                    burst: false,
                },
            ],
            calls: vec![
                CallKind {
                    name: "receipts",
                    customers: PORTAL,
                    path: "/portal/receipts",
                    once: true,
                    calls: 40,
                    pause: Duration::from_millis(50),
                },
                CallKind {
                    name: "status",
                    customers: PORTAL,
                    path: "/portal/status",
                    once: false,
                    calls: 200,
                    pause: Duration::from_millis(10),
                },
            ],
        }
    }

    /// The load of the example called `name`.
    #[must_use]
    pub fn example(name: &str) -> Self {
        if name == "fjordvei" { Self::fjordvei() } else { Self::boyaca() }
    }
}

/// What a load came to.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent, attempts of their callers counted apart.
    pub requests: u64,
    /// Served: the whole own answer came back.
    pub served: u64,
    /// Refused, surely not run, with a time to come back.
    pub refused: u64,
    /// Answered "unknown" or not at all.
    pub unknown: u64,
    /// Other answers that are errors.
    pub errors: u64,
    /// Answers that look whole and belong to another request. Must be 0.
    pub wrong: u64,
    /// Requests that their callers gave up on.
    pub given_up: u64,
    /// Turns after the first of a chat that were served.
    pub returning: u64,
    /// Those of them that found the context of the turn before.
    pub found_context: u64,
    /// Time to the first piece of an answer, in microseconds.
    pub first_us: Histogram<u64>,
    /// Codes of answers that the routers made, for reports.
    pub codes: std::collections::BTreeMap<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let first_us = Histogram::new(3).expect("three digits are supported");
        Self {
            requests: 0,
            served: 0,
            refused: 0,
            unknown: 0,
            errors: 0,
            wrong: 0,
            given_up: 0,
            returning: 0,
            found_context: 0,
            first_us,
            codes: std::collections::BTreeMap::new(),
        }
    }
}

impl Tally {
    fn count(&mut self, outcome: &Outcome) {
        self.requests += 1;
        if let Some(code) = &outcome.code {
            *self.codes.entry(code.clone()).or_default() += 1;
        }
        if outcome.served() {
            self.served += 1;
            let micros = u64::try_from(outcome.first.as_micros()).unwrap_or(u64::MAX);
            self.first_us.record(micros).expect("the histogram grows by itself");
        } else if outcome.wrong() {
            self.wrong += 1;
        } else if outcome.ran.as_deref() == Some("no") && outcome.retry_after_ms.is_some() {
            self.refused += 1;
        } else if outcome.ran.as_deref() == Some("unknown") || outcome.status == 0 || !outcome.whole {
            self.unknown += 1;
        } else {
            self.errors += 1;
        }
    }
}

/// Runs a load and waits for its end.
pub struct Load {
    pool: Arc<Pool>,
    routers: Vec<SocketAddr>,
    tally: Arc<Mutex<Tally>>,
    retries: u32,
}

impl Load {
    /// A load on the routers of `fleet`; refused callers come back up to `retries` times.
    #[must_use]
    pub fn new(fleet: &Fleet, retries: u32) -> Self {
        Self { pool: Arc::clone(&fleet.pool), routers: fleet.callers(), tally: Arc::default(), retries }
    }

    /// What came back so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.tally.lock().unwrap().clone()
    }

    /// Runs `shape` with choices drawn from `seed`.
    pub async fn run(self: &Arc<Self>, fleet: &Fleet, shape: &LoadShape, seed: u64) -> Tally {
        let mut tasks = Vec::new();
        let mut number = 0;
        for kind in &shape.chats {
            for _ in 0..kind.chats {
                number += 1;
                let (load, kind) = (Arc::clone(self), kind.clone());
                let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003) + number);
                tasks.push(fleet.tasks.spawn(async move { load.chat(&kind, number, random).await }));
            }
        }
        for kind in &shape.calls {
            number += 1;
            let (load, kind) = (Arc::clone(self), kind.clone());
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003) + number);
            tasks.push(fleet.tasks.spawn(async move { load.calls(&kind, number, seed, random).await }));
        }
        for task in tasks {
            task.await;
        }
        self.tally()
    }

    fn router(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        *self.routers.choose(random).expect("a fleet has routers")
    }

    async fn chat(&self, kind: &ChatKind, number: u64, mut random: ChaCha8Rng) {
        let customer = kind.customers.choose(&mut random).expect("a kind has customers");
        let caller = Caller::new(&self.pool, customer);
        if !kind.burst {
            Timer::after(kind.pause.mul_f64(random.random_range(0.0..4.0))).await;
        }
        let opening = words(&format!("{}-{number}", kind.name), kind.opening_words);
        let mut messages = vec![Message { role: "system", content: opening }];
        for turn in 0..kind.turns {
            let content = words(&format!("chat{number}-turn{turn}"), kind.turn_words);
            messages.push(Message { role: "user", content });
            let request = ChatTurn {
                model: kind.model.to_owned(),
                messages: messages.clone(),
                stream: turn % 2 == 0,
                max_tokens: kind.answer_tokens,
                headers: Vec::new(),
            };
            let Some(outcome) = self.turn(&caller, &request, &mut random).await else { return };
            if turn > 0 {
                let mut tally = self.tally.lock().unwrap();
                tally.returning += 1;
                tally.found_context += u64::from(outcome.cached_tokens > 0);
            }
            messages.push(Message { role: "assistant", content: outcome.content });
            Timer::after(kind.pause.mul_f64(random.random_range(0.5..1.5))).await;
        }
    }

    /// Sends a turn until it is served; `None` if its caller gave up.
    async fn turn(&self, caller: &Caller, turn: &ChatTurn, random: &mut ChaCha8Rng) -> Option<Outcome> {
        for _ in 0..=self.retries {
            let router = self.router(random);
            let outcome = caller.chat(router, turn).await;
            self.tally.lock().unwrap().count(&outcome);
            if outcome.served() {
                return Some(outcome);
            }
            let wait = outcome.retry_after_ms.unwrap_or(100);
            Timer::after(Duration::from_millis(wait)).await;
        }
        self.tally.lock().unwrap().given_up += 1;
        None
    }

    async fn calls(&self, kind: &CallKind, number: u64, seed: u64, mut random: ChaCha8Rng) {
        for call in 0..kind.calls {
            let customer = kind.customers.choose(&mut random).expect("a kind has customers");
            let caller = Caller::new(&self.pool, customer);
            let name = format!("{}-{seed}-{number}-{call}", kind.name);
            self.call(&caller, kind, &name, &mut random).await;
            Timer::after(kind.pause).await;
        }
    }

    async fn call(&self, caller: &Caller, kind: &CallKind, name: &str, random: &mut ChaCha8Rng) {
        for attempt in 1..=self.retries + 1 {
            let router = self.router(random);
            let outcome = if kind.once {
                let headers = [
                    ("idempotency-key", name.to_owned()),
                    ("x-bendhinge-repeat", "never".to_owned()),
                    ("x-bendhinge-attempt", attempt.to_string()),
                ];
                caller.call(router, Method::POST, kind.path, &headers, format!("text of {name}")).await
            } else {
                caller.call(router, Method::GET, kind.path, &[], String::new()).await
            };
            self.tally.lock().unwrap().count(&outcome);
            if outcome.served() || kind.once && outcome.ran.as_deref() != Some("no") {
                return;
            }
            Timer::after(Duration::from_millis(outcome.retry_after_ms.unwrap_or(100))).await;
        }
        self.tally.lock().unwrap().given_up += 1;
    }
}

/// A text of `count` words that begins with `tag`, so that no two messages are alike.
fn words(tag: &str, count: u32) -> String {
    let mut text = tag.to_owned();
    for word in 1..count {
        text.push_str(" w");
        text.push_str(&word.to_string());
    }
    text
}
