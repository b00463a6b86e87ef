//! A confirmed configuration is in force on every router within seconds and never reverts.

mod common;

use std::time::Duration;

use bendhinge_configuration::{Intent, Plan, PlanError, SealKey, parse};
use bendhinge_lab::deployment::{SEAL_KEY, seal};
use bendhinge_lab::fleet::Fleet;
use bendhinge_standin::engine::EngineState;
use bendhinge_standin::platform::Faults as PlatformFaults;
use common::{caller, eventually, in_force_everywhere, revision, run, small, start, turn};
use smol::Timer;

const ROUTERS: [&str; 3] = ["box-1", "box-2", "box-3"];
/// Longer than a document takes to settle.
const SETTLED: Duration = Duration::from_secs(3);

fn share(revision: u64, share: u32) -> String {
    let deployment = small().with_configuration("class.reader", "share", &share.to_string());
    deployment.with_configuration("fleet", "revision", &revision.to_string()).sealed()
}

async fn digests(fleet: &Fleet) -> Vec<String> {
    let mut digests = Vec::new();
    for router in ROUTERS {
        digests.push(fleet.status(router).await.unwrap()["configuration_digest"].to_string());
    }
    digests
}

#[test]
fn it_is_in_force_everywhere() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.publish_configuration(&share(2, 11)).await.unwrap();
        in_force_everywhere(&fleet, 2).await.unwrap();
    });
}

/// The platform goes back to an older revision, as a stale replica does: nothing reverts.
#[test]
fn an_older_revision_is_not_taken() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.publish_configuration(&share(3, 11)).await.unwrap();
        in_force_everywhere(&fleet, 3).await.unwrap();
        fleet.publish_configuration(&share(2, 12)).await.unwrap();
        Timer::after(SETTLED).await;
        for router in ROUTERS {
            assert_eq!(revision(&fleet, router).await, 3, "{router}");
        }
    });
}

/// A document that was not confirmed, or was altered after it, is refused.
#[test]
fn only_a_sealed_document_is_taken() {
    let unsealed = small().with_configuration("fleet", "revision", "2").configuration;
    let altered = share(2, 11).replace("share = 11", "share = 99");
    let foreign = SealKey::new("another key of 16 characters")
        .seal(bendhinge_configuration::parse_document("x", &unsealed));
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        for (name, document) in [
            ("unsealed", unsealed),
            ("altered", altered),
            ("foreign", foreign),
            ("no text", "nonsense".to_owned()),
        ] {
            fleet.publish_configuration(&document).await.unwrap();
            Timer::after(SETTLED).await;
            for router in ROUTERS {
                assert_eq!(revision(&fleet, router).await, 1, "{name} {router}");
            }
        }
        fleet.publish_configuration(&share(2, 11)).await.unwrap();
        in_force_everywhere(&fleet, 2).await.unwrap();
    });
}

/// A router that was frozen while a revision was confirmed has it soon after it wakes.
#[test]
fn a_frozen_router_catches_up() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.routers["box-1"].freeze();
        fleet.publish_configuration(&share(2, 11)).await.unwrap();
        for router in ["box-2", "box-3"] {
            fleet
                .wait_until(router, "revision 2", |status| status["configuration_revision"] == 2)
                .await
                .unwrap();
        }
        fleet.routers["box-1"].thaw();
        in_force_everywhere(&fleet, 2).await.unwrap();
    });
}

/// Two operators confirm plans from one base and both are published, one over the other: one is
/// in force everywhere, and the routers tell of the other.
#[test]
fn of_two_confirmed_from_one_base_one_is_in_force() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        for round in 0..3 {
            let next = 2 + round;
            fleet.publish_configuration(&share(next, 20 + 2 * u32::try_from(round).unwrap())).await.unwrap();
            // Sometimes the first is read before the second hides it.
            Timer::after(Duration::from_millis(120 * round)).await;
            fleet.publish_configuration(&share(next, 21 + 2 * u32::try_from(round).unwrap())).await.unwrap();
            in_force_everywhere(&fleet, next).await.unwrap();
            Timer::after(SETTLED).await;
            let digests = digests(&fleet).await;
            assert!(digests.iter().all(|digest| *digest == digests[0]), "round {round}: {digests:?}");
        }
    });
}

/// A box that boots while the platform is stale does not serve what the fleet has left behind.
#[test]
fn a_new_box_does_not_serve_an_older_configuration() {
    run(|tasks| async move {
        let mut fleet = start(&tasks).await;
        fleet.platform_faults(PlatformFaults { stale: true, ..PlatformFaults::default() }).await.unwrap();
        fleet.publish_configuration(&share(2, 11)).await.unwrap();
        fleet.platform_faults(PlatformFaults::default()).await.unwrap();
        in_force_everywhere(&fleet, 2).await.unwrap();
        // Back to what was there before: the replica that the new box reads is stale.
        fleet.publish_configuration(&seal(&small().configuration)).await.unwrap();
        fleet.routers.get_mut("box-3").unwrap().kill();
        // Nor can the others be asked for a while.
        fleet.routers["box-1"].freeze();
        fleet.routers["box-2"].freeze();
        let address = fleet.start_router("box-3", "sogamoso").unwrap();
        fleet.set_address("box-3", address);
        fleet.publish_members().await.unwrap();
        eventually("the new box has read the platform", || async {
            fleet.status("box-3").await.is_ok_and(|status| status["latest_revision"] == 1)
        })
        .await;
        Timer::after(SETTLED).await;
        assert_eq!(revision(&fleet, "box-3").await, 0, "nobody vouches for what the platform shows");
        fleet.routers["box-1"].thaw();
        fleet.routers["box-2"].thaw();
        eventually("the new box has a configuration", || async {
            let known = revision(&fleet, "box-3").await;
            assert_ne!(known, 1, "the new box serves an older configuration than the fleet");
            known == 2
        })
        .await;
    });
}

/// With the platform down, a new box hears everything from its peers once it knows one; and a
/// fleet that runs goes on.
#[test]
fn a_fleet_goes_on_while_the_platform_is_down() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        fleet.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await.unwrap();
        for number in 0..9 {
            let router = fleet.callers()[number % 3];
            let outcome = caller(&fleet).chat(router, &turn(&format!("down {number}"), false, 2)).await;
            assert!(outcome.served(), "{outcome:?}");
        }
        fleet.publish_configuration(&share(2, 11)).await.unwrap();
        fleet.platform_faults(PlatformFaults::default()).await.unwrap();
        in_force_everywhere(&fleet, 2).await.unwrap();
    });
}

/// From a stated intent to a plan, from a plan to a document, from a document to its effect.
#[test]
fn plan_confirm_publish() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let page = fleet.operators_page("box-1", "/configuration").await.unwrap();
        let in_force = parse("in force", std::str::from_utf8(&page.body).unwrap()).unwrap();
        let intent = Intent::parse_set("pool.language.version=2").unwrap();
        let plan = Plan::make(&in_force, &[intent], &[]).unwrap();
        assert!(plan.pools.iter().any(|pool| pool.reloads), "{plan:?}");
        assert_eq!(revision(&fleet, "box-1").await, 1, "a plan changes nothing");

        let confirmed = plan.confirm(&in_force, &SealKey::new(SEAL_KEY)).unwrap();
        fleet.publish_configuration(&confirmed.document).await.unwrap();
        in_force_everywhere(&fleet, 2).await.unwrap();
        eventually("every engine took its order", || async {
            for engine in ["b-runner-1", "b-runner-2", "b-runner-3"] {
                let state: EngineState = fleet.upstream_page(engine, "/control/state").await.unwrap();
                if state.order.is_none_or(|order| order.version != 2 || order.fence != 2) {
                    return false;
                }
            }
            true
        })
        .await;

        let page = fleet.operators_page("box-2", "/configuration").await.unwrap();
        let now_in_force = parse("in force", std::str::from_utf8(&page.body).unwrap()).unwrap();
        let late = plan.confirm(&now_in_force, &SealKey::new(SEAL_KEY));
        assert!(matches!(late, Err(PlanError::BaseChanged { .. })), "{late:?}");
    });
}
