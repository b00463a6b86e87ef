//! Command-line arguments.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Explains the handling of a request from the gateways' logs: each send, the gateway's state
/// changes around it, the meaning of the result code, and how its upstreams served other requests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// ID of the request
    #[bpaf(positional("REQUEST"))]
    pub(crate) request: String,
    /// Log files, each named after its gateway or with the gateway's name before each line
    #[bpaf(positional("LOG"), some("at least one log file is required"))]
    pub(crate) logs: Vec<PathBuf>,
}
