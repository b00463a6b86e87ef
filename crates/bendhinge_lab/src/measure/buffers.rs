//! Measurements of the ways to choose which buffers are ended.

use crate::bench::buffers::{Figures, SCENES, Way, run};

const SEEDS: std::ops::Range<u64> = 0..40;

/// Prints a table of all scenes and ways.
pub(super) fn run_all() {
    println!("| scene | way | sound messages ended, of 1,000 | large ones ended, of 100 | most memory, MB |");
    println!("| --- | --- | --- | --- | --- |");
    for scene in &SCENES {
        for way in Way::ALL {
            let runs: Vec<Figures> = SEEDS.map(|seed| run(way, scene, seed)).collect();
            let sum = |of: fn(&Figures) -> usize| runs.iter().map(of).sum::<usize>() as f64;
            let ended = 1_000.0 * sum(|run| run.ended) / sum(|run| run.sound);
            let large_ended = 100.0 * sum(|run| run.large_ended) / sum(|run| run.large);
            let peak = runs.iter().map(|run| run.peak).max().unwrap_or(0) as f64 / 1e6;
            println!("| {} | {way:?} | {ended:.1} | {large_ended:.1} | {peak:.1} |", scene.name);
        }
    }
}
