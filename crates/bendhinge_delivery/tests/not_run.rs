//! What shows that a request did not run.

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::{NotRun, NotRunReason, UpstreamReport};

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
