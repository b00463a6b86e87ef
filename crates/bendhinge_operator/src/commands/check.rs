//! `bendhinge check`: validates a configuration file.

use std::path::Path;

use super::CommandError;
use crate::router::read_file;

pub(crate) fn run(file: &Path) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let configuration = bendhinge_configuration::parse(&file.display().to_string(), &text)?;
    println!(
        "revision {}: {} data centres, {} classes, {} customers, {} pools; no faults",
        configuration.revision,
        configuration.data_centres.len(),
        configuration.classes.len(),
        configuration.customers.len(),
        configuration.pools.len()
    );
    Ok(())
}
