//! The load and experiment tool's process.

mod args;

use bendhinge_codes::ExitStatus;

use crate::args::{Command, command};

fn main() -> ExitStatus {
    match command().run() {
        Command::Demo(options) => report(bendhinge_lab::demo::run(&options)),
        Command::Measure { only } => report(bendhinge_lab::measure::run(only.as_deref())),
    }
}

fn report<E: std::fmt::Display>(result: Result<(), E>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("bendhinge-lab: {error}");
            ExitStatus::Failure
        }
    }
}
