//! Looking whether an upstream whose connection was lost has crashed.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::{ConnectError, Connection};
use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::{Receiver, bounded};

use super::race::Sent;
use super::{Delivering, Turn};

/// A look that is being taken in the background. Its result is noted whether or not anybody waits for it.
pub(super) struct Looking(Receiver<()>);

impl Looking {
    /// Looks whether the upstream crashed to which the turn was `sent`.
    pub(super) fn begin(delivering: &Arc<Delivering>, turn: &Arc<Turn>, sent: Sent) -> Self {
        let (ended, looking) = bounded(1);
        let lost_at = bendhinge_clock::now();
        let (delivering, turn) = (Arc::clone(delivering), Arc::clone(turn));
        let tasks = Arc::clone(&delivering.tasks);
        let look = async move {
            if has_crashed(&delivering, &sent.upstream).await {
                let number = turn.call.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
                let digest = turn.digest(&delivering.identities);
                delivering.quarantine.crashed(digest, number, &sent.upstream, sent.at, lost_at);
            }
            // Until now it counts as under way.
            drop(sent);
            drop(ended);
        };
        tasks.spawn(look).detach();
        Self(looking)
    }

    /// Waits for its end, not for long: one that crashed refuses at once, and what does not answer at all has
    /// lost its box or the way to it, which no request does.
    pub(super) async fn ended(self) {
        const PATIENCE: Duration = Duration::from_millis(50);
        let ended = async {
            let _ = self.0.recv().await;
        };
        let too_long = async {
            Timer::after(PATIENCE).await;
        };
        ended.or(too_long).await;
    }
}

/// Whether nothing listens where the upstream was, though it was not about to leave: its process has ended. A
/// connection that was lost for another reason is followed by one that can be made, which is kept for use.
async fn has_crashed(delivering: &Delivering, upstream: &UpstreamEntry) -> bool {
    /// A process that ends closes one socket after the other: within this time the new one as well.
    const ENDING: Duration = Duration::from_millis(20);
    if !delivering.upstreams.takes_work(upstream.hash) {
        return false;
    }
    match delivering.pool.connect(upstream.address).await {
        Ok(connection) => {
            Timer::after(ENDING).await;
            let is_ending = !connection.is_open();
            delivering.pool.give_back(connection).await;
            is_ending && is_refused(&delivering.pool.connect(upstream.address).await)
        }
        refused => is_refused(&refused),
    }
}

/// A box that is gone, or a way to it, gives no answer instead.
fn is_refused(connecting: &Result<Connection, ConnectError>) -> bool {
    matches!(connecting, Err(ConnectError::Io(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
