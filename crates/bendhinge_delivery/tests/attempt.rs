//! Retry decisions for all combinations of inputs.

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{AttemptEnd, NextStep, Repeatable, next_step};

const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::NotConnected,
    AttemptEnd::NotSent,
    AttemptEnd::Lost,
    AttemptEnd::TimedOut,
    AttemptEnd::BadAnswer,
    AttemptEnd::CutShort,
];

/// Guards against duplicate runs, responses joined from two attempts, wrong "not run" results and
/// retry invitations for requests that must not be repeated.
#[test]
fn retry_decisions_are_safe_in_all_cases() {
    for end in ENDS {
        for repeatable in [Repeatable::Yes, Repeatable::Never] {
            for not_run_before in [true, false] {
                for may_retry in [true, false] {
                    let not_run = not_run_before && end.definitely_not_run();
                    check(end, repeatable, not_run, may_retry);
                }
            }
        }
    }
}

fn check(end: AttemptEnd, repeatable: Repeatable, not_run: bool, may_retry: bool) {
    let case = format!("{end:?} {repeatable:?} not_run {not_run} may retry {may_retry}");
    match next_step(end, repeatable, not_run, may_retry) {
        NextStep::TryAnother => {
            assert!(may_retry, "{case}: beyond the budget");
            assert_ne!(end, AttemptEnd::CutShort, "{case}: two answers would be spliced");
            assert!(repeatable == Repeatable::Yes || end.definitely_not_run(), "{case}: it may run twice");
        }
        NextStep::Answer(code) => {
            if code.ran() == Some(Ran::No) {
                assert!(not_run, "{case}: {code} says that it did not run");
            }
            if repeatable == Repeatable::Never && !not_run {
                assert!(!code.invites_retry(), "{case}: {code} invites a retry");
            }
            if end == AttemptEnd::CutShort {
                assert_eq!(code, ResultCode::AnswerCutShort, "{case}");
            }
        }
    }
}

/// A request that did not run is retried even if it is not repeatable.
#[test]
fn request_that_did_not_run_is_retried() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotSent] {
        assert_eq!(next_step(end, Repeatable::Never, true, true), NextStep::TryAnother);
    }
}
