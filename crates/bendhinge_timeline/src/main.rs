//! The time-line reader.

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
    let fetched = fetch::records(&args.routers, &key, args.request.as_deref());
    for failure in &fetched.failures {
        eprintln!("bendhinge-timeline: {failure}");
    }
    for page in fetched.pages.iter().filter(|page| page.lost > 0) {
        eprintln!(
            "bendhinge-timeline: {}: {} earlier events made room and are lost",
            page.process.name, page.lost
        );
    }
    let filter = bendhinge_timeline::Filter { request: args.request.clone(), kind: args.kind.clone() };
    let line = bendhinge_timeline::merge(&fetched.pages, &filter);
    match args.format {
        Format::Text => bendhinge_timeline::lines(&line).iter().for_each(|text| println!("{text}")),
        Format::Json => line.iter().for_each(|placed| println!("{}", json(placed))),
        Format::Svg => print!("{}", bendhinge_timeline::svg(&line)),
    }
    if fetched.failures.is_empty() { ExitStatus::Success } else { ExitStatus::Failure }
}

fn json(placed: &bendhinge_timeline::Placed) -> String {
    let order = match placed.order {
        bendhinge_timeline::Order::SameProcess => "same_process",
        bendhinge_timeline::Order::Message => "message",
        bendhinge_timeline::Order::Clocks => "clocks",
    };
    serde_json::json!({ "process": placed.process, "order": order, "event": placed.event }).to_string()
}
