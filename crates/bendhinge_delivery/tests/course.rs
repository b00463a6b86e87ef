//! When a request may be sent again, and what can be said of it in the end.

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{Course, CourseRules, SendEnd};

use SendEnd::{Failed, Lost, NotConnected, NotSent, Rejected, Replaced, Silent, Spoilt};

const ALL: [SendEnd; 8] = [NotConnected, NotSent, Rejected, Replaced, Lost, Silent, Spoilt, Failed];

fn course(repeatable: bool, attempts: u32) -> Course {
    Course::new(CourseRules { repeatable, attempts })
}

struct Case {
    repeatable: bool,
    attempts: u32,
    ends: &'static [SendEnd],
    goes_on: bool,
    code: ResultCode,
}

#[test]
fn the_table_of_courses() {
    let case = |repeatable, attempts, ends, goes_on, code| Case { repeatable, attempts, ends, goes_on, code };
    let cases = [
        case(false, 1, &[Lost][..], false, ResultCode::UpstreamLost),
        case(false, 2, &[Lost], false, ResultCode::UpstreamLost),
        case(false, 1, &[Silent], false, ResultCode::UpstreamTimeout),
        case(false, 1, &[Spoilt], false, ResultCode::UpstreamBadAnswer),
        case(false, 1, &[NotConnected], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[Rejected], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[Rejected, Replaced], true, ResultCode::UpstreamNotReached),
        case(false, 1, &[Rejected, Replaced, NotSent], false, ResultCode::UpstreamNotReached),
        case(false, 1, &[Rejected, Lost], false, ResultCode::UpstreamLost),
        case(true, 1, &[Lost], false, ResultCode::UpstreamLost),
        case(true, 2, &[Lost], true, ResultCode::UpstreamLost),
        case(true, 2, &[Lost, Silent], false, ResultCode::UpstreamTimeout),
        case(true, 2, &[Failed, Rejected], true, ResultCode::UpstreamLost),
        case(true, 2, &[Failed, Failed], false, ResultCode::UpstreamLost),
    ];
    for case in cases {
        let mut course = course(case.repeatable, case.attempts);
        let goes_on = case.ends.iter().fold(true, |_, end| course.ended(*end));
        assert_eq!(goes_on, case.goes_on, "{:?}", case.ends);
        assert_eq!(course.final_code(false), case.code, "{:?}", case.ends);
    }
}

#[test]
fn a_request_that_was_never_sent_is_surely_not_run() {
    let course = course(false, 1);
    assert_eq!(course.ran(), Ran::No);
    assert_eq!(course.final_code(true), ResultCode::NoUpstream);
}

/// Whatever happens: a request that may not be repeated is not sent again once it may have run,
/// none may run on more upstreams than is allowed, and "not run" is said only if it is sure.
#[test]
fn no_course_breaks_a_promise() {
    arbtest::arbtest(|source| {
        let repeatable: bool = source.arbitrary()?;
        let attempts: u32 = source.int_in_range(1..=4)?;
        let mut course = course(repeatable, attempts);
        let mut may_have_run = 0;
        let mut goes_on = true;
        while goes_on {
            assert!(may_have_run == 0 || repeatable, "sent again although it may have run");
            let end = *source.choose(&ALL)?;
            goes_on = course.ended(end);
            may_have_run += u32::from(!end.definitely_not_run());
            assert!(may_have_run <= attempts);
            let code = course.final_code(source.arbitrary()?);
            assert_eq!(code.ran() == Some(Ran::No), may_have_run == 0, "{code}");
            assert_eq!(code.http_status() == 503, may_have_run == 0, "{code}");
        }
        Ok(())
    });
}
