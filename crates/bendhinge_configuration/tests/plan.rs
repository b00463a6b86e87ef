//! Tests of plans, confirmation, seals and engine orders.

use bendhinge_configuration::{
    Configuration, Intent, IntentError, Plan, PlanError, PoolMember, SealKey, engine_order, parse,
    parse_document,
};

const BASE: &str = include_str!("../../../examples/boyaca/configuration.ini");

fn base() -> Configuration {
    parse("base", BASE).unwrap()
}

fn members() -> Vec<PoolMember> {
    let data_centres = ["tunja", "duitama", "sogamoso"];
    let member = |number: usize| PoolMember {
        name: format!("b-runner-{number}").parse().unwrap(),
        pool: "language".parse().unwrap(),
        data_centre: data_centres[number % 3].parse().unwrap(),
        weight: 1.0,
    };
    (0..12).map(member).collect()
}

fn set(text: &str) -> Intent {
    Intent::parse_set(text).unwrap()
}

#[test]
fn plan_reports_effects_of_draining_a_data_centre() {
    let plan = Plan::make(&base(), &[set("data_centre.tunja.state=drained")], &members()).unwrap();
    let pool = plan.pools.iter().find(|pool| pool.pool.as_str() == "language").unwrap();
    assert_eq!((pool.upstreams_before, pool.upstreams_after), (12, 8));
    assert_eq!((pool.slots_before, pool.slots_after), (96, 64));
    // Draining a third of the upstreams moves only their third of the chats.
    assert!((pool.chats_moved - 1.0 / 3.0).abs() < 0.03, "{}", pool.chats_moved);
    let tunja = pool.data_centres.iter().find(|load| load.data_centre.as_str() == "tunja").unwrap();
    assert!(tunja.before > 0.3 && tunja.after == 0.0);
    assert_eq!(plan.changes.len(), 1);
}

#[test]
fn plan_reports_effects_of_changing_a_share() {
    let plan = Plan::make(&base(), &[set("class.reader.share=110")], &members()).unwrap();
    let effect_of = |class: &str| plan.shares.iter().find(|share| share.class == class).unwrap();
    assert!(
        (effect_of("deadline").before - 0.6).abs() < 1e-9 && (effect_of("deadline").after - 0.3).abs() < 1e-9
    );
    assert!((effect_of("reader").after - 0.55).abs() < 1e-9);
    assert!(plan.pools.is_empty(), "no chat moves");
}

#[test]
fn new_model_version_causes_reload() {
    let plan = Plan::make(&base(), &[set("pool.language.version=2")], &members()).unwrap();
    assert!(plan.pools.iter().any(|pool| pool.reloads));
}

#[test]
fn invalid_intents_give_specific_errors() {
    let base = base();
    let make = |intent: Intent| Plan::make(&base, &[intent], &members());
    assert!(matches!(Intent::parse_set("class.reader.share"), Err(IntentError::Malformed(_))));
    assert!(matches!(make(set("fleet.revision=9")), Err(IntentError::ReservedSection)));
    assert!(matches!(
        make(Intent::Remove { title: "customer.nobody".to_owned() }),
        Err(IntentError::SectionNotFound(_))
    ));
    let table = [
        ("class.reader.shares=9", "did you mean 'share'"),
        ("class.reader.share=many", "decimal number"),
        ("customer.archive.class=gold", "not defined"),
        ("pool.language.load_bound=1", "above 1"),
        ("data_centres.tunja.state=drained", "did you mean 'data_centre'"),
    ];
    for (text, expected) in table {
        let error = make(set(text)).unwrap_err().to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
    let error = make(Intent::Remove { title: "class.reader".to_owned() }).unwrap_err().to_string();
    assert!(error.contains("class 'reader' is not defined"), "{error}");
}

#[test]
fn confirmation_requires_unchanged_base_and_plan() {
    let (base, key) = (base(), SealKey::new("a key of 16 and more"));
    let first = Plan::make(&base, &[set("class.reader.share=20")], &members()).unwrap();
    let second = Plan::make(&base, &[set("class.reader.share=30")], &members()).unwrap();
    let confirmed = first.confirm(&base, &key).unwrap();
    let in_force = key.open("published", &confirmed.document).unwrap();
    assert_eq!(in_force.revision.0, 2);
    assert_eq!(in_force.base, Some(base.digest));
    let outdated = second.confirm(&in_force, &key);
    assert!(matches!(outdated, Err(PlanError::BaseChanged { .. })), "{outdated:?}");
    let mut altered = first;
    altered.document = altered.document.replace("share = 20", "share = 99");
    assert!(matches!(altered.confirm(&base, &key), Err(PlanError::Altered)));
}

/// A plan read back from its JSON file can be confirmed; inexact parsing of floating-point
/// fractions would change its digest.
#[test]
fn plan_survives_json_round_trip() {
    for share in 1..60 {
        let intents = [set("data_centre.tunja.state=drained"), set(&format!("class.reader.share={share}"))];
        let plan = Plan::make(&base(), &intents, &members()).unwrap();
        let file = serde_json::to_string_pretty(&plan).unwrap();
        let read: Plan = serde_json::from_str(&file).unwrap();
        assert_eq!(read, plan);
        read.confirm(&base(), &SealKey::new("a key of 16 and more")).unwrap();
    }
}

#[test]
fn seal_detects_modified_lines() {
    let key = SealKey::new("a key of 16 and more");
    let sealed = key.seal(parse_document("x", BASE));
    assert!(key.open("x", &sealed).is_ok());
    for (from, to) in [
        ("share = 60", "share = 61"),
        ("revision = 1", "revision = 2"),
        ("class = deadline", "class = reader"),
    ] {
        assert!(key.open("x", &sealed.replacen(from, to, 1)).is_err(), "{from}");
    }
    assert!(SealKey::new("another key, just as long").open("x", &sealed).is_err());
}

/// An engine order is derived from the confirmed configuration, with the revision as its fence.
#[test]
fn engine_order_is_derived_from_configuration() {
    let base = base();
    let order = engine_order(&base, &"language".parse().unwrap(), &"b-runner-1".parse().unwrap()).unwrap();
    assert_eq!(
        (order.fence, order.model.as_str(), order.version, order.role.as_str()),
        (1, "boletin-7b", 1, "generate")
    );
    assert!(engine_order(&base, &"portal".parse().unwrap(), &"b-portal-1".parse().unwrap()).is_none());
}
