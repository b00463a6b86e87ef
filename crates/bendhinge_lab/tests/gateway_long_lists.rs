//! Lists of upstreams that take the store many pages.
//!
//! Seen: after all of 585 gateways before 6,000 upstreams were killed, nobody served for seven seconds, and from five
//! seconds after that nobody again. How: each that started read all thirty pages of the list, through the store's one
//! link; then each that heard nothing new for two seconds read them again, all at the same time, and none came to the
//! end of it within the time for which rules may be acted on. Cause: the work of reading grew with gateways times
//! upstreams. Proof: the first to read the list whole began when all did and had it seven seconds later; before
//! the loss one gateway alone read it in a fifth of a second.

mod gateway_common;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, RULES, Told, until};
use bendhinge_standin::gateway::{DATA_CENTRE, StoreFault};
use gateway_common::{PATIENCE, call, run, send, start};

/// Upstreams that get no requests, and make the list long.
const SPARES: u32 = 300;
const ON_A_PAGE: usize = 100;
/// Where every page but the first of a read is asked for.
const LATER_PAGES: &str = "/v1/fleet?after=";
const CHANGES: &str = "/v1/fleet/changes";
const DRAINED: &str = "/v1/fleet/drained";

/// Gateways of which the first holds a list of four pages.
async fn with_a_long_list(tasks: &Tasks, gateways: usize) -> GatewayFleet {
    let fleet = start(tasks, FleetShape { gateways, engines: 0, services: 1 }).await;
    fleet.store.set_page_entries(ON_A_PAGE);
    for number in 0..SPARES {
        fleet.store.add(&format!("spare-{number:03}"), "spares", ([127, 0, 0, 1], 9).into());
    }
    until_list(&fleet).await;
    fleet
}

/// Waits until the gateway holds the list of the store's present revision.
async fn until_list(fleet: &GatewayFleet) {
    let revision = fleet.store.revision();
    let believed = format!(r#""event":"belief","what":"upstreams","revision":{revision},"#);
    until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(&believed))).await;
}

#[test]
fn a_gateway_that_holds_a_long_list_reads_only_what_changes() {
    run(|tasks| async move {
        let fleet = with_a_long_list(&tasks, 1).await;
        let pages = fleet.store.reads_at(LATER_PAGES);
        let reads = fleet.store.reads();
        until(async || fleet.store.reads() > reads + 3).await;
        assert_eq!(fleet.store.reads_at(LATER_PAGES), pages, "an unchanged list is not read again");
        let changes = fleet.store.reads_at(CHANGES);
        fleet.store.drain("spare-007");
        until_list(&fleet).await;
        fleet.store.remove("spare-008");
        until_list(&fleet).await;
        fleet.store.put_rules(&RULES.replace("version = 1", "version = 2"));
        let rules = format!(r#""what":"rules","revision":{}"#, fleet.store.revision());
        until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(&rules))).await;
        fleet.store.drain_data_centre("elsewhere");
        until_list(&fleet).await;
        assert!(fleet.store.reads_at(CHANGES) >= changes + 4);
        assert_eq!(fleet.store.reads_at(LATER_PAGES), pages, "nor is one that changed");
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
    });
}

/// Guards against an evacuation that the store acknowledges between the two calls of a read of changes, and that is
/// in force nowhere until something else changes.
#[test]
fn an_evacuation_during_a_read_of_changes_is_in_force() {
    run(|tasks| async move {
        let fleet = with_a_long_list(&tasks, 1).await;
        fleet.store.add_and_drain_after_read("spare-999", DRAINED, DATA_CENTRE);
        let drained = format!(r#""event":"drained","data_centres":["{DATA_CENTRE}"]"#);
        until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(&drained))).await;
        until_list(&fleet).await;
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Status(503));
    });
}

#[test]
fn changes_that_the_store_has_forgotten_are_found_in_the_whole_list() {
    run(|tasks| async move {
        let fleet = with_a_long_list(&tasks, 1).await;
        let pages = fleet.store.reads_at(LATER_PAGES);
        fleet.store.remove("spare-008");
        fleet.store.forget_history();
        until_list(&fleet).await;
        assert!(fleet.store.reads_at(LATER_PAGES) > pages);
        let changes = fleet.store.reads_at(CHANGES);
        fleet.store.remove("spare-009");
        until_list(&fleet).await;
        assert!(fleet.store.reads_at(CHANGES) > changes, "from then on changes are read again");
    });
}

#[test]
fn a_gateway_that_starts_serves_with_the_first_page() {
    run(|tasks| async move {
        let mut fleet = with_a_long_list(&tasks, 1).await;
        fleet.gateways[0] = None;
        fleet.store.set_fault(StoreFault::FirstPageOnly);
        fleet.restart(0);
        fleet.until_ready().await;
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        let holds_list =
            || fleet.gateway(0).lines().iter().any(|line| line.contains(r#""what":"upstreams""#));
        assert!(!holds_list(), "a part is not taken for the list");
        fleet.store.set_fault(StoreFault::None);
        until_list(&fleet).await;
    });
}

/// Where all start at once, a few get the first page from the store long before the others.
#[test]
fn a_gateway_that_the_store_does_not_answer_begins_with_what_another_has_begun_with() {
    run(|tasks| async move {
        let mut fleet = with_a_long_list(&tasks, 2).await;
        fleet.gateways = vec![None, None];
        fleet.store.set_fault(StoreFault::FirstPageOnly);
        fleet.restart(0);
        fleet.until_ready().await;
        fleet.store.set_fault(StoreFault::Silent);
        fleet.restart(1);
        fleet.until_ready().await;
        let answer = fleet.caller().send(fleet.callers(1), &call("/safe/x"), PATIENCE).await;
        assert_eq!(answer.told, Told::Whole);
    });
}
