//! Evidence that a request did not run, and the result code for any order of sends and outcomes.

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{NotRun, NotRunReason, RetryPolicy, RetryState, SendOutcome, UpstreamReport};

/// Guards against rejections that rest on a header beside the result of a run, or on another request's response.
#[test]
fn only_rejections_of_the_request_show_that_it_did_not_run() {
    use NotRunReason::{Rejected, Replaced};
    let report = |status, not_executed| UpstreamReport {
        status,
        is_to_request: true,
        not_executed,
        is_misdirected: status == 421,
    };
    let cases = [
        (report(503, true), Some(Rejected)),
        (report(429, true), Some(Rejected)),
        (report(400, true), Some(Rejected)),
        (report(408, true), Some(Rejected)),
        (report(421, false), Some(Replaced)),
        (report(421, true), Some(Replaced)),
        (report(503, false), None),
        (report(429, false), None),
        (report(200, true), None),
        (report(202, true), None),
        (report(302, true), None),
        (report(500, true), None),
        (report(502, true), None),
        (report(504, true), None),
        (UpstreamReport { is_to_request: false, ..report(503, true) }, None),
        (UpstreamReport { is_to_request: false, ..report(421, false) }, None),
    ];
    for (report, expected) in cases {
        assert_eq!(NotRun::reported(report).map(NotRun::reason), expected, "{report:?}");
    }
}

/// Guards against the refusal of another router that counts as evidence although its code says that the request may have run.
#[test]
fn only_codes_of_requests_that_did_not_run_are_evidence() {
    for code in ResultCode::ALL {
        assert_eq!(NotRun::refused(*code).is_some(), code.ran() == Some(Ran::No), "{code}");
    }
}

/// A place to which a request was sent, and what became of it there.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Arrival {
    Open { is_forward: bool },
    Unrun,
    MayHaveRun,
}

/// The request as it is, beside what its state says of it.
#[derive(Clone)]
struct Explored {
    state: RetryState,
    arrivals: Vec<Arrival>,
}

impl Explored {
    fn check(&self) {
        let is_unrun = self.arrivals.iter().all(|arrival| *arrival == Arrival::Unrun);
        assert_eq!(self.state.ran() == Ran::No, is_unrun);
        for is_past_deadline in [false, true] {
            let code = self.state.final_code(is_past_deadline);
            assert_eq!(code.ran() == Some(Ran::No), is_unrun, "{code}");
            assert_eq!(code.http_status() == 503, is_unrun, "{code}");
        }
    }

    /// Returns the states after each step that may follow.
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for is_forward in [false, true] {
            let mut begun = self.clone();
            begun.state.begin_send();
            begun.arrivals.push(Arrival::Open { is_forward });
            next.push(begun);
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let Arrival::Open { is_forward } = *arrival else { continue };
            let mut unrun = self.clone();
            let evidence = NotRun::returned(());
            if is_forward {
                unrun.state.record_unrun_forward(evidence);
            } else {
                unrun.state.record_outcome(evidence.into());
            }
            unrun.arrivals[index] = Arrival::Unrun;
            next.push(unrun);
            for outcome in [SendOutcome::Lost, SendOutcome::TimedOut, SendOutcome::Superseded] {
                let mut ended = self.clone();
                if is_forward {
                    ended.state.record_forward(Some(outcome));
                } else {
                    ended.state.record_outcome(outcome);
                }
                ended.arrivals[index] = Arrival::MayHaveRun;
                next.push(ended);
            }
        }
        next
    }
}

/// Guards against a request that is refused as not run while a send or a forward of it is open or may have run. All orders of
/// up to six steps.
#[test]
fn no_order_of_sends_is_refused_as_not_run_without_evidence_for_each() {
    const STEPS: usize = 6;
    let mut explored = 0_usize;
    for repeatable in [false, true] {
        let state = RetryState::new(RetryPolicy { repeatable, max_attempts: 2 });
        let mut layer = vec![Explored { state, arrivals: Vec::new() }];
        for _ in 0..=STEPS {
            layer.iter().for_each(Explored::check);
            explored += layer.len();
            layer = layer.iter().flat_map(Explored::next).collect();
        }
    }
    println!("{explored} states");
}
