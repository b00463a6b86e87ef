//! Implementation of the commands, with one module each.

mod check;
mod confirm;
mod plan;
mod seal_first;
mod status;

use bendhinge_configuration::{IntentError, PlanError, SCHEMA};
use bendhinge_ini::Faults;

use crate::args::Command;
use crate::router::ReadError;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error("\n{0}")]
    Faults(#[from] Faults),
    #[error(transparent)]
    Intent(#[from] IntentError),
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error("invalid plan file: {0}")]
    BadPlan(serde_json::Error),
    #[error("invalid JSON in the router's response: {0}")]
    BadResponse(serde_json::Error),
    #[error("cannot write {0}: {1}")]
    WriteFile(std::path::PathBuf, std::io::Error),
}

/// Runs `command` and prints its result to standard output.
pub(crate) fn run(command: &Command) -> Result<(), CommandError> {
    match command {
        Command::Check { file } => check::run(file),
        Command::Plan(args) => plan::run(args),
        Command::Confirm(args) => confirm::run(args),
        Command::SealFirst { seal_key_file, file } => seal_first::run(seal_key_file, file),
        Command::Status { key_file, routers } => status::run(key_file, routers),
        Command::Codes => {
            print!("{}", bendhinge_codes::markdown_table());
            Ok(())
        }
        Command::Reference => {
            print!("{}", bendhinge_ini::markdown_reference(&SCHEMA));
            Ok(())
        }
    }
}
