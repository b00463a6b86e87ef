//! Stories told from lines that gateways wrote on a day with faults.

use std::fs;
use std::path::Path;

use bendhinge_explain::{Entry, Event, read_log, stories, tell};

/// The lines of both logs: one with the gateway's name before each line, one named for it.
fn logs() -> Vec<Entry> {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let read = |name: &str| {
        let text = fs::read_to_string(fixtures.join(format!("{name}.jsonl"))).unwrap();
        read_log(name, &text)
    };
    [read("all-boxes"), read("front-oslo-d-14")].concat()
}

/// The story of the one line that tells of a request.
fn story(request: &str) -> String {
    let found = stories(&logs(), request);
    assert_eq!(found.len(), 1, "{found:?}");
    tell(&found[0])
}

#[test]
fn a_request_whose_fate_is_not_known() {
    insta::assert_snapshot!(story("2706d6216c6c45d5"));
}

#[test]
fn a_refused_request() {
    insta::assert_snapshot!(story("0b5270e9f7615fe3"));
}

#[test]
fn a_request_that_was_sent_twice() {
    insta::assert_snapshot!(story("00461f9e07aec994"));
}

#[test]
fn of_an_unknown_request_there_is_no_story() {
    assert!(stories(&logs(), "0000000000000000").is_empty());
}

#[test]
fn what_is_no_line_of_a_gateway_is_passed_over() {
    let text = "half a line {\"t\":1,\"event\":\"requ\n{\"t\":2,\"event\":\"stopped\",\"name\":\"a\"}\n{}\n";
    let entries = read_log("a", text);
    assert_eq!(entries, [Entry { gateway: "a".to_owned(), t: 2, event: Event::Other }]);
}

/// What the operators' page shows is what the program tells.
#[test]
fn the_operators_page_shows_these_stories() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    for request in ["2706d6216c6c45d5", "0b5270e9f7615fe3", "00461f9e07aec994"] {
        for line in story(request).lines() {
            assert!(page.contains(&format!("    {line}\n")), "the page lacks: {line}");
        }
    }
}
