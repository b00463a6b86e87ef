//! EVAC: an evacuation that the store has acknowledged is never in force.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Case, Gateway, LLM, Record, Reports, RunnerPool, STORE_DELAY_MS, Sheet, Store, Verdict, next_id, now_ms,
    read_answer, request_text, write_configuration, write_entry,
};

/// The sheet of `dalriada-yard-grown`.
const SHEET: Sheet = Sheet {
    zones: &["scot-central-a", "scot-central-b", "scot-central-c"],
    regions: &["scot-central"],
    memory_mb: 512,
    link_mbps: "200.0",
    drain_ms: 3_000,
    revoke_ms: 5_000,
    budget_slack: 170,
    evacuate_ms: Some(5_000),
    is_strict: true,
};
const GATEWAYS: usize = 6;
/// 140 runners of the sheet, and what two `scale_out` of a quarter add to them.
const RUNNERS: usize = 216;
const EVACUATED: &str = "scot-central-b";
/// `platform_slow`: how many times as long answers take, and for how long.
const SLOW_FACTOR: u64 = 60;
const SLOW_TIME: Duration = Duration::from_millis(4_500);
const REQUESTS_PER_SECOND: f64 = 60.0;
/// The bounds of the sheet, and what a request may need from its gateway to a runner.
const EVACUATE_MS: f64 = 5_000.0;
const CONTACT_MS: f64 = 4_000.0;
const TRANSIT_MS: f64 = 500.0;
const WATCHED: Duration = Duration::from_secs(25);

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(verdict) => verdict,
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(case: &Case) -> Result<Verdict, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    write_configuration(&store, None);
    let reports = Reports::default();
    let pool = RunnerPool::start(case, &reports, RUNNERS, &["8", "16.4", "chunked"])?;
    let zones: BTreeMap<&str, &str> = pool
        .runners
        .iter()
        .enumerate()
        .map(|(index, (id, _))| (id.as_str(), SHEET.zones[index % 3]))
        .collect();
    let (last, listed) = pool.runners.split_last().ok_or("no runners")?;
    for (id, address) in listed {
        write_entry(&store, (id, LLM, zones[id.as_str()]), *address, "ready");
    }
    let gateways = Gateway::start_all(case, &SHEET, &store, GATEWAYS)?;
    thread::sleep(Duration::from_secs(3));

    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let traffic = {
        let (is_over, served, record) = (Arc::clone(&is_over), Arc::clone(&served), case.record.clone());
        thread::spawn(move || send_requests(&fronts, &is_over, &served, &record))
    };
    thread::sleep(Duration::from_secs(3));
    let slow_from = Instant::now();
    if case.has_trouble {
        case.record.line(&format!("platform_slow begins: {SLOW_FACTOR} times as long"));
        store.set_delay_ms(STORE_DELAY_MS * SLOW_FACTOR);
    }
    thread::sleep(Duration::from_secs(1));
    let (id, address) = last;
    let revision = write_entry(&store, (id, LLM, zones[id.as_str()]), *address, "ready");
    case.record
        .line(&format!("the last runner of a scale_out, {id}, is in the store at revision {revision}"));
    // The evacuation comes while the answer to a read that shows the new runner is under way.
    if !store.wait_for_range(revision, Duration::from_secs(3)) {
        return Err("no gateway has read the store within 3 s".to_owned());
    }
    thread::sleep(Duration::from_millis(STORE_DELAY_MS * SLOW_FACTOR / 2));
    let revision = store.put(&format!("op/evacuate/{EVACUATED}"), "{}");
    let evacuated_ms = now_ms();
    case.record.line(&format!("the store acknowledges the evacuation of {EVACUATED} at revision {revision}"));
    thread::sleep(SLOW_TIME.saturating_sub(slow_from.elapsed()));
    store.set_delay_ms(STORE_DELAY_MS);
    let calm_ms = now_ms();
    if case.has_trouble {
        case.record.line("platform_slow ends");
    }
    let calls = store.calls();
    thread::sleep(WATCHED);
    case.record.line(&format!(
        "{} calls to the store since, in {} s",
        store.calls() - calls,
        WATCHED.as_secs()
    ));
    is_over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(1));

    let served = served.load(Ordering::SeqCst);
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    let in_force_ms = (evacuated_ms + EVACUATE_MS).max(calm_ms + CONTACT_MS) + TRANSIT_MS;
    let reports = reports.lock().unwrap();
    let late = reports.iter().filter(|report| matches!(report.what.as_str(), "begin" | "resume"));
    let late: Vec<_> = late
        .filter(|report| report.at_ms > in_force_ms && zones.get(report.runner.as_str()) == Some(&EVACUATED))
        .collect();
    case.record.line(&format!(
        "{served} requests served; {} reached {EVACUATED} later than {:.1} s after the evacuation was acknowledged",
        late.len(),
        (in_force_ms - evacuated_ms) / 1_000.0
    ));
    for report in late.iter().take(5) {
        let after = (report.at_ms - evacuated_ms) / 1_000.0;
        case.record.line(&format!("EVAC: {} reached {} {after:.1} s after", report.request, report.runner));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn send_requests(fronts: &[SocketAddr], is_over: &AtomicBool, served: &Arc<AtomicUsize>, record: &Record) {
    let began = Instant::now();
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        if began.elapsed().as_secs_f64() * REQUESTS_PER_SECOND > sent as f64 {
            let front = fronts[sent % fronts.len()];
            let (record, served) = (record.clone(), Arc::clone(served));
            thread::spawn(move || {
                let id = next_id();
                let Ok(mut stream) = TcpStream::connect(front) else { return };
                let _ = stream.write_all(request_text(&id, "/quota-query/a", 4_000, true).as_bytes());
                let answer = read_answer(&stream, Duration::from_millis(2_400));
                record.line(&format!(
                    "client: {id} to {front}: status {}, complete {}",
                    answer.status, answer.is_complete
                ));
                if answer.is_complete && answer.status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                }
            });
            sent += 1;
        }
        thread::sleep(Duration::from_millis(4));
    }
}
