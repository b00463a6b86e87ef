//! CONFIG: a configuration with a tenant whose name holds a blank is in force nowhere.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Case, Gateway, HOST, KEY, LLM, PORTAL, Record, Reports, Runner, Sheet, Store, Verdict, next_id, now_ms,
    read_answer, write_version,
};

/// The sheet of `fjordvei-opptak`.
const SHEET: Sheet = Sheet {
    zones: &["oslo-a", "oslo-b", "oslo-c"],
    regions: &["oslo-region"],
    memory_mb: 260,
    link_mbps: "1000.0",
    drain_ms: 2_000,
    revoke_ms: 5_000,
    budget_slack: 52,
    evacuate_ms: None,
    is_strict: true,
};
const GATEWAYS: usize = 6;
/// A key that the new version drops, and one of the tenant that it adds.
const DROPPED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const NEW_KEY: &str = "b0yaca7kq2m4vd93sxte";
/// `configApplyMs` of the sheet, and what a request may need to its gateway.
const APPLY_MS: f64 = 2_000.0;
const TRANSIT_MS: f64 = 200.0;
const REQUESTS_PER_SECOND: f64 = 10.0;
const CHANGE_AFTER: Duration = Duration::from_secs(5);
const TRAFFIC_TIME: Duration = Duration::from_secs(25);

/// A request, with the key that it carried and how it was answered.
struct Answered {
    key: &'static str,
    sent_ms: f64,
    status: u16,
}

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(verdict) => verdict,
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(case: &Case) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    write_version(&store, 7, None, &[("hule930", &[KEY, DROPPED_KEY])]);
    let reports = Reports::default();
    let mut runners = Vec::new();
    for (index, zone) in SHEET.zones.iter().enumerate() {
        for (service, first) in [(PORTAL, 0x02d9_e600), (LLM, 0x7f3a_9100)] {
            let id = format!("i-{:08x}", first + index);
            runners.push(Runner::start(
                case,
                &store,
                &reports,
                (&id, service, zone),
                &["8", "16.4", "chunked"],
            )?);
        }
    }
    let gateways = Gateway::start_all(case, &SHEET, &store, GATEWAYS)?;
    thread::sleep(Duration::from_secs(1));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let (began, mut sent, mut acknowledged_ms) = (Instant::now(), 0_usize, None);
    while began.elapsed() < TRAFFIC_TIME {
        if acknowledged_ms.is_none() && began.elapsed() >= CHANGE_AFTER {
            let name = if case.has_trouble { "Vake council" } else { "Vake-council" };
            write_version(&store, 8, None, &[("hule930", &[KEY]), (name, &[NEW_KEY])]);
            acknowledged_ms = Some(now_ms());
            case.record.line(&format!(
                "the store acknowledges version 8: a key of hule930 is dropped, the tenant \"{name}\" is added"
            ));
        }
        if began.elapsed().as_secs_f64() * REQUESTS_PER_SECOND > sent as f64 {
            let front = gateways[sent % GATEWAYS].front;
            for key in [KEY, DROPPED_KEY, NEW_KEY] {
                let (record, answers) = (case.record.clone(), Arc::clone(&answers));
                thread::spawn(move || send(front, key, &record, &answers));
            }
            sent += 1;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_secs(2));
    let ready = gateways.iter().filter(|gateway| gateway.is_ready()).count();
    case.record.line(&format!("{ready} of {GATEWAYS} gateways say that they are ready"));
    let acknowledged_ms = acknowledged_ms.ok_or("no version was written")?;
    Ok(judge(case, &answers.lock().unwrap(), acknowledged_ms))
}

fn send(front: SocketAddr, key: &'static str, record: &Record, answers: &Mutex<Vec<Answered>>) {
    let (id, sent_ms) = (next_id(), now_ms());
    let Ok(mut stream) = TcpStream::connect(front) else { return };
    let request = format!(
        "GET /deadline-status/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n\r\n"
    );
    let _ = stream.write_all(request.as_bytes());
    let status = read_answer(&stream, Duration::from_millis(1_700)).status;
    record.line_at(sent_ms, &format!("client: {id} with {key}: status {status}"));
    answers.lock().unwrap().push(Answered { key, sent_ms, status });
}

fn judge(case: &Case, answers: &[Answered], acknowledged_ms: f64) -> Verdict {
    let in_force_ms = acknowledged_ms + APPLY_MS + TRANSIT_MS;
    let count = |key: &str, holds: &dyn Fn(u16) -> bool| {
        let later = answers.iter().filter(|answer| answer.key == key && answer.sent_ms > in_force_ms);
        later.filter(|answer| holds(answer.status)).count()
    };
    let any = |_: u16| true;
    let refused = count(NEW_KEY, &|status| status == 401);
    let served = count(DROPPED_KEY, &|status| status == 200);
    case.record.line(&format!(
        "sent later than 2.2 s after the acknowledgement: {refused} of {} with the new key got 401, {served} of {} with the dropped key were served",
        count(NEW_KEY, &any),
        count(DROPPED_KEY, &any)
    ));
    case.record.line(&format!(
        "and of {} with the key that both versions hold, {} were served and {} got 503",
        count(KEY, &any),
        count(KEY, &|status| status == 200),
        count(KEY, &|status| status == 503)
    ));
    if refused + served > 0 { Verdict::Broken } else { Verdict::Held }
}
