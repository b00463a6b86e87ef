//! Table of the ways of admitting requests to engine pools.

use crate::bench::engine_admission::{Load, Outcome, Way, run};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Prints one row for each load and way: means over the seeds, but the worst of the shares.
pub(super) fn run_all() {
    println!(
        "| Load, way | in time 0 | 1 | 2 | 3 | complete 0 | 1 | 2 | 3 | silent | cut | in calm | worst share | settled | settled others | refused again | rejected | idle | deviation |"
    );
    println!("|{}", " --- |".repeat(19));
    for load in Load::ALL {
        for way in Way::ALL {
            let outcomes: Vec<Outcome> = SEEDS.map(|seed| run(way, load, seed)).collect();
            println!("{}", row(&format!("{load:?}, {way:?}"), &outcomes));
        }
    }
}

fn row(name: &str, outcomes: &[Outcome]) -> String {
    let mean =
        |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64;
    let mut cells = vec![name.to_owned()];
    for priority in 0..4 {
        cells.push(format!("{:.3}", mean(&|o| o.priorities[priority].in_time / o.priorities[priority].sent)));
    }
    for priority in 0..4 {
        cells
            .push(format!("{:.3}", mean(&|o| o.priorities[priority].complete / o.priorities[priority].sent)));
    }
    for count in [|o: &Outcome| o.silent, |o: &Outcome| o.cut, |o: &Outcome| o.refused_in_calm] {
        cells.push(format!("{:.0}", mean(&count)));
    }
    for share in [Outcome::worst_share, Outcome::worst_settled_share, Outcome::worst_settled_share_of_others]
    {
        cells.push(format!("{:.2}", outcomes.iter().map(share).fold(1.0, f64::min)));
    }
    for count in [|o: &Outcome| o.refused_again, |o: &Outcome| o.rejected] {
        cells.push(format!("{:.0}", mean(&count)));
    }
    cells.push(format!("{:.3}", mean(&|o| o.idle)));
    cells.push(format!("{:.3}", mean(&|o| o.deviation)));
    format!("| {} |", cells.join(" | "))
}
