//! `bendhinge check`.

use std::path::Path;

use super::CommandError;
use crate::router::read_file;

pub(crate) fn run(file: &Path) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let configuration = bendhinge_configuration::parse(&file.display().to_string(), &text)?;
    println!(
        "revision {}: {} zones, {} classes, {} tenants, {} pools; no faults",
        configuration.revision,
        configuration.zones.len(),
        configuration.classes.len(),
        configuration.tenants.len(),
        configuration.pools.len()
    );
    Ok(())
}
