//! What a gateway promises callers and upstreams, fault by fault.

mod gateway_common;

use bendhinge_lab::gateways::{Call, FleetShape, KEY, RULES, Told, until};
use bendhinge_standin::gateway::{Upstream, UpstreamFault};
use gateway_common::{PATIENCE, RawEnd, RawUpstream, call, run, send, send_raw, smallest, start};

#[test]
fn every_kind_of_request_is_served_as_it_was_sent() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        for path in ["/safe/x", "/unsafe/x", "/open/x", "/stream/x", "/resumable/x"] {
            let is_stream = path == "/stream/x" || path == "/resumable/x";
            let mut call = if is_stream { Call::stream(path, KEY) } else { call(path) };
            call.body = "a body".repeat(500);
            assert_eq!(send(&fleet, &call).await.told, Told::Whole, "{path}");
            let runs: Vec<_> = fleet.upstreams.iter().flat_map(Upstream::runs).collect();
            let run = runs.iter().find(|run| run.request == call.id).unwrap();
            assert_eq!(run.body, call.body);
            assert_eq!(run.path, path);
            assert_eq!(run.customer.as_deref(), Some("one"));
            assert!(!run.carried_key);
        }
    });
}

#[test]
fn what_is_refused_and_how() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        let with = |change: fn(&mut Call)| {
            let mut call = call("/safe/x");
            change(&mut call);
            call
        };
        let cases = [
            (with(|call| call.path = "/nowhere/x"), 404, "BH0203"),
            (with(|call| call.host = "other.example"), 404, "BH0203"),
            (with(|call| call.key = None), 401, "BH0202"),
            (with(|call| call.key = Some("key-none".to_owned())), 401, "BH0202"),
            (with(|call| call.prompt = Some("no list".to_owned())), 400, "BH0201"),
            (with(|call| call.body = "x".repeat(5 << 20)), 413, "BH0204"),
        ];
        for (call, status, code) in cases {
            let answer = send(&fleet, &call).await;
            assert_eq!(answer.told, Told::Status(status), "{code}");
            assert_eq!(answer.code(), Some(code));
            assert_eq!(answer.ran(), Some("no"));
            assert_eq!(fleet.runs_of(&call.id), 0);
        }
    });
}

#[test]
fn framing_that_two_readers_could_read_differently_runs_nothing_hidden() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        let start =
            "POST /unsafe/x HTTP/1.1\r\nx-bendhinge-request: outer\r\nauthorization: Bearer key-one\r\n";
        let hidden = "POST /unsafe/x HTTP/1.1\r\nhost: fleet.example\r\nx-bendhinge-request: hidden\r\n\
                      authorization: Bearer key-one\r\ncontent-length: 0\r\n\r\n";
        let host = "host: fleet.example\r\n";
        let length = hidden.len();
        let cases = [
            format!("{start}content-length: 0\r\n\r\n"),
            format!("{start}{host}host: other.example\r\ncontent-length: 0\r\n\r\n"),
            format!("{start}{host}content-length: 0\r\ncontent-length: {length}\r\n\r\n{hidden}"),
            format!(
                "{start}{host}content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
            ),
            format!(
                "{start}{host}transfer-encoding: chunked\r\ncontent-length: {length}\r\n\r\n0\r\n\r\n{hidden}"
            ),
            format!("{start}{host}transfer-encoding: identity, chunked\r\n\r\n0\r\n\r\n"),
        ];
        for (number, case) in cases.iter().enumerate() {
            // Read until the connection is closed, so that whatever stands behind had its chance.
            let answer = send_raw(&fleet, case.as_bytes(), "").await;
            let answers = answer.matches("HTTP/1.1 ").count();
            let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 400");
            assert!(is_refused || answer.contains("connection: close"), "case {number}: {answer}");
            assert!(answers <= 1, "case {number}: {answer}");
            assert_eq!(fleet.runs_of("hidden"), 0, "case {number}");
        }
    });
}

struct Fate {
    fault: UpstreamFault,
    /// What callers of safe and of unsafe routes are told, with how often each ran.
    safe: (Told, usize),
    unsafe_: (Told, usize),
}

#[test]
fn three_outcomes_never_two() {
    use UpstreamFault::{Crossed, Failed, Full, Lost, Unclear, Unsigned};
    let fates = [
        Fate { fault: Full, safe: (Told::Status(503), 0), unsafe_: (Told::Status(503), 0) },
        Fate { fault: Lost, safe: (Told::Status(502), 2), unsafe_: (Told::Status(502), 1) },
        Fate { fault: Crossed, safe: (Told::Status(502), 2), unsafe_: (Told::Status(502), 1) },
        Fate { fault: Unsigned, safe: (Told::Status(502), 2), unsafe_: (Told::Status(502), 1) },
        Fate { fault: Failed, safe: (Told::Status(500), 2), unsafe_: (Told::Status(500), 1) },
        Fate { fault: Unclear, safe: (Told::Status(502), 2), unsafe_: (Told::Status(502), 1) },
    ];
    run(|tasks| async move {
        for fate in fates {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 3 }).await;
            fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(fate.fault));
            for (path, (told, runs)) in [("/safe/x", &fate.safe), ("/unsafe/x", &fate.unsafe_)] {
                let call = call(path);
                let answer = send(&fleet, &call).await;
                assert_eq!(answer.told, *told, "{:?} {path}", fate.fault);
                assert_eq!(fleet.runs_of(&call.id), *runs, "{:?} {path}", fate.fault);
            }
        }
    });
}

/// Bytes that an upstream answers with, and what the caller is told.
struct RawCase {
    answer: &'static str,
    end: RawEnd,
    /// How many bytes of the request's body are read first.
    reads: usize,
    told: &'static str,
}

const ALL: usize = usize::MAX;

#[test]
fn an_upstreams_bytes_are_an_answer_or_are_not() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n";
    let leak = |text: String| -> &'static str { Box::leak(text.into_boxed_str()) };
    let case = |answer: String, end, reads, told| RawCase { answer: leak(answer), end, reads, told };
    let cases = [
        case(format!("{HEAD}content-length: 5\r\n\r\nwhole"), RawEnd::Keep, ALL, "200 whole"),
        case(format!("{HEAD}\r\nwhole"), RawEnd::Close, ALL, "200 whole"),
        case(format!("{HEAD}\r\nwhole"), RawEnd::Reset, 10, "502"),
        case(format!("{HEAD}content-length: 9\r\n\r\nwhole"), RawEnd::Close, ALL, "502"),
        case(format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n"), RawEnd::Close, ALL, "502"),
        case(format!("{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n"), RawEnd::Keep, ALL, "502"),
        case("no answer at all\r\n\r\n".to_owned(), RawEnd::Keep, ALL, "502"),
        case(String::new(), RawEnd::Close, ALL, "502"),
        case(HEAD.replace("{id}", "another") + "content-length: 5\r\n\r\nwhole", RawEnd::Keep, ALL, "502"),
        case(
            format!("{HEAD}content-length: 5\r\n\r\nwhole{HEAD}content-length: 1\r\n\r\nx"),
            RawEnd::Keep,
            ALL,
            "200 whole",
        ),
    ];
    run(|tasks| async move {
        for (number, case) in cases.into_iter().enumerate() {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
            let raw = RawUpstream::start(&tasks, case.answer, case.end, case.reads).await;
            fleet.store.add("raw", "services", raw.address);
            let request = |id: &str| {
                let body = "x".repeat(200_000);
                format!(
                    "POST /unsafe/x HTTP/1.1\r\nhost: fleet.example\r\nx-bendhinge-request: {id}\r\n\
                     authorization: Bearer key-one\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            let answered = async || {
                let answer = send_raw(&fleet, request("known").as_bytes(), "\r\n\r\n").await;
                !answer.starts_with("HTTP/1.1 503")
            };
            until(answered).await;
            let (status, body) = case.told.split_once(' ').unwrap_or((case.told, "\"ran\""));
            let answer = send_raw(&fleet, request("mine").as_bytes(), body).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "case {number}: {answer}");
            assert!(answer.contains(body), "case {number}: {answer}");
            let runs = raw.requests().iter().filter(|head| head.contains("request: mine")).count();
            assert_eq!(runs, 1, "case {number}: an unsafe request is sent once");
            assert!(!raw.requests().iter().any(|head| head == "FOREIGN BYTES"), "case {number}");
        }
    });
}

#[test]
fn an_answer_before_the_end_of_a_long_body_leaves_no_foreign_bytes_behind_it() {
    const EARLY: &str = "HTTP/1.1 503 Full\r\nx-bendhinge-request: {id}\r\nx-bendhinge-ran: no\r\n\
                         content-length: 0\r\n\r\n";
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
        let raw = RawUpstream::start(&tasks, EARLY, RawEnd::Keep, 1_000).await;
        fleet.store.add("raw", "services", raw.address);
        let mut call = call("/unsafe/x");
        call.body = "x".repeat(3 << 20);
        until(async || {
            send(&fleet, &call).await;
            raw.requests().len() >= 6
        })
        .await;
        assert!(!raw.requests().iter().any(|head| head == "FOREIGN BYTES"));
    });
}

#[test]
fn a_stream_that_breaks_off_goes_on_elsewhere_where_it_may() {
    run(|tasks| async move {
        for fault in [UpstreamFault::BreaksOff(3), UpstreamFault::Stalls(3)] {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
            let call = Call::stream("/resumable/x", KEY);
            // Whichever engine gets the stream first breaks it off.
            let first = async || {
                for (breaking, sound) in [(0, 1), (1, 0)] {
                    fleet.upstreams[breaking].set_fault(fault);
                    fleet.upstreams[sound].set_fault(UpstreamFault::None);
                    let call = Call { id: format!("{}{breaking}", call.id), ..call.clone() };
                    assert_eq!(send(&fleet, &call).await.told, Told::Whole, "{fault:?}");
                    let resumed = fleet.upstreams[sound].runs();
                    if resumed.iter().any(|run| run.resumed_after.as_deref() == Some("2")) {
                        assert_eq!(fleet.runs_of(&call.id), 2);
                        return true;
                    }
                }
                false
            };
            until(first).await;
        }
    });
}

#[test]
fn a_stream_that_may_not_go_on_elsewhere_looks_cut() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::BreaksOff(3)));
        let call = Call::stream("/stream/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Broken);
        assert_eq!(fleet.runs_of(&call.id), 1);
    });
}

#[test]
fn a_caller_that_leaves_frees_the_upstream() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.upstreams[1].set_fault(UpstreamFault::Silent);
        fleet.upstreams[0].set_fault(UpstreamFault::Stalls(2));
        for (upstream, call) in [(1, call("/unsafe/x")), (0, Call::stream("/stream/x", KEY))] {
            let caller = fleet.caller();
            let address = fleet.callers(0);
            let id = call.id.clone();
            let calling = tasks.spawn(async move { caller.send(address, &call, PATIENCE).await });
            until(async || fleet.runs_of(&id) == 1).await;
            assert_eq!(fleet.upstreams[upstream].working(), 1);
            calling.cancel().await;
            until(async || fleet.upstreams[upstream].working() == 0).await;
        }
    });
}

#[test]
fn what_came_to_a_known_address_is_not_taken_for_the_upstream() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 2 }).await;
        fleet.upstreams[0].rename("somebody-else");
        for _ in 0..20 {
            let call = call("/unsafe/x");
            assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        }
        assert!(fleet.upstreams[0].runs().is_empty());
    });
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 2, engines: 0, services: 2 }).await;
        fleet.store.drain("services-0");
        let at_the_first = async || {
            let before = fleet.upstreams[0].runs().len();
            for gateway in [0, 1] {
                for _ in 0..8 {
                    let answer =
                        fleet.caller().send(fleet.callers(gateway), &call("/safe/x"), PATIENCE).await;
                    assert_eq!(answer.told, Told::Whole);
                }
            }
            fleet.upstreams[0].runs().len() - before
        };
        until(async || at_the_first().await == 0).await;
        assert_eq!(at_the_first().await, 0, "and none later");
    });
}

#[test]
fn new_rules_are_in_force_at_every_gateway_and_a_removed_key_at_none() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 3, engines: 0, services: 1 }).await;
        fleet.store.put_rules(&RULES.replace("keys = key-one, key-two", "keys = key-one"));
        for gateway in 0..3 {
            let address = fleet.callers(gateway);
            let refused = async || {
                let answer = fleet.caller().send(address, &Call::new("/safe/x", "key-two"), PATIENCE).await;
                answer.told == Told::Status(401)
            };
            until(refused).await;
            let kept = fleet.caller().send(address, &call("/safe/x"), PATIENCE).await;
            assert_eq!(kept.told, Told::Whole);
        }
    });
}
