//! Explaining the pauses of streams. The pattern is told in the module that plays it.

use bendhinge_lab::bench::pauses::{OWN_SHARES, Way, run};

/// Guards against explaining pauses by what is outstanding at one of their ends, which misses sends that come and get
/// their first event within the pause.
#[test]
fn totals_recognize_every_pause_by_an_own_prefill() {
    for own_share in OWN_SHARES {
        let totals = run(Way::Totals, own_share, 1);
        assert!(totals.own > 0, "{totals:?}");
        assert_eq!(totals.own_recognized, totals.own, "{totals:?}");
        assert_eq!(totals.most_entries, 1, "{totals:?}");
        for way in [Way::AtBegin, Way::AtEnd] {
            let seen = run(way, own_share, 1);
            assert!(seen.own_recognized < totals.own_recognized, "{way:?}: {seen:?}, {totals:?}");
        }
    }
}
