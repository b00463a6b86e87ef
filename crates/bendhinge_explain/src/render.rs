//! Plain-text rendering of request reports.

use std::fmt::Write as _;

use bendhinge_codes::ResultCode;

use crate::{CrashRecord, Event, NearbyEvent, RelatedAttempts, RequestReport, SendAttempt, UpstreamSummary};

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
        Event::Request { request, route, outcome, status, code, ms, sends, ran, .. } => {
            writeln!(
                text,
                "{request} at {gateway}, route {route}: {outcome} with {status} after {ms} ms; ran: {ran}"
            )?;
            sends.iter().try_for_each(|send| write_send(text, send))?;
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
    let SendAttempt { upstream, why, load, at_ms, end } = send;
    let end = end.as_deref().unwrap_or("answered");
    writeln!(text, "  {at_ms:>6} ms  sent to {upstream} ({why}, {load:.1} requests believed there): {end}")
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
