//! Settings are checked whole: every fault in one run, with its place and its mend.

use bendhinge_router::settings::Settings;

const FAULTY: &str = include_str!("../resources/test/fixtures/settings/many-faults.ini");

#[test]
fn every_fault_shows_in_one_run() {
    let faults = Settings::parse("many-faults.ini", FAULTY).err().expect("it has faults");
    insta::assert_snapshot!(faults.to_string());
}

#[test]
fn the_examples_have_no_faults() {
    for (name, text) in [
        ("boyaca", include_str!("../../../examples/boyaca/router.ini")),
        ("fjordvei", include_str!("../../../examples/fjordvei/router.ini")),
    ] {
        if let Err(faults) = Settings::parse(name, text) {
            panic!("{faults}");
        }
    }
}

#[test]
fn the_reference_page_matches_the_schema() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let router = bendhinge_ini::markdown_reference(&bendhinge_router::settings::SCHEMA);
    let fleet = bendhinge_ini::markdown_reference(&bendhinge_configuration::SCHEMA);
    let gateway = bendhinge_gateway::reference();
    let expected = format!(
        "# Settings and configuration\n\nGenerated from the schemas; CI compares the two.\n\n{router}\n{fleet}\n{gateway}"
    );
    assert_eq!(page, expected, "run: scripts/generate-docs");
}
