//! Command-line tool for operators.

mod args;
mod commands;
mod render;
mod router;

use bendhinge_codes::ExitStatus;

fn main() -> ExitStatus {
    match commands::run(&args::command().run()) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("bendhinge: {error}");
            ExitStatus::Failure
        }
    }
}
