//! `bendhinge status`.

use std::net::SocketAddr;
use std::path::Path;

use bendhinge_codes::ResultCode;
use serde_json::Value;

use super::CommandError;
use crate::router::{page, read_key};

pub(crate) fn run(key_file: &Path, routers: &[SocketAddr]) -> Result<(), CommandError> {
    let key = read_key(key_file)?;
    let mut failure = None;
    println!(
        "{:<12} {:>8} {:<32} {:>8} {:>8} {:>9}  note",
        "router", "revision", "digest", "list", "counting", "upstreams"
    );
    for router in routers {
        match page(*router, &key, "/status") {
            Ok(status) => print_status(&serde_json::from_str(&status).map_err(CommandError::Answer)?),
            Err(error) => {
                println!("{router} {error}");
                failure = Some(error);
            }
        }
    }
    failure.map_or(Ok(()), |error| Err(error.into()))
}

fn print_status(status: &Value) {
    let text = |field: &str| status[field].as_str().unwrap_or("-").to_owned();
    let number = |field: &str| status[field].as_u64().unwrap_or(0);
    let counting = status["counting_routers"].as_array().map_or(0, Vec::len);
    println!(
        "{:<12} {:>8} {:<32} {:>8} {counting:>8} {:>9}  {}",
        text("name"),
        number("configuration_revision"),
        text("configuration_digest"),
        number("list_revision"),
        number("upstreams"),
        note(status)
    );
}

fn note(status: &Value) -> String {
    let mut notes = Vec::new();
    if status["stopping"] == true {
        notes.push("stopping".to_owned());
    }
    if status["fresh"] == false {
        notes.push("woke from a freeze".to_owned());
    }
    if status["latest_revision"] != status["configuration_revision"] {
        notes.push(format!("revision {} settles", status["latest_revision"]));
    }
    if let Some(revision) = status["superseded_revision"].as_u64() {
        let digest = status["superseded_digest"].as_str().unwrap_or_default();
        notes.push(format!(
            "{}: another document of revision {revision} ({digest}) is superseded",
            ResultCode::PlanSuperseded
        ));
    }
    notes.join("; ")
}
