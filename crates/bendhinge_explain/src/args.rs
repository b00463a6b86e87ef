//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Tells a request's story from the gateways' logs: each send, what its gateway believed around
/// it, what the result code means, and how its upstreams served others.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// The request's number
    #[bpaf(positional("REQUEST"))]
    pub(crate) request: String,
    /// Logs, each named for its gateway or with the gateway's name before each line
    #[bpaf(positional("LOG"), some("name at least one log"))]
    pub(crate) logs: Vec<PathBuf>,
}
