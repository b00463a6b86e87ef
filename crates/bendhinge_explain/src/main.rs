//! The program that tells a request's story.

mod args;

use std::path::Path;
use std::process::Termination as _;

use bendhinge_codes::ExitStatus;
use bendhinge_explain::{Entry, read_log, stories, tell};

use crate::args::Args;

fn main() -> std::process::ExitCode {
    run(&args::args().run()).report()
}

fn run(args: &Args) -> ExitStatus {
    let mut entries: Vec<Entry> = Vec::new();
    for log in &args.logs {
        match std::fs::read_to_string(log) {
            Ok(text) => entries.extend(read_log(gateway_of(log), &text)),
            Err(error) => {
                eprintln!("bendhinge-explain: {}: {error}", log.display());
                return ExitStatus::Usage;
            }
        }
    }
    let stories = stories(&entries, &args.request);
    for story in &stories {
        print!("{}", tell(story));
    }
    if stories.is_empty() {
        eprintln!(
            "bendhinge-explain: no line of {} tells of it; each try of a caller has a number of its own",
            args.request
        );
        return ExitStatus::Failure;
    }
    ExitStatus::Success
}

/// A log is named for its gateway.
fn gateway_of(log: &Path) -> &str {
    log.file_stem().and_then(|name| name.to_str()).unwrap_or("unknown")
}
