//! Settings of connections to upstreams.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{DirectoryLimits, OutlierLimits};
use bendhinge_ini::Section;

use super::SettingsReader;
use super::values::YesNo;

/// Connections to upstreams and failure detection.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// The time limit for connecting.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The maximum size of a response that is not a stream.
    pub max_response_bytes: usize,
    /// The maximum size of an event of a stream, and of a block of comments.
    pub max_event_bytes: usize,
    /// Whether a response that ends with its connection is complete only once its upstream is known to run.
    pub verifies_close: bool,
    /// Ejection of upstreams that fail.
    pub outlier_limits: OutlierLimits,
    /// Removal of upstreams that are no longer listed.
    pub directory_limits: DirectoryLimits,
    /// The maximum load of an upstream as a multiple of the mean load.
    pub load_bound_factor: f32,
    /// The time after which a draining upstream must get no more requests.
    pub drain_deadline: Duration,
}

impl SettingsReader<'_> {
    pub(super) fn upstreams(&self, section: &Section) -> Option<UpstreamSettings> {
        /// With less, ordinary streams are cut.
        const MIN_EVENT_BYTES: usize = 1 << 10;
        /// The time in which the weight of a failure halves.
        const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
        /// How long upstreams that left are kept as sources of cached prompts.
        const RETENTION: Duration = Duration::from_secs(3);
        /// The time without a confirmation of the list after which the store counts as impaired.
        const MAX_STALENESS: Duration = Duration::from_millis(2_500);
        let connect_timeout = self.0.millis(section, "connect_ms");
        let idle_timeout = self.0.millis(section, "idle_ms");
        let max_response_bytes = self.0.byte_count(section, "answer_bytes");
        let max_event_bytes = self.0.byte_count(section, "event_bytes");
        if max_event_bytes.is_some_and(|bytes| bytes < MIN_EVENT_BYTES) {
            let message = format!("'event_bytes' is below {MIN_EVENT_BYTES}");
            self.0.add_fault_at(section, "event_bytes", ResultCode::InvalidValue, message);
        }
        let verifies_close = self.0.value::<YesNo>(section, "verify_close");
        let base_ejection = self.0.millis(section, "rest_ms");
        let max_ejection = self.0.millis(section, "longest_rest_ms");
        let removal_grace = self.0.millis(section, "doubt_ms");
        let load_bound_factor = self.0.positive_number(section, "load_bound");
        let drain_deadline = self.0.millis(section, "leaving_ms");
        #[expect(clippy::cast_possible_truncation, reason = "f32 is precise enough for a factor")]
        Some(UpstreamSettings {
            connect_timeout: connect_timeout?,
            idle_timeout: idle_timeout?,
            max_response_bytes: max_response_bytes?,
            max_event_bytes: max_event_bytes?,
            verifies_close: verifies_close?.0,
            outlier_limits: OutlierLimits {
                base_ejection: base_ejection?,
                max_ejection: max_ejection?,
                half_life: FAILURE_HALF_LIFE,
            },
            directory_limits: DirectoryLimits {
                max_staleness: MAX_STALENESS,
                removal_grace: removal_grace?,
                retention: RETENTION,
            },
            load_bound_factor: load_bound_factor? as f32,
            drain_deadline: drain_deadline?,
        })
    }
}
