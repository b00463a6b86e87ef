//! Reads the bodies of requests into memory that is accounted for.

use std::time::Duration;

use bendhinge_buffers::{BufferBudget, Owner, Reservation};
use bendhinge_codes::ResultCode;
use bendhinge_http::{HeadBytes, ReadBodyError, Tasks, read_body_reserved};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_routes::CallerLimits;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use rand::Rng;
use smol::Timer;

use super::Refusal;

/// The memory of a request.
pub(super) struct RequestBuffers {
    budget: BufferBudget,
    owner: Owner,
    head_bytes: usize,
    reservation: Reservation,
}

impl RequestBuffers {
    pub(super) fn new(budget: &BufferBudget, customer: Option<NameHash>, head: HeadBytes) -> Self {
        let owner = Owner::Customer(customer);
        Self { budget: budget.clone(), owner, head_bytes: head.0, reservation: budget.open(owner) }
    }

    /// Reads the body of the request. One that is known not to fit is refused before it is read.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
        limits: &CallerLimits,
        deadline: Instant,
        tasks: &Tasks,
    ) -> Result<Bytes, Refusal> {
        let read = self.read_within(&mut body, limits, deadline).await;
        if read.is_err() {
            tasks.spawn(discard(body)).detach();
        }
        read
    }

    async fn read_within(
        &self,
        body: &mut Incoming,
        limits: &CallerLimits,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let max_bytes = limits.max_body_bytes.min(self.budget.max_reservation());
        let known_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if known_bytes > max_bytes {
            return Err(ResultCode::BodyTooLarge.into());
        }
        if !self.budget.could_hold(self.owner, self.head_bytes + known_bytes) {
            return Err(buffers_full());
        }
        self.reservation.add(self.head_bytes).map_err(|_| buffers_full())?;
        let reading = async {
            let read = read_body_reserved(body, max_bytes, &self.reservation).await;
            read.map_err(|error| match error {
                ReadBodyError::TooLong(_) => ResultCode::BodyTooLarge.into(),
                ReadBodyError::Broken(_) => ResultCode::MalformedRequest.into(),
                ReadBodyError::NoMemory(_) | ReadBodyError::Revoked => buffers_full(),
            })
        };
        let timeout = async {
            Timer::after(deadline.since(bendhinge_clock::now())).await;
            Err(ResultCode::SlowCaller.into())
        };
        reading.or(timeout).await
    }

    /// Keeps the memory until the request is answered.
    pub(super) fn pin(self) -> Reservation {
        self.reservation.pin();
        self.reservation
    }
}

/// Returns the refusal of a request for which there is no memory. The retry delay is about as long as requests that hold
/// memory take.
fn buffers_full() -> Refusal {
    const RETRY_DELAY_MS: std::ops::Range<u64> = 500..1_500;
    let retry_after = Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS));
    Refusal::with_retry_after(ResultCode::BuffersFull, retry_after)
}

/// Reads the rest of a refused body and drops it, for a while. If a connection is closed before, the system resets it, and
/// a caller that is still sending never reads the refusal.
async fn discard(mut body: Incoming) {
    const MAX_BYTES: usize = 16 << 20;
    const TIMEOUT: Duration = Duration::from_secs(2);
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_BYTES {
                return;
            }
        }
    };
    let timeout = async {
        Timer::after(TIMEOUT).await;
    };
    reading.or(timeout).await;
}
