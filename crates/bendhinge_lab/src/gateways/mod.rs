//! A fleet of gateways as real processes, with a store and upstreams in this process, a loopback
//! proxy that harms what passes through it, and a caller that judges every answer.

mod caller;
mod crashing_engines;
mod fleet;
mod linked_fleet;
mod part_soak;
mod partition_soak;
mod process;
mod proxy;
mod refusal_soak;
mod silence_soak;
mod soak;
mod software_soak;
mod stream_caller;

pub use caller::{Answer, Call, GatewayCaller, Resumption, Told};
pub use crashing_engines::CrashingEngines;
pub use fleet::{FleetShape, GatewayFleet, KEY, RULES, StartedUpstream, until};
pub use linked_fleet::{GatewayStart, LinkedFleet, Partition};
pub use part_soak::part_soak;
pub use partition_soak::partition_soak;
pub use process::{GatewayProcess, GatewaySettings, PEER_KEY};
pub use proxy::{Harm, Proxy};
pub use refusal_soak::refusal_soak;
pub use silence_soak::silence_soak;
pub use soak::{Findings, run_soak, soak, soak_seeds};
pub use software_soak::software_soak;
pub use stream_caller::{StreamCaller, StreamEnd};
