//! Command-line tool that prints the merged timeline of all routers.

mod args;
mod fetch;

use std::process::Termination as _;

use bendhinge_codes::ExitStatus;

use crate::args::{Args, Format};

fn main() -> std::process::ExitCode {
    let args = args::args().run();
    run(&args).report()
}

fn run(args: &Args) -> ExitStatus {
    let key = match std::fs::read_to_string(&args.key_file) {
        Ok(key) => key.trim().to_owned(),
        Err(error) => {
            eprintln!("bendhinge-timeline: {}: {error}", args.key_file.display());
            return ExitStatus::Usage;
        }
    };
    let results = fetch::fetch_pages(&args.routers, &key, args.request.as_deref());
    for failure in &results.failures {
        eprintln!("bendhinge-timeline: {failure}");
    }
    for page in results.pages.iter().filter(|page| page.lost > 0) {
        eprintln!(
            "bendhinge-timeline: {}: {} earlier events were evicted from the log",
            page.process.name, page.lost
        );
    }
    let filter = bendhinge_timeline::Filter { request: args.request.clone(), event_text: args.kind.clone() };
    let timeline = bendhinge_timeline::merge(&results.pages, &filter);
    match args.format {
        Format::Text => bendhinge_timeline::render_lines(&timeline).iter().for_each(|row| println!("{row}")),
        Format::Json => timeline.iter().for_each(|entry| println!("{}", json(entry))),
        Format::Svg => print!("{}", bendhinge_timeline::render_svg(&timeline)),
    }
    if results.failures.is_empty() { ExitStatus::Success } else { ExitStatus::Failure }
}

fn json(entry: &bendhinge_timeline::TimelineEntry) -> String {
    let basis = match entry.order_basis {
        bendhinge_timeline::OrderBasis::SameProcess => "same_process",
        bendhinge_timeline::OrderBasis::MessageChain => "message",
        bendhinge_timeline::OrderBasis::WallClock => "clocks",
    };
    serde_json::json!({ "process": entry.process, "order": basis, "event": entry.event }).to_string()
}
