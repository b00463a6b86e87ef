//! Writing a request's story down.

use std::fmt::Write as _;

use bendhinge_codes::ResultCode;

use crate::{Backdrop, CrashRecord, Event, SameRequest, Send, Story, UpstreamRecord};

/// The story as text of several lines.
#[must_use]
pub fn tell(story: &Story) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_story(&mut text, story);
    text
}

fn write_story(text: &mut String, story: &Story) -> std::fmt::Result {
    let gateway = &story.entry.gateway;
    match &story.entry.event {
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
    story.backdrop.iter().try_for_each(|backdrop| write_backdrop(text, backdrop))?;
    story.upstreams.iter().try_for_each(|record| write_record(text, record))?;
    story.same.iter().try_for_each(|same| write_same(text, same))
}

fn write_same(text: &mut String, same: &SameRequest) -> std::fmt::Result {
    let SameRequest { digest, crashes, refused } = same;
    writeln!(
        text,
        "  the same request, {digest}: {} upstreams crashed, {refused} tries refused",
        crashes.len()
    )?;
    crashes.iter().try_for_each(|crash| {
        let CrashRecord { gateway, request, upstream } = crash;
        writeln!(text, "    {upstream} under {request} at {gateway}")
    })
}

fn write_send(text: &mut String, send: &Send) -> std::fmt::Result {
    let Send { upstream, why, load, at_ms, end } = send;
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

fn write_backdrop(text: &mut String, backdrop: &Backdrop) -> std::fmt::Result {
    let at = backdrop.after_ms;
    match &backdrop.event {
        Event::Belief { what, revision, from } => {
            writeln!(text, "  {at:>+6} ms  {what} of revision {revision}, from {from}")
        }
        Event::Dependency { what, there: true, .. } => writeln!(text, "  {at:>+6} ms  {what} is there again"),
        Event::Dependency { what, detail, .. } => writeln!(text, "  {at:>+6} ms  {what} is lost: {detail}"),
        Event::LinesDropped { dropped } => writeln!(text, "  {at:>+6} ms  {dropped} lines are missing here"),
        _ => Ok(()),
    }
}

fn write_record(text: &mut String, record: &UpstreamRecord) -> std::fmt::Result {
    let UpstreamRecord { name, sends, ends, rests } = record;
    write!(text, "  {name} in all logs: {sends} sends")?;
    for (end, times) in ends {
        write!(text, ", {times} {end}")?;
    }
    writeln!(text, "; spared {rests} times")
}
