//! A few seeds of the soak of refusals in CI. By hand more: `BENDHINGE_SOAK_SEEDS=100..150`.

use bendhinge_lab::gateways::{refusal_soak, run_soak, soak_seeds};

/// Seeds of the short run, and seeds that once found something.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Guards against requests that are refused as not run and have run.
#[test]
fn no_refused_request_has_run() {
    for seed in soak_seeds(&SEEDS) {
        let findings = run_soak(|tasks| async move { refusal_soak(&tasks, seed).await });
        println!("seed {seed}: {:?}", findings.told);
        assert!(findings.broken.is_empty(), "seed {seed}: {:#?}", findings.broken);
        assert!(findings.told.contains_key("Whole"), "seed {seed}: nothing was served");
        assert!(findings.told.contains_key("Status(503) BH0401"), "seed {seed}: nothing was rejected");
    }
}
