//! Documents: reading, changing, and their canonical form.

use bendhinge_ini::{Document, Key, Schema, SectionKind};

const SCHEMA: Schema = Schema {
    title: "Test",
    sections: &[
        SectionKind {
            kind: "one",
            named: false,
            required: true,
            help: "The one.",
            keys: &[
                Key { name: "first", form: "whole number", default: None, help: "A number." },
                Key { name: "second", form: "text", default: Some("x"), help: "A text." },
            ],
        },
        SectionKind {
            kind: "many",
            named: true,
            required: false,
            help: "Many.",
            keys: &[Key { name: "value", form: "whole number", default: Some("7"), help: "A number." }],
        },
    ],
};

fn faults(text: &str) -> String {
    let document = Document::parse("t.ini", text, &SCHEMA);
    if let Some(section) = document.section("one") {
        let _: Option<u8> = document.value(section, "first");
    }
    document.finish(Some(())).err().map_or_else(String::new, |faults| faults.to_string())
}

/// Each fault has its place, its code and its mend.
#[test]
fn faults_name_the_place_and_the_mend() {
    let table = [
        ("", "t.ini:0: BH0106: section [one] is missing"),
        ("[one]\n", "t.ini:1: BH0106: 'first' is missing in [one]; add first = whole number"),
        (
            "[one]\nfirst = 300\n",
            "t.ini:2: BH0107: 'first = 300' in [one]: number too large to fit in target type; write whole number",
        ),
        (
            "[one]\nfirst = 1\nfrist = 2\n",
            "t.ini:3: BH0104: unknown key 'frist' in [one]; did you mean 'first'?",
        ),
        ("[one]\nfirst = 1\nfirst = 2\n", "t.ini:3: BH0105: 'first' stands twice in [one]; keep one"),
        ("[one]\nfirst = 1\n[one]\nfirst = 1\n", "t.ini:3: BH0105: [one] stands twice; join the two"),
        ("[one]\nfirst = 1\n[many]\n", "t.ini:3: BH0103: [many] should be [many.NAME]"),
        ("[one]\nfirst = 1\n[one.two]\n", "t.ini:3: BH0103: [one.two] should be [one]"),
        ("[one]\nfirst = 1\n[mnay.a]\n", "t.ini:3: BH0103: unknown section [mnay.a]; did you mean 'many'?"),
        ("first = 1\n[one]\nfirst = 1\n", "t.ini:1: BH0102: 'first' stands before any section"),
    ];
    for (text, expected) in table {
        assert_eq!(faults(text), expected, "{text:?}");
    }
}

#[test]
fn the_canonical_form_does_not_depend_on_order_or_comments() {
    let tidy =
        Document::parse("t", "[one]\nfirst = 1\n[many.a]\n[many.b]\nvalue = 2\n", &SCHEMA).canonical(&SCHEMA);
    let untidy = "; hello\n[many.b]\n  value=2\n\n[one]\n\tfirst =1\n[many.a]\n";
    assert_eq!(Document::parse("t", untidy, &SCHEMA).canonical(&SCHEMA), tidy);
}

#[test]
fn changes_are_checked_like_lines() {
    let mut document = Document::parse("t", "[one]\nfirst = 1\n", &SCHEMA);
    document.set(&SCHEMA, "many.new", "value", "3");
    document.set(&SCHEMA, "one", "first", "2");
    assert!(!document.remove("many.other"));
    assert_eq!(document.canonical(&SCHEMA), "[one]\nfirst = 2\n[many.new]\nvalue = 3\n");
    assert!(document.remove("many.new"));
    document.set(&SCHEMA, "many.new", "value", "4");
    document.set(&SCHEMA, "one", "thrid", "2");
    let faults = document.finish(Some(())).unwrap_err().to_string();
    assert_eq!(faults, "t:0: BH0104: unknown key 'thrid' in [one]");
}

/// A document of many sections is read whole. That this takes a time which grows with them and
/// not with their square is measured, not tested: `decision.open_configuration_ms`.
#[test]
fn many_sections_are_read() {
    let mut text = "[one]\nfirst = 1\n".to_owned();
    for number in 0..20_000 {
        text.push_str("[many.n");
        text.push_str(&number.to_string());
        text.push_str("]\n");
    }
    let document = Document::parse("t", &text, &SCHEMA);
    assert_eq!(document.sections("many").count(), 20_000);
    assert!(document.finish(Some(())).is_ok());
}
