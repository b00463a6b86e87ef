//! Retry state: when a request may be sent again, and its final result code.

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{NotRun, RetryPolicy, RetryState, SendOutcome, UpstreamReport};

use SendOutcome::{Failed, InvalidResponse, Lost, TimedOut};

fn not_connected() -> SendOutcome {
    NotRun::not_connected(()).into()
}

fn not_sent() -> SendOutcome {
    NotRun::returned(()).into()
}

fn rejected() -> SendOutcome {
    let report =
        UpstreamReport { status: 503, is_to_request: true, not_executed: true, is_misdirected: false };
    NotRun::reported(report).unwrap().into()
}

fn replaced() -> SendOutcome {
    let report =
        UpstreamReport { status: 421, is_to_request: true, not_executed: false, is_misdirected: true };
    NotRun::reported(report).unwrap().into()
}

fn all_outcomes() -> [SendOutcome; 8] {
    [not_connected(), not_sent(), rejected(), replaced(), Lost, TimedOut, InvalidResponse, Failed]
}

fn state(repeatable: bool, max_attempts: u32) -> RetryState {
    RetryState::new(RetryPolicy { repeatable, max_attempts })
}

struct Case {
    repeatable: bool,
    max_attempts: u32,
    outcomes: Vec<SendOutcome>,
    may_send: bool,
    code: ResultCode,
}

#[test]
fn retry_decisions_and_result_codes() {
    let case = |repeatable, max_attempts, outcomes: &[SendOutcome], may_send, code| Case {
        repeatable,
        max_attempts,
        outcomes: outcomes.to_vec(),
        may_send,
        code,
    };
    let cases = [
        case(false, 1, &[Lost], false, ResultCode::UpstreamLost),
        case(false, 2, &[Lost], false, ResultCode::UpstreamLost),
        case(false, 1, &[TimedOut], false, ResultCode::UpstreamTimeout),
        case(false, 1, &[InvalidResponse], false, ResultCode::UpstreamBadAnswer),
        case(false, 1, &[not_connected()], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[rejected()], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[rejected(), replaced()], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[rejected(), replaced(), not_sent()], false, ResultCode::UpstreamNotReached),
        case(false, 1, &[rejected(), Lost], false, ResultCode::UpstreamLost),
        case(true, 1, &[Lost], false, ResultCode::UpstreamLost),
        case(true, 2, &[Lost], true, ResultCode::UpstreamLost),
        case(true, 2, &[Lost, TimedOut], false, ResultCode::UpstreamTimeout),
        case(true, 2, &[Failed, rejected()], true, ResultCode::UpstreamLost),
        case(true, 2, &[Failed, Failed], false, ResultCode::UpstreamLost),
    ];
    for case in cases {
        let mut state = state(case.repeatable, case.max_attempts);
        let may_send = case.outcomes.iter().fold(true, |_, outcome| state.record_outcome(*outcome));
        assert_eq!(may_send, case.may_send, "{:?}", case.outcomes);
        assert_eq!(state.final_code(false), case.code, "{:?}", case.outcomes);
    }
}

#[test]
fn unsent_request_is_reported_as_not_run() {
    let state = state(false, 1);
    assert_eq!(state.ran(), Ran::No);
    assert_eq!(state.final_code(true), ResultCode::NoUpstream);
}

/// Guards against resending a non-repeatable request that may have run, exceeding the attempt limit,
/// and reporting "not run" when that is uncertain.
#[test]
fn random_outcomes_never_violate_the_policy() {
    arbtest::arbtest(|source| {
        let repeatable: bool = source.arbitrary()?;
        let max_attempts: u32 = source.int_in_range(1..=4)?;
        let mut state = state(repeatable, max_attempts);
        let mut may_have_run = 0;
        let mut may_send = true;
        while may_send {
            assert!(may_have_run == 0 || repeatable, "sent again although it may have run");
            let outcome = *source.choose(&all_outcomes())?;
            may_send = state.record_outcome(outcome);
            may_have_run += u32::from(outcome.not_run_reason().is_none());
            assert!(may_have_run <= max_attempts);
            let code = state.final_code(source.arbitrary()?);
            assert_eq!(code.ran() == Some(Ran::No), may_have_run == 0, "{code}");
            assert_eq!(code.http_status() == 503, may_have_run == 0, "{code}");
        }
        Ok(())
    });
}

/// Guards against more runs than the route allows while one upstream's response is relayed and another may replace it.
#[test]
fn held_response_counts_as_a_run() {
    let mut state = state(true, 2);
    assert!(state.allows_hedge());
    state.set_held_responses(1);
    assert!(state.may_send() && !state.allows_hedge());
    assert!(state.needs_retry_budget());
    assert_eq!(state.attempts_left(2), 1);
    assert!(state.record_outcome(not_connected()), "it did not run");
    assert!(!state.record_outcome(Lost), "the held response and this send may both have run");
    state.set_held_responses(0);
    assert!(!state.record_outcome(Lost));
}

/// Guards against a third run after the silent upstream went on and its replacement was cancelled.
#[test]
fn cancelled_replacement_counts_as_a_run() {
    let mut state = state(true, 2);
    state.set_held_responses(1);
    assert!(!state.record_outcome(SendOutcome::Superseded));
    state.set_held_responses(0);
    assert!(!state.allows_hedge());
    assert!(!state.record_outcome(Lost));
}
