//! Looking whether upstreams whose connections were lost have crashed.

use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::ConnectError;
use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;
use smol::Timer;
use smol::lock::OnceCell;

use super::race::Sent;
use super::{Delivering, Turn};

/// A process that ends closes one socket after the other: so long after the first, all are closed. What is lost
/// within this time is looked into together: a busy upstream that crashes takes a hundred requests with it.
const ENDING: Duration = Duration::from_millis(10);

/// A look into a loss, shared by all losses up to `until`.
#[derive(Clone)]
struct Look {
    until: Instant,
    has_crashed: Arc<OnceCell<bool>>,
}

/// The last look at each upstream.
#[derive(Default)]
pub(crate) struct CrashLooks(Mutex<FxHashMap<NameHash, Look>>);

impl CrashLooks {
    /// The look that tells of a loss at `lost`: one that is not taken yet, or one that found that the upstream has
    /// crashed, which it stays in this life.
    fn of(&self, upstream: NameHash, lost: Instant) -> Look {
        let mut looks = self.0.lock().unwrap();
        let held = looks.get(&upstream);
        let tells = held.filter(|look| lost <= look.until || look.has_crashed.get() == Some(&true));
        if let Some(look) = tells {
            return look.clone();
        }
        let look = Look { until: lost + ENDING, has_crashed: Arc::default() };
        looks.insert(upstream, look.clone());
        look
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn keep_only(&self, listed: impl Fn(NameHash) -> bool) {
        self.0.lock().unwrap().retain(|upstream, _| listed(*upstream));
    }
}

/// Looks in the background whether the upstream crashed to which the turn was `sent`, and notes what it finds. Until
/// then the send counts as under way, so that a request that may already be the third to crash is not sent on.
pub(super) fn look_into(delivering: &Arc<Delivering>, turn: &Arc<Turn>, sent: Sent) {
    let lost = bendhinge_clock::now();
    let (delivering, turn) = (Arc::clone(delivering), Arc::clone(turn));
    let tasks = Arc::clone(&delivering.tasks);
    let noting = async move {
        if has_crashed(&delivering, &sent.upstream, lost).await {
            let number = turn.call.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            let digest = turn.digest(&delivering.identities);
            delivering.quarantine.crashed(digest, number, &sent.upstream, sent.at, lost);
        }
        // The whole of it is held until here: what is dropped with it says that the send has ended.
        drop(sent);
    };
    tasks.spawn(noting).detach();
}

async fn has_crashed(delivering: &Delivering, upstream: &UpstreamEntry, lost: Instant) -> bool {
    if !delivering.upstreams.takes_work(upstream.hash) {
        // One that leaves ends with what it still runs.
        return false;
    }
    let look = delivering.crash_looks.of(upstream.hash, lost);
    *look.has_crashed.get_or_init(|| is_refused_by(delivering, upstream)).await
}

/// Whether nothing listens where the upstream was: its process has ended. One that lives has other connections that
/// stand, in use or idle, or takes another, which is kept for use: one that is busy is not to be asked for a connection
/// that it may not have to give. A box that is gone, or the way to it, gives no answer instead.
async fn is_refused_by(delivering: &Delivering, upstream: &UpstreamEntry) -> bool {
    Timer::after(ENDING).await;
    if delivering.upstreams.has_own(upstream.hash) || delivering.pool.has_idle_connection(upstream.address) {
        return false;
    }
    match delivering.pool.connect(upstream.address).await {
        Ok(connection) => {
            delivering.pool.release(connection).await;
            false
        }
        Err(ConnectError::Io(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Err(ConnectError::Timeout | ConnectError::Http(_)) => false,
    }
}
