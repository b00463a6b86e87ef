//! A stand-in for a model engine: continuous batching on a number of slots, a prefix cache of
//! limited size, priorities, a lagging load report, late and gappy cache events, fenced orders,
//! and faults to switch on.
//!
//! | Path | Meaning |
//! | --- | --- |
//! | `POST /v1/chat/completions` | a turn, whole or streamed |
//! | `GET /v1/load` | requests in progress, as they were some time ago |
//! | `GET /v1/cache_events?after=N` | what was stored and evicted; late, with gaps |
//! | `POST /v1/orders` | a fenced order to load a model or take a role |
//! | `PUT /control/faults`, `GET /control/state` | for tests |

mod cache;
mod generate;
mod server;
mod slots;

pub use cache::{CacheEvent, PrefixCache, PrefixHash};
pub use generate::expected_answer;
pub use server::{Engine, EngineOptions, EngineState, Faults};
