//! A few seeds of the soak in CI, and those that once failed. By hand more: `BENDHINGE_SOAK_SEEDS=100..150`.

use std::collections::BTreeMap;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Findings, part_soak, partition_soak, run_soak, silence_soak, soak, soak_seeds, software_soak,
};

/// Seeds of the short run, and seeds that once found something.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
/// The same of the soak of partitions.
const PARTITION_SEEDS: [u64; 3] = [1, 2, 3];

/// The same of the soak of software versions.
const SOFTWARE_SEEDS: [u64; 2] = [1, 2];
/// The same of the soak of silent upstreams.
const SILENCE_SEEDS: [u64; 2] = [1, 2];

/// The same of the soak of prompt parts under which engines crash.
const PART_SEEDS: [u64; 2] = [1, 2];

/// Guards against requests with a crashing part that reach engine after engine, and sound ones that are blamed.
#[test]
fn a_crashing_part_stays_known_while_gateways_fail() {
    for seed in soak_seeds(&PART_SEEDS) {
        let told = check(seed, |tasks| async move { part_soak(&tasks, seed).await });
        assert!(
            told.contains_key("with the part: Status(503) BH0310"),
            "seed {seed}: the part was not blamed"
        );
    }
}

#[test]
fn no_stream_is_mixed_while_versions_overlap() {
    for seed in soak_seeds(&SOFTWARE_SEEDS) {
        let findings = run_soak(|tasks| async move { software_soak(&tasks, seed).await });
        println!("seed {seed}: {:?}", findings.told);
        assert!(findings.broken.is_empty(), "seed {seed}: {:#?}", findings.broken);
        assert!(findings.told.contains_key("resumed: served"), "seed {seed}: no stream went on");
    }
}

#[test]
fn no_promise_breaks_while_everything_fails() {
    for seed in soak_seeds(&SEEDS) {
        check(seed, |tasks| async move { soak(&tasks, seed).await });
    }
}

#[test]
fn no_promise_breaks_while_gateways_are_partitioned() {
    for seed in soak_seeds(&PARTITION_SEEDS) {
        check(seed, |tasks| async move { partition_soak(&tasks, seed).await });
    }
}

/// Guards against gateways that cut responses of sound upstreams which fall silent for a second or so.
#[test]
fn no_response_is_cut_while_sound_upstreams_fall_silent() {
    for seed in soak_seeds(&SILENCE_SEEDS) {
        let told = check(seed, |tasks| async move { silence_soak(&tasks, seed).await });
        assert!(told.contains_key("Whole after a silence"), "seed {seed}: no response waited for a silence");
    }
}

fn check<F: Future<Output = Findings>>(seed: u64, soak: impl FnOnce(Tasks) -> F) -> BTreeMap<String, usize> {
    let findings = run_soak(soak);
    println!("seed {seed}: {:?}", findings.told);
    assert!(findings.broken.is_empty(), "seed {seed}: {:#?}", findings.broken);
    assert!(findings.told.contains_key("Whole"), "seed {seed}: nothing was served");
    findings.told
}
