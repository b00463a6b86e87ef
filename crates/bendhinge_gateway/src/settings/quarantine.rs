//! Settings of the quarantine of requests and prompt parts.

use bendhinge_ids::{PartDigest, RequestDigest};
use bendhinge_ini::Section;

use super::SettingsReader;
use super::values::{CommaSeparated, YesNo};

/// Quarantine of requests and prompt parts under which upstreams crash.
#[derive(Clone, Debug)]
pub struct QuarantineSettings {
    /// Whether the parts that prompts share are quarantined.
    pub tracks_prompt_parts: bool,
    /// Requests that operators release when the settings are read.
    pub released_requests: Vec<RequestDigest>,
    /// Prompt parts that operators release when the settings are read.
    pub released_parts: Vec<PartDigest>,
}

impl SettingsReader<'_> {
    pub(super) fn quarantine(&self, section: &Section) -> Option<QuarantineSettings> {
        let tracks_prompt_parts = self.0.value::<YesNo>(section, "prompt_parts");
        let released_requests = self.0.value::<CommaSeparated<RequestDigest>>(section, "released");
        let released_parts = self.0.value::<CommaSeparated<PartDigest>>(section, "released_parts");
        Some(QuarantineSettings {
            tracks_prompt_parts: tracks_prompt_parts?.0,
            released_requests: released_requests?.0,
            released_parts: released_parts?.0,
        })
    }
}
