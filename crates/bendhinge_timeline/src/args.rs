//! The reader's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// How the time line is printed.
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
            _ => Err("write text, json or svg".to_owned()),
        }
    }
}

/// Merges the events of all routers into one time line.
///
/// Events tied by messages stand in causal order; `~` marks a place that only clocks decide.
/// What a box recorded is lost with its process.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// Only the events of this request
    #[bpaf(argument("ID"))]
    pub(crate) request: Option<String>,
    /// Only events whose text contains this
    #[bpaf(argument("TEXT"))]
    pub(crate) kind: Option<String>,
    /// text, json (one event a line) or svg
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    pub(crate) format: Format,
    /// File with the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// Operators' addresses of the routers
    #[bpaf(positional("ADDRESS"), some("name at least one router"))]
    pub(crate) routers: Vec<SocketAddr>,
}
