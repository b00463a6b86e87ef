//! Work at engines that process prompts in steps. The load is described in the module that plays it.

use bendhinge_lab::bench::prefill::{CHOSEN, Scene, run};

/// Guards against waits that are predicted too short while queues grow, or too long once half of the
/// engines are back: requests would be kept that cannot be served, or refused while slots are free.
#[test]
fn predicted_waits_are_right_within_a_factor_of_two_when_queues_are_long() {
    let scene = Scene { routers: 88, requests_per_sec: 500.0, is_overloaded: true };
    let seen = run(CHOSEN, scene, 1);
    assert!(seen.predictions > 5_000, "{seen:?}");
    assert!(seen.predicted_share > 0.8, "{seen:?}");
}
