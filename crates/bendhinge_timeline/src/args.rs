//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// Output format of the timeline.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Format {
    Text,
    Json,
    Svg,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "svg" => Ok(Self::Svg),
            _ => Err("expected text, json or svg".to_owned()),
        }
    }
}

/// Merges the events of all routers into one timeline.
///
/// Events connected by messages are in causal order; `~` marks an order that only clocks determine.
/// Events are kept in memory and are lost when their process ends.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// Show only the events of this request
    #[bpaf(argument("ID"))]
    pub(crate) request: Option<String>,
    /// Show only events whose text contains this
    #[bpaf(argument("TEXT"))]
    pub(crate) kind: Option<String>,
    /// Output format: text, json (one event per line) or svg
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub(crate) format: Format,
    /// File that contains the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// Operator addresses of the routers
    #[bpaf(positional("ADDRESS"), some("expected at least one router address"))]
    pub(crate) routers: Vec<SocketAddr>,
}
