//! Log lines about requests and prompt parts under which upstreams crashed.

use std::net::SocketAddr;

use bendhinge_fleet::Evidence;
use bendhinge_ids::{PartDigest, RequestDigest, UpstreamName};
use serde::Serialize;

use super::Log;

impl Log {
    /// Logs that an upstream crashed while it processed a request, and the request's number of crashes.
    pub(crate) fn upstream_crashed(
        &self,
        request: &str,
        digest: RequestDigest,
        upstream: &UpstreamName,
        crashes: usize,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            digest: String,
            upstream: &'a str,
            crashes: usize,
        }
        let fields = Fields { request, digest: digest.to_string(), upstream: upstream.as_str(), crashes };
        self.log_event("crash", fields);
    }

    /// Logs a change of a request's crash count that another gateway reported.
    pub(crate) fn suspicion_received(&self, digest: RequestDigest, crashes: usize, peer: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            digest: String,
            crashes: usize,
            told_by: SocketAddr,
        }
        self.log_event("suspicion_heard", Fields { digest: digest.to_string(), crashes, told_by: peer });
    }

    /// Logs that a request's crash count was cleared, with its last value.
    pub(crate) fn suspicion_cleared(&self, digest: RequestDigest, why: &str, crashes: usize) {
        #[derive(Serialize)]
        struct Fields<'a> {
            digest: String,
            why: &'a str,
            crashes: usize,
        }
        self.log_event("suspicion_over", Fields { digest: digest.to_string(), why, crashes });
    }

    /// Logs that an upstream crashed while it processed a request with a part that is suspected, and the evidence.
    pub(crate) fn upstream_crashed_under_part(
        &self,
        request: &str,
        part: PartDigest,
        upstream: &UpstreamName,
        evidence: Evidence,
        is_blamed: bool,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            part: String,
            upstream: &'a str,
            crashes: usize,
            requests: usize,
            blamed: bool,
        }
        let Evidence { consecutive_crashes: crashes, requests } = evidence;
        let (part, upstream) = (part.to_string(), upstream.as_str());
        self.log_event(
            "part_crash",
            Fields { request, part, upstream, crashes, requests, blamed: is_blamed },
        );
    }

    /// Logs a change of the evidence against a part that another gateway reported.
    pub(crate) fn part_suspicion_received(
        &self,
        part: PartDigest,
        evidence: Evidence,
        is_blamed: bool,
        peer: SocketAddr,
    ) {
        #[derive(Serialize)]
        struct Fields {
            part: String,
            crashes: usize,
            requests: usize,
            blamed: bool,
            told_by: SocketAddr,
        }
        let Evidence { consecutive_crashes: crashes, requests } = evidence;
        let fields = Fields { part: part.to_string(), crashes, requests, blamed: is_blamed, told_by: peer };
        self.log_event("part_suspicion_heard", fields);
    }

    /// Logs that the crashes under a part do not count any more.
    pub(crate) fn part_suspicion_cleared(&self, part: PartDigest, why: &str) {
        #[derive(Serialize)]
        struct Fields<'a> {
            part: String,
            why: &'a str,
        }
        self.log_event("part_suspicion_over", Fields { part: part.to_string(), why });
    }
}
