//! The cases of the review and their stand-ins: `review-2 CASE FOLDER`, started by the `run.sh` of each case.

mod common;
#[path = "../5/play.rs"]
mod configuration;
#[path = "../6/play.rs"]
mod ends;
#[path = "../4/play.rs"]
mod evacuation;
#[path = "../8/play.rs"]
mod homes;
#[path = "../7/play.rs"]
mod idle;
mod proxy;
mod runner;

use std::path::Path;
use std::process::ExitCode;

use common::{Case, Record, Verdict};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "runner") {
        runner::run(&arguments[1..]);
        return ExitCode::SUCCESS;
    }
    if arguments.first().is_some_and(|first| first == "runners") {
        runner::run_many(&arguments[1..]);
        return ExitCode::SUCCESS;
    }
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let run = match case.as_str() {
        "4" => evacuation::run,
        "5" => configuration::run,
        "6" => ends::run,
        "7" => idle::run,
        "8" => homes::run,
        _ => return ExitCode::from(2),
    };
    let folder = Path::new(folder);
    let (Ok(record), Some(repository)) =
        (Record::create(&folder.join("record.txt")), folder.ancestors().nth(2))
    else {
        eprintln!("no record can be written into {}", folder.display());
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("bendhinge-review-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let case = Case { repository: repository.to_owned(), temporary, has_trouble, record };
    case.record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let verdict = run(&case);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&case.temporary);
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    case.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
