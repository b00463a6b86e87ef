//! Measurements: one line a figure, `measure NAME VALUE UNIT`.

mod control;
mod decisions;
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

type Group = (&'static str, fn() -> Result<(), MeasureError>);

const GROUPS: &[Group] = &[
    ("router", router::run),
    ("control", control::run),
    ("failures", failures::run),
    ("placement.today", decisions::today),
    ("placement.curve", decisions::curve),
    ("placement.letter1", decisions::letter1),
    ("share", decisions::shares),
    ("decision", decisions::costs),
];

/// Runs all measurements whose group's name contains `only`.
pub fn run(only: Option<&str>) -> Result<(), MeasureError> {
    let wanted = |name: &str| only.is_none_or(|only| name.contains(only));
    for (_, group) in GROUPS.iter().filter(|(name, _)| wanted(name)) {
        group()?;
    }
    Ok(())
}
