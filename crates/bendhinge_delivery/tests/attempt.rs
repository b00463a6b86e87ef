//! What follows from the end of an attempt: a table of all cases.

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

/// Over all cases: "not run" only while certain, no second attempt of what may have run and may
/// not be repeated, nothing after part of an answer, and no invitation to repeat what may not be.
#[test]
fn every_case_is_honest() {
    for end in ENDS {
        for repeatable in [Repeatable::Yes, Repeatable::Never] {
            for certain_before in [true, false] {
                for may_retry in [true, false] {
                    let certain = certain_before && end.surely_not_run();
                    check(end, repeatable, certain, may_retry);
                }
            }
        }
    }
}

fn check(end: AttemptEnd, repeatable: Repeatable, certain: bool, may_retry: bool) {
    let case = format!("{end:?} {repeatable:?} certain {certain} may retry {may_retry}");
    match next_step(end, repeatable, certain, may_retry) {
        NextStep::TryAnother => {
            assert!(may_retry, "{case}: beyond the budget");
            assert_ne!(end, AttemptEnd::CutShort, "{case}: two answers would be spliced");
            assert!(repeatable == Repeatable::Yes || end.surely_not_run(), "{case}: it may run twice");
        }
        NextStep::Answer(code) => {
            if code.ran() == Some(Ran::No) {
                assert!(certain, "{case}: {code} says that it did not run");
            }
            if repeatable == Repeatable::Never && !certain {
                assert!(!code.invites_retry(), "{case}: {code} invites a retry");
            }
            if end == AttemptEnd::CutShort {
                assert_eq!(code, ResultCode::AnswerCutShort, "{case}");
            }
        }
    }
}

/// What certainly did not run is tried again also if it may not be repeated.
#[test]
fn what_did_not_run_is_tried_again() {
    for end in [AttemptEnd::NotConnected, AttemptEnd::NotSent] {
        assert_eq!(next_step(end, Repeatable::Never, true, true), NextStep::TryAnother);
    }
}
