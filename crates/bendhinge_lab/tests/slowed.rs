//! Upstreams whose speed jumps several times a second. The pattern is told in the module that plays it.

use bendhinge_lab::bench::slowed::{SIZES, Scene, Way, run};

/// How long a figure would be heeded if it were taken for more than a moment's.
const LONG_MS: f64 = 4_000.0;
/// The age of what the next exchange tells.
const EXCHANGE_MS: f64 = 400.0;

/// Why what an upstream says of its speed is not believed for long: all that heard of a fast one send to it, also when it
/// is fast no more.
#[test]
fn speed_that_is_believed_for_long_sends_requests_to_upstreams_that_have_too_many() {
    for (routers, upstreams) in SIZES {
        let scene = Scene { routers, upstreams, news_ms: EXCHANGE_MS };
        let unheeded = run(Way::Unheeded, scene, 1);
        let heeded = run(Way::Factor(LONG_MS), scene, 1);
        assert!(heeded.over_bound > 2.0 * unheeded.over_bound, "{scene:?}: {heeded:?}, {unheeded:?}");
    }
}
