//! Guards against duplicate or unordered numbers, unsafe retry invitations, and an outdated
//! `docs/RESULT-CODES.md`.

use bendhinge_codes::{Ran, ResultCode, markdown_table};

#[test]
fn numbers_are_unique_and_ascending() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} {}", pair[0], pair[1]);
    }
}

#[test]
fn retry_is_invited_only_if_the_request_did_not_run_or_is_repeatable() {
    for code in ResultCode::ALL {
        if code.invites_retry() && *code != ResultCode::RepeatableLost {
            assert_eq!(code.ran(), Some(Ran::No), "{code}");
        }
    }
}

#[test]
fn generated_page_is_current() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    assert_eq!(page, markdown_table(), "run: bendhinge codes > docs/RESULT-CODES.md");
}
