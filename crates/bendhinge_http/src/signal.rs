//! The request to stop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Resolves when the process is asked to stop by `SIGTERM` or `SIGINT`.
pub async fn termination() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        // Without signal handling the default action ends the process, which is the best left.
        Err(_) => std::future::pending().await,
    }
}
