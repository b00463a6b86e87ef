//! Command-line program that explains how a request was handled.

mod args;

use std::path::Path;
use std::process::Termination as _;

use bendhinge_codes::ExitStatus;
use bendhinge_explain::{Entry, read_log, render, request_reports};

use crate::args::Args;

fn main() -> std::process::ExitCode {
    run(&args::args().run()).report()
}

fn run(args: &Args) -> ExitStatus {
    let mut entries: Vec<Entry> = Vec::new();
    for log in &args.logs {
        match std::fs::read_to_string(log) {
            Ok(text) => entries.extend(read_log(gateway_name(log), &text)),
            Err(error) => {
                eprintln!("bendhinge-explain: {}: {error}", log.display());
                return ExitStatus::Usage;
            }
        }
    }
    let reports = request_reports(&entries, &args.request);
    for report in &reports {
        print!("{}", render(report));
    }
    if reports.is_empty() {
        eprintln!(
            "bendhinge-explain: no log line reports request {}; each attempt of a caller has its own ID",
            args.request
        );
        return ExitStatus::Failure;
    }
    ExitStatus::Success
}

/// Derives the gateway's name from the name of its log file.
fn gateway_name(log: &Path) -> &str {
    log.file_stem().and_then(|name| name.to_str()).unwrap_or("unknown")
}
