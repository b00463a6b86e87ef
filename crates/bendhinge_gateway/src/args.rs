//! Command-line arguments of the gateway.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A gateway of the bendhinge fleet.
///
/// Serves until SIGTERM, finishes the requests in progress and exits with 0. Reloads its settings on
/// SIGHUP. Exits with 1 if the settings are invalid and with 2 if the gateway cannot be started.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// Only check the settings: print all errors and exit
    pub(crate) check: bool,
    /// Print the reference of the settings and exit
    pub(crate) reference: bool,
    /// The settings file, in INI format
    #[bpaf(positional("SETTINGS"), optional)]
    pub(crate) settings: Option<PathBuf>,
}
