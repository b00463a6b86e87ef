//! A few seeds of the soak in CI, and those that once failed.

use bendhinge_http::{Tasks, run_until};
use bendhinge_lab::gateways::soak;

/// Seeds of the short run, and seeds that once found something.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

#[test]
fn no_promise_breaks_while_everything_fails() {
    for seed in seeds() {
        let tasks = Tasks::default();
        let workers = std::num::NonZeroUsize::new(1).unwrap();
        let findings = run_until(&tasks, workers, soak(&tasks, seed));
        println!("seed {seed}: {:?}", findings.told);
        assert!(findings.broken.is_empty(), "seed {seed}: {:#?}", findings.broken);
        assert!(findings.told.contains_key("Whole"), "seed {seed}: nothing was served");
    }
}

/// By hand more: `BENDHINGE_SOAK_SEEDS=100..150`.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("BENDHINGE_SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (from, to) = range.split_once("..").expect("FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}
