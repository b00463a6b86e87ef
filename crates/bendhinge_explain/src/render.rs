//! Plain-text rendering of request reports.

use std::fmt::Write as _;

use bendhinge_codes::ResultCode;

use crate::{
    ConcurrentSend, CrashRecord, Cut, Event, ForwardAttempt, NearbyEvent, PauseCause, RelatedAttempts,
    RequestReport, Resumption, SendAttempt, StreamMeasurements, UpstreamSummary, pause_cause,
};

/// Formats a report as multi-line text.
#[must_use]
pub fn render(report: &RequestReport) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &RequestReport) -> std::fmt::Result {
    let gateway = &report.entry.gateway;
    match &report.entry.event {
        Event::Request {
            request,
            route,
            outcome,
            status,
            code,
            ms,
            sends,
            forwards,
            forwarded_by,
            ran,
            resumption,
            stream,
            cut,
            ..
        } => {
            writeln!(
                text,
                "{request} at {gateway}, route {route}: {outcome} with {status} after {ms} ms; ran: {ran}"
            )?;
            if let Some(gateway) = forwarded_by {
                writeln!(text, "  forwarded by the gateway at {gateway}")?;
            }
            write_resumption(text, resumption)?;
            sends.iter().try_for_each(|send| write_send(text, send))?;
            forwards.iter().try_for_each(|forward| write_forward(text, forward))?;
            write_stream(text, stream, sends)?;
            report.concurrent_sends.iter().try_for_each(|send| write_concurrent_send(text, send))?;
            cut.iter().try_for_each(|cut| write_cut(text, cut))?;
            write_code(text, code.as_deref())?;
        }
        Event::Refused { request, code, rules_age_ms, .. } => {
            writeln!(text, "{request} at {gateway}: not sent to any upstream")?;
            match rules_age_ms {
                Some(age) => writeln!(text, "  the rules were known to be current {age} ms before")?,
                None => writeln!(text, "  no rules were known yet")?,
            }
            write_code(text, Some(code))?;
        }
        _ => {}
    }
    report.nearby_events.iter().try_for_each(|nearby| write_nearby_event(text, nearby))?;
    report.upstreams.iter().try_for_each(|summary| write_upstream_summary(text, summary))?;
    report.related_attempts.iter().try_for_each(|related| write_related_attempts(text, related))
}

fn write_related_attempts(text: &mut String, related: &RelatedAttempts) -> std::fmt::Result {
    let RelatedAttempts { digest, crashes, refused_count } = related;
    writeln!(
        text,
        "  the same request, {digest}: {} upstreams crashed, {refused_count} tries refused",
        crashes.len()
    )?;
    crashes.iter().try_for_each(|crash| {
        let CrashRecord { gateway, request, upstream } = crash;
        writeln!(text, "    {upstream} under {request} at {gateway}")
    })
}

fn write_send(text: &mut String, send: &SendAttempt) -> std::fmt::Result {
    let SendAttempt { upstream, why, load, at_ms, end, responded_ms, framing, body_end, .. } = send;
    let end = end.as_deref().unwrap_or("answered");
    write!(text, "  {at_ms:>6} ms  sent to {upstream} ({why}, {load:.1} requests believed there): {end}")?;
    if let Some(reason) = send.connect.as_ref().or(send.unsent.as_ref()) {
        write!(text, " ({reason})")?;
    }
    if let Some(status) = send.status {
        write!(text, " with {status}")?;
    }
    if let Some(age) = responded_ms {
        write!(text, ", it had responded to a gateway {age} ms before")?;
    }
    if let (Some(framing), Some(body_end)) = (framing, body_end)
        && (framing == "close" || body_end != "complete")
    {
        write!(text, ", body {body_end} (framing: {framing})")?;
    }
    if let Some(events) = send.events {
        write!(text, ", {events} events relayed")?;
    }
    if let Some(software) = &send.software {
        write!(text, ", software {software}")?;
    }
    writeln!(text)
}

fn write_resumption(text: &mut String, resumption: &Resumption) -> std::fmt::Result {
    let Resumption { resumes, resume_after, began_software, resume_code } = resumption;
    if let Some(event) = resume_after {
        let request = resumes.as_deref().unwrap_or("a request that the caller does not name");
        write!(text, "  resumes the stream of {request} after event {event}")?;
        match began_software {
            Some(software) => writeln!(text, ", which software {software} began")?,
            None => writeln!(text)?,
        }
    }
    if let Some(code) = resume_code {
        writeln!(text, "  not resumed within the response: {code}")?;
    }
    Ok(())
}

fn write_cut(text: &mut String, cut: &Cut) -> std::fmt::Result {
    let Cut { by, silent_ms, not_resumed, rules } = cut;
    write!(text, "  cut by {by} after {silent_ms} ms without data, not resumed because of {not_resumed}")?;
    match rules {
        Some(revision) => writeln!(text, ", under rules of revision {revision}"),
        None => writeln!(text),
    }
}

fn write_forward(text: &mut String, forward: &ForwardAttempt) -> std::fmt::Result {
    let ForwardAttempt { gateway, at_ms, end, code } = forward;
    let end = end.as_deref().unwrap_or("answered");
    write!(text, "  {at_ms:>6} ms  forwarded to the gateway at {gateway}: {end}")?;
    if let Some(code) = code {
        write!(text, " with {code}")?;
    }
    writeln!(text)
}

fn write_stream(text: &mut String, stream: &StreamMeasurements, sends: &[SendAttempt]) -> std::fmt::Result {
    if let Some(at_ms) = stream.first_event_ms {
        writeln!(text, "  {at_ms:>6} ms  first event of the stream")?;
    }
    let (Some(at_ms), Some(length_ms)) = (stream.pause_at_ms, stream.pause_ms) else { return Ok(()) };
    let Some(cause) = pause_cause(stream, sends) else { return Ok(()) };
    write!(text, "  {at_ms:>6} ms  longest pause, {length_ms} ms: ")?;
    match cause {
        PauseCause::Resumption => writeln!(text, "the stream was resumed at another upstream"),
        PauseCause::OtherWork { requests, tokens } => {
            writeln!(
                text,
                "{requests} other sends of this box there had no first event yet, {tokens} prompt tokens"
            )
        }
        PauseCause::Retransmission => {
            writeln!(text, "no other work of this box there; as long as one lost packet takes")
        }
        PauseCause::Unknown => {
            writeln!(text, "no other work of this box there, and not as long as one lost packet takes")
        }
    }
}

fn write_concurrent_send(text: &mut String, send: &ConcurrentSend) -> std::fmt::Result {
    let ConcurrentSend { request, sent_ms, first_event_ms } = send;
    match first_event_ms {
        Some(at_ms) => {
            writeln!(text, "             {request}: sent at {sent_ms} ms, first event at {at_ms} ms")
        }
        None => writeln!(text, "             {request}: sent at {sent_ms} ms, no event"),
    }
}

fn write_code(text: &mut String, code: Option<&str>) -> std::fmt::Result {
    let Some(code) = code else { return writeln!(text, "  the answer is the upstream's own") };
    match ResultCode::ALL.iter().find(|known| known.to_string() == code) {
        Some(known) => writeln!(text, "  {code}: {} {}", known.means(), known.action()),
        None => writeln!(text, "  {code}: a code that this program does not know"),
    }
}

fn write_nearby_event(text: &mut String, nearby: &NearbyEvent) -> std::fmt::Result {
    let at = nearby.offset_ms;
    match &nearby.event {
        Event::Belief { what, revision, from } => {
            writeln!(text, "  {at:>+6} ms  {what} of revision {revision}, from {from}")
        }
        Event::Dependency { what, there: true, .. } => writeln!(text, "  {at:>+6} ms  {what} is there again"),
        Event::Dependency { what, detail, .. } => writeln!(text, "  {at:>+6} ms  {what} is lost: {detail}"),
        Event::Partition { pool, partitioned: true } => {
            writeln!(text, "  {at:>+6} ms  the upstreams of {pool} are no longer reached")
        }
        Event::Partition { pool, .. } => {
            writeln!(text, "  {at:>+6} ms  the upstreams of {pool} are reached again")
        }
        Event::LinesDropped { dropped } => writeln!(text, "  {at:>+6} ms  {dropped} lines are missing here"),
        _ => Ok(()),
    }
}

fn write_upstream_summary(text: &mut String, summary: &UpstreamSummary) -> std::fmt::Result {
    let UpstreamSummary { name, send_count, end_counts, backoff_count } = summary;
    write!(text, "  {name} in all logs: {send_count} sends")?;
    for (end, count) in end_counts {
        write!(text, ", {count} {end}")?;
    }
    writeln!(text, "; spared {backoff_count} times")
}
