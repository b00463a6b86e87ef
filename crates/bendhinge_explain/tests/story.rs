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

/// Each try has a number of its own: from any of them one is led to what crashed under the others, at whichever gateways.
#[test]
fn a_request_under_which_upstreams_crashed() {
    let digest = "0f1e2d3c4b5a69788796a5b4c3d2e1f0";
    let crash = |t: u64, request: &str, upstream: &str| {
        format!(
            r#"{{"t":{t},"event":"crash","request":"{request}","digest":"{digest}","upstream":"{upstream}","crashes":1}}"#
        )
    };
    let refused = format!(
        r#"{{"t":9000,"event":"refused","request":"d4","code":"BH0310","digest":"{digest}","rules_age_ms":12,"retry_after_ms":599000}}"#
    );
    let entries = [
        read_log("box-1", &[crash(1_000, "a1", "i-1"), crash(5_000, "c3", "i-3")].join("\n")),
        read_log("box-2", &[crash(3_000, "b2", "i-2"), refused].join("\n")),
    ]
    .concat();
    let found = stories(&entries, "d4");
    assert_eq!(found.len(), 1);
    insta::assert_snapshot!(tell(&found[0]));
}
