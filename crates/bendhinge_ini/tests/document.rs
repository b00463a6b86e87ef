//! Parsing, modification and canonical form of documents.

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

/// Each fault names its location, result code and fix.
#[test]
fn faults_include_location_code_and_fix() {
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
        ("[one]\nfirst = 1\nfirst = 2\n", "t.ini:3: BH0105: 'first' is set twice in [one]; keep one"),
        ("[one]\nfirst = 1\n[one]\nfirst = 1\n", "t.ini:3: BH0105: [one] appears twice; merge them"),
        ("[one]\nfirst = 1\n[many]\n", "t.ini:3: BH0103: [many] should be [many.NAME]"),
        ("[one]\nfirst = 1\n[one.two]\n", "t.ini:3: BH0103: [one.two] should be [one]"),
        ("[one]\nfirst = 1\n[mnay.a]\n", "t.ini:3: BH0103: unknown section [mnay.a]; did you mean 'many'?"),
        ("first = 1\n[one]\nfirst = 1\n", "t.ini:1: BH0102: 'first' appears before the first section"),
    ];
    for (text, expected) in table {
        assert_eq!(faults(text), expected, "{text:?}");
    }
}

#[test]
fn canonical_form_ignores_order_and_comments() {
    let canonical =
        Document::parse("t", "[one]\nfirst = 1\n[many.a]\n[many.b]\nvalue = 2\n", &SCHEMA).canonical(&SCHEMA);
    let unordered = "; hello\n[many.b]\n  value=2\n\n[one]\n\tfirst =1\n[many.a]\n";
    assert_eq!(Document::parse("t", unordered, &SCHEMA).canonical(&SCHEMA), canonical);
}

#[test]
fn changes_are_validated_like_parsed_lines() {
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

/// Guards against sections lost from large documents. The benchmark `decision.open_configuration_ms`
/// covers the parsing time.
#[test]
fn large_document_is_parsed_completely() {
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
