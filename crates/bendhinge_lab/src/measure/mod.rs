//! Measurements: one line a figure, `measure NAME VALUE UNIT`.

mod buffers;
mod control;
mod decisions;
mod engine_admission;
mod failures;
mod router;

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A fleet could not be started or spoken to.
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
}

/// Prints one figure.
fn figure(name: &str, value: f64, unit: &str) {
    println!("measure {name} {value:.4} {unit}");
}

/// How a group of figures is run.
#[derive(Clone, Copy)]
enum Group {
    /// Over real processes, which may not start.
    Processes(fn() -> Result<(), MeasureError>),
    /// In this process alone.
    Bench(fn()),
}

const GROUPS: &[(&str, Group)] = &[
    ("router", Group::Processes(router::run)),
    ("control", Group::Processes(control::run)),
    ("failures", Group::Processes(failures::run)),
    ("placement.today", Group::Bench(decisions::today)),
    ("placement.curve", Group::Bench(decisions::curve)),
    ("placement.planned", Group::Bench(decisions::planned)),
    ("share", Group::Bench(decisions::shares)),
    ("decision", Group::Bench(decisions::costs)),
    ("warming", Group::Bench(decisions::warming)),
    ("prefill", Group::Bench(decisions::prefill)),
    ("slowed", Group::Bench(decisions::slowed)),
    ("pacing", Group::Bench(decisions::pacing)),
    ("engine_admission", Group::Bench(engine_admission::run_all)),
    ("plain_pools", Group::Bench(decisions::plain_pools)),
    ("crashing", Group::Bench(decisions::crashing)),
    ("crashing_parts", Group::Bench(decisions::crashing_parts)),
    ("resting", Group::Bench(decisions::resting)),
    ("retry_budget", Group::Bench(decisions::retry_budget)),
    ("buffers", Group::Bench(buffers::run_all)),
    ("pauses", Group::Bench(decisions::pauses)),
];

/// Runs all measurements whose group's name contains `only`.
pub fn run(only: Option<&str>) -> Result<(), MeasureError> {
    let wanted = |name: &str| only.is_none_or(|only| name.contains(only));
    for (_, group) in GROUPS.iter().filter(|(name, _)| wanted(name)) {
        match group {
            Group::Processes(run) => run()?,
            Group::Bench(run) => run(),
        }
    }
    Ok(())
}
