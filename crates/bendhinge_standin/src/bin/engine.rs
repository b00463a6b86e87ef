//! The model engine's stand-in as a process.

use std::num::NonZeroUsize;
use std::sync::Arc;

use bendhinge_http::Tasks;
use bendhinge_standin::engine::{Engine, EngineOptions};
use bpaf::Bpaf;

/// A stand-in for a model engine, on a free port of the loopback address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Name in answers
    #[bpaf(argument("NAME"))]
    name: String,
    /// Requests run at once
    #[bpaf(argument("N"), fallback(8))]
    slots: usize,
    /// Size of the prefix cache in tokens
    #[bpaf(argument("TOKENS"), fallback(200_000))]
    cache_tokens: u64,
    /// Microseconds to read a prompt token that is not cached
    #[bpaf(argument("US"), fallback(20))]
    prefill_us: u64,
    /// Microseconds to generate a token; 0 for no pause at all
    #[bpaf(argument("US"), fallback(2_000))]
    decode_us: u64,
    /// Age of the load report in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    report_lag_ms: u64,
    /// Take orders whatever their fence
    ignore_fence: bool,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    let options = EngineOptions {
        slots: args.slots,
        cache_tokens: args.cache_tokens,
        prefill_us: args.prefill_us,
        decode_us: args.decode_us,
        report_lag_ms: args.report_lag_ms,
        checks_fence: !args.ignore_fence,
    };
    let tasks = Tasks::default();
    let engine = Engine::new(&args.name, options, Arc::clone(&tasks));
    let handler = move |request| {
        let engine = engine.clone();
        async move { engine.handle(request).await }
    };
    bendhinge_standin::run(&args.name, NonZeroUsize::MIN, &tasks, handler)
}
