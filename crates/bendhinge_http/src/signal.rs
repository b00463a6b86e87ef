//! Termination signals.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Resolves when the process receives `SIGTERM` or `SIGINT`.
pub async fn wait_for_termination() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        // Without a handler, the default action of the signal terminates the process.
        Err(_) => std::future::pending().await,
    }
}
