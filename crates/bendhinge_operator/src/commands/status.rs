//! `bendhinge status`: shows the configuration in force and the known members on each router.

use std::net::SocketAddr;
use std::path::Path;

use bendhinge_codes::ResultCode;
use serde_json::Value;

use super::CommandError;
use crate::router::{fetch_page, read_key};

pub(crate) fn run(key_file: &Path, routers: &[SocketAddr]) -> Result<(), CommandError> {
    let key = read_key(key_file)?;
    let mut last_error = None;
    println!(
        "{:<12} {:>8} {:<32} {:>8} {:>8} {:>9}  note",
        "router", "revision", "digest", "list", "counting", "upstreams"
    );
    for router in routers {
        match fetch_page(*router, &key, "/status") {
            Ok(status) => print_status(&serde_json::from_str(&status).map_err(CommandError::BadResponse)?),
            Err(error) => {
                println!("{router} {error}");
                last_error = Some(error);
            }
        }
    }
    last_error.map_or(Ok(()), |error| Err(error.into()))
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
        format_notes(status)
    );
}

fn format_notes(status: &Value) -> String {
    let mut notes = Vec::new();
    if status["stopping"] == true {
        notes.push("stopping".to_owned());
    }
    if status["fresh"] == false {
        notes.push("resumed after a suspension".to_owned());
    }
    if status["latest_revision"] != status["configuration_revision"] {
        notes.push(format!("revision {} not in force yet", status["latest_revision"]));
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
