//! Admission of a fraction of requests, and the delay after which refused ones should be retried.

use std::time::Duration;

/// Admission probability of retried requests relative to that of new ones. An absolute preference would leave no
/// capacity for new requests, so that every request would have to be sent twice.
const RETRY_PREFERENCE: f64 = 2.0;
/// Minimum delay before a retry. An earlier one would meet the same load.
const MIN_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay before jitter is added.
const MAX_DELAY: Duration = Duration::from_secs(4);
/// Fraction of the time left for which callers wait before a retry.
const USEFUL_FRACTION: f64 = 1.0 / 3.0;

/// Returns the probability with which a request is admitted, where `fraction` of the demand is admitted and `retried`
/// of it are retries.
pub(crate) fn admission_probability(fraction: f64, retried: f64, is_retry: bool) -> f64 {
    let of_retries = (fraction * RETRY_PREFERENCE / (1.0 + (RETRY_PREFERENCE - 1.0) * retried)).min(1.0);
    if is_retry {
        of_retries
    } else if retried < 1.0 {
        ((fraction - retried * of_retries) / (1.0 - retried)).clamp(0.0, 1.0)
    } else {
        fraction
    }
}

/// What is known of a refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalContext {
    /// Probability with which it would have been admitted.
    pub(crate) probability: f64,
    /// Expected wait for a slot.
    pub(crate) wait: Duration,
    /// Time left until the caller's deadline.
    pub(crate) time_left: Duration,
}

/// Returns the delay after which a refused caller should retry. `jitter` is uniform in `[0, 1]` among all requests and
/// spreads the retries of callers that are refused together.
pub(crate) fn retry_delay(context: &RefusalContext, jitter: f64) -> Duration {
    let overload = 1.0 / context.probability.max(0.01);
    let base = (MIN_DELAY.mul_f64(overload).min(MAX_DELAY) + context.wait.min(MAX_DELAY)).min(MAX_DELAY);
    let useful = context.time_left.mul_f64(USEFUL_FRACTION);
    let (earliest, latest) = (base.min(useful / 2), (base * 2).min(useful));
    let among_refused =
        ((jitter - context.probability) / (1.0 - context.probability).max(0.01)).clamp(0.0, 1.0);
    earliest + (latest.saturating_sub(earliest)).mul_f64(among_refused)
}
