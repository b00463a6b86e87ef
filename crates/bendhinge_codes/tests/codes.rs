//! The codes are unique, ordered, honest about retries, and match the page in `docs/`.

use bendhinge_codes::{Ran, ResultCode, markdown_table};

#[test]
fn numbers_are_unique_and_ascending() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{} {}", pair[0], pair[1]);
    }
}

#[test]
fn only_a_request_that_did_not_run_or_is_repeatable_invites_a_retry() {
    for code in ResultCode::ALL {
        if code.invites_retry() && *code != ResultCode::RepeatableLost {
            assert_eq!(code.ran(), Some(Ran::No), "{code}");
        }
    }
}

#[test]
fn page_matches_the_code() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    assert_eq!(page, markdown_table(), "run: bendhinge codes > docs/RESULT-CODES.md");
}
