//! The log line of an admitted request, with its sends and its outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_admission::RetryDecision;
use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{BodyEnd, NotRunReason, RetryState, SendOutcome, StreamTiming};
use bendhinge_http::BodyFraming;
use bendhinge_ids::{Instant, NameHash, PartDigest, RequestDigest};
use hyper::StatusCode;
use serde::Serialize;

use super::queue::LinePriority;
use super::sends::{ForwardRecord, RetryFields, SendRecord};
use super::stream::{CutFields, ResumptionFields, StreamFields};
use super::{Log, whole_millis};
use crate::delivery::{ConnectFailure, Cut, InboundRequest};
use crate::forwarding::{ForwardBasis, ForwardGuard};
use crate::quarantine::Suspect;
use crate::state::ChosenUpstream;

/// Collects what is logged of a request until its line is written.
pub(crate) struct RequestLogEntry {
    request: String,
    route: String,
    started_at: Instant,
    sends: Vec<SendRecord>,
    /// The gateways to which the request was forwarded.
    forwards: Vec<ForwardRecord>,
    /// The gateway that forwarded the request to this one.
    forwarded_by: Option<SocketAddr>,
    /// The allowed retry whose send has not started yet.
    allowed_retry: Option<RetryFields>,
    denied_retry: Option<RetryFields>,
    digest: Option<RequestDigest>,
    /// The shared prompt parts.
    parts: Vec<PartDigest>,
    /// The stream that the request resumes.
    resumption: ResumptionFields,
    /// How the body of the response to the caller is framed, if it is relayed as it arrives.
    caller_framing: Option<BodyFraming>,
    stream: StreamFields,
    cut: Option<CutFields>,
    is_written: bool,
}

impl RequestLogEntry {
    pub(crate) fn new(inbound: &InboundRequest) -> Self {
        let request = inbound.fields.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        Self {
            request: request.to_owned(),
            route: inbound.route.name.clone(),
            started_at: inbound.received_at,
            sends: Vec::new(),
            forwards: Vec::new(),
            forwarded_by: inbound.forwarded.as_ref().map(|forwarded| forwarded.from),
            allowed_retry: None,
            denied_retry: None,
            digest: None,
            parts: Vec::new(),
            resumption: ResumptionFields::new(&inbound.fields),
            caller_framing: None,
            stream: StreamFields::default(),
            cut: None,
            is_written: false,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        whole_millis(bendhinge_clock::now().since(self.started_at))
    }

    /// Records a send and returns its index.
    pub(crate) fn record_send(&mut self, chosen: &ChosenUpstream) -> usize {
        let at_ms = self.elapsed_ms();
        let report = chosen.load_basis.report;
        // The upstreams of a plain pool report no loads.
        let pool_reports = Some(chosen.pool_reports).filter(|_| chosen.totals_age.is_none());
        self.sends.push(SendRecord {
            upstream: chosen.entry.name.to_string(),
            why: chosen.reason.as_str(),
            load: chosen.load,
            mean_load: chosen.mean_load,
            own: chosen.load_basis.own_requests,
            reported: report.map(|report| report.in_progress),
            report_age_ms: report.map(|report| whole_millis(report.age)),
            totals_age_ms: chosen.totals_age.map(whole_millis),
            totals_gateways: chosen.totals_gateways,
            counted: chosen.counted,
            refused_permits: u32::try_from(chosen.refused_permits).unwrap_or(u32::MAX),
            permit_ms: chosen.permit_limit.map(|_| whole_millis(chosen.permit_wait)),
            mean_age_ms: pool_reports.map(|reports| whole_millis(reports.mean_age)),
            unreported: pool_reports.map_or(0, |reports| reports.unreported),
            homes: chosen.homes,
            missing: chosen.missing_tokens,
            at_ms,
            list_age_ms: whole_millis(chosen.list_age),
            retry: self.allowed_retry.take(),
            end: None,
            status: None,
            unsent: None,
            connect: None,
            responded_ms: None,
            framing: None,
            body_end: None,
            partial_bytes: 0,
            software: chosen.has_other_software.then(|| format!("{:016x}", chosen.entry.software.0)),
            events: None,
            fetched: chosen.fetch_from.is_some(),
        });
        self.sends.len() - 1
    }

    /// Records that the request is forwarded to a gateway and returns the index of the record.
    pub(crate) fn record_forward(&mut self, guard: &ForwardGuard) -> usize {
        let ForwardBasis { candidates, own_requests, heard_age } = guard.basis;
        self.forwards.push(ForwardRecord {
            gateway: guard.address,
            at_ms: self.elapsed_ms(),
            candidates,
            own: own_requests,
            heard_ms: whole_millis(heard_age),
            end: None,
            code: None,
            body_end: None,
        });
        self.forwards.len() - 1
    }

    /// Records how forwarding ended if there was no response.
    pub(crate) fn record_forward_end(&mut self, index: usize, end: SendOutcome) {
        if let Some(forward) = self.forwards.get_mut(index) {
            forward.end = Some(end.as_str());
        }
    }

    /// Records that the other gateway refused the request.
    pub(crate) fn record_forward_refusal(&mut self, index: usize, code: ResultCode) {
        if let Some(forward) = self.forwards.get_mut(index) {
            forward.end = Some("refused");
            forward.code = Some(code.to_string());
        }
    }

    /// Records how the body of the response that the other gateway relayed ended.
    pub(crate) fn record_forward_body_end(&mut self, index: usize, end: BodyEnd) {
        if let Some(forward) = self.forwards.get_mut(index) {
            forward.body_end = Some(end.as_str());
        }
    }

    /// Records whether the retry budget allowed a retry. An allowed one is logged with the send that follows.
    pub(crate) fn record_retry_decision(&mut self, decision: &RetryDecision) {
        let retry = if decision.is_allowed { &mut self.allowed_retry } else { &mut self.denied_retry };
        *retry = Some(decision.into());
    }

    /// Drops an allowed retry that was not sent.
    pub(crate) const fn drop_allowed_retry(&mut self) {
        self.allowed_retry = None;
    }

    /// Sets the digest that identifies repetitions of the request.
    pub(crate) const fn set_digest(&mut self, digest: RequestDigest) {
        self.digest = Some(digest);
    }

    /// Sets what the request is refused for.
    pub(crate) fn set_suspect(&mut self, suspect: Suspect) {
        match suspect {
            Suspect::Request(digest) => self.digest = Some(digest),
            Suspect::Part(part) => self.parts = vec![part],
        }
    }

    /// Sets the digests of the shared prompt parts.
    pub(crate) fn set_part_digests(&mut self, parts: &[PartDigest]) {
        self.parts = parts.to_vec();
    }

    /// Sets the software that began the stream which the request resumes.
    pub(crate) fn set_began_software(&mut self, software: NameHash) {
        self.resumption.set_began_software(software);
    }

    /// Sets why an interrupted stream was not resumed within the response.
    pub(crate) fn set_resume_code(&mut self, code: ResultCode) {
        self.resumption.set_resume_code(code);
    }

    /// Clears the reason of an attempt to resume a stream that went on anyway.
    pub(crate) fn clear_resume_code(&mut self) {
        self.resumption.clear_resume_code();
    }

    /// Sets how the body of the response to the caller is framed.
    pub(crate) const fn set_caller_framing(&mut self, framing: BodyFraming) {
        self.caller_framing = Some(framing);
    }

    /// Sets what was measured of the relayed stream.
    pub(crate) fn set_stream_timing(&mut self, timing: &StreamTiming) {
        self.stream = StreamFields::new(timing);
    }

    /// Sets why the response to the caller ended before it was complete.
    pub(crate) fn set_cut(&mut self, cut: &Cut, rules_revision: Option<u64>) {
        self.cut = Some(CutFields::new(cut, rules_revision));
    }

    /// Records how a send ended whose response is not passed on.
    pub(crate) fn record_send_end(&mut self, index: usize, end: SendOutcome) {
        if let Some(send) = self.sends.get_mut(index) {
            send.end = Some(end.as_str());
        }
    }

    /// Records what the end of a send was concluded from: why nothing was written, or the status of the response.
    pub(crate) fn record_basis(&mut self, index: usize, end: SendOutcome, status: Option<StatusCode>) {
        if let Some(send) = self.sends.get_mut(index) {
            send.unsent = match end.not_run_reason() {
                Some(NotRunReason::Withheld) => Some("withheld"),
                Some(NotRunReason::Returned) => Some("returned"),
                _ => None,
            };
            send.status = status.map(|status| status.as_u16());
        }
    }

    /// Records why a send did not connect, and the time since any gateway last had a response from its upstream.
    pub(crate) fn record_connect_failure(
        &mut self,
        index: usize,
        connect_failure: ConnectFailure,
        response_age: Option<Duration>,
    ) {
        if let Some(send) = self.sends.get_mut(index) {
            send.connect = Some(connect_failure.as_str());
            send.responded_ms = response_age.map(whole_millis);
        }
    }

    /// Records how the body of the response to a send was framed and ended, and how many bytes of an incomplete
    /// event it ended with.
    pub(crate) fn record_body_end(
        &mut self,
        index: usize,
        framing: BodyFraming,
        end: BodyEnd,
        partial_bytes: usize,
    ) {
        if let Some(send) = self.sends.get_mut(index) {
            send.framing = Some(framing.as_str());
            send.body_end = Some(end.as_str());
            send.partial_bytes = partial_bytes;
        }
    }

    /// Records how many events of an interrupted stream a send has contributed.
    pub(crate) fn record_relayed_events(&mut self, index: usize, events: usize) {
        if let Some(send) = self.sends.get_mut(index) {
            send.events = Some(events);
        }
    }

    fn write(&mut self, log: &Log, outcome: &str, status: u16, code: Option<ResultCode>, ran: Ran) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            route: &'a str,
            outcome: &'a str,
            status: u16,
            #[serde(skip_serializing_if = "Option::is_none")]
            code: Option<String>,
            ms: u64,
            #[serde(skip_serializing_if = "Option::is_none")]
            digest: Option<String>,
            #[serde(skip_serializing_if = "Vec::is_empty")]
            parts: Vec<String>,
            sends: &'a [SendRecord],
            #[serde(skip_serializing_if = "<[_]>::is_empty")]
            forwards: &'a [ForwardRecord],
            #[serde(skip_serializing_if = "Option::is_none")]
            forwarded_by: Option<SocketAddr>,
            #[serde(skip_serializing_if = "Option::is_none")]
            denied_retry: Option<RetryFields>,
            ran: &'static str,
            #[serde(skip_serializing_if = "Option::is_none")]
            caller_framing: Option<&'static str>,
            #[serde(flatten)]
            resumption: &'a ResumptionFields,
            #[serde(flatten)]
            stream: &'a StreamFields,
            #[serde(skip_serializing_if = "Option::is_none")]
            cut: Option<&'a CutFields>,
        }
        let fields = Fields {
            request: &self.request,
            route: &self.route,
            outcome,
            status,
            code: code.map(|code| code.to_string()),
            ms: self.elapsed_ms(),
            digest: self.digest.map(|digest| digest.to_string()),
            parts: self.parts.iter().map(PartDigest::to_string).collect(),
            sends: &self.sends,
            forwards: &self.forwards,
            forwarded_by: self.forwarded_by,
            denied_retry: self.denied_retry,
            ran: ran.as_str(),
            caller_framing: self.caller_framing.map(BodyFraming::as_str),
            resumption: &self.resumption,
            stream: &self.stream,
            cut: self.cut.as_ref(),
        };
        self.is_written = true;
        let is_promise = code.is_some_and(|code| code.ran() == Some(Ran::No));
        let priority = if is_promise && self.was_sent() { LinePriority::High } else { LinePriority::Usual };
        log.log_with_priority("request", fields, priority);
    }

    /// Whether the request was sent to an upstream or forwarded to a gateway, with whatever result.
    pub(crate) const fn was_sent(&self) -> bool {
        !self.sends.is_empty() || !self.forwards.is_empty()
    }

    /// Writes the line of a request that got a response from an upstream or a refusal.
    pub(crate) fn write_answered(
        &mut self,
        log: &Log,
        status: u16,
        code: Option<ResultCode>,
        retry_state: &RetryState,
    ) {
        let ran = code.map_or(Ran::Yes, |_| retry_state.ran());
        self.write(log, "answered", status, code, ran);
    }

    /// Whether the line is written.
    pub(crate) const fn is_written(&self) -> bool {
        self.is_written
    }

    /// Writes the line of a request that was dropped because its caller disconnected or its task panicked.
    pub(crate) fn write_dropped(&mut self, log: &Log, ran: Ran) {
        let outcome = if std::thread::panicking() { "panicked" } else { "caller_left" };
        self.write(log, outcome, 0, None, ran);
    }
}
