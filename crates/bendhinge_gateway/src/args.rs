//! A gateway's command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A gateway of the bendhinge fleet.
///
/// Serves until SIGTERM, finishes what is in progress and exits with 0. SIGHUP has it read its
/// settings again. Exits with 1 if the settings have faults and 2 if it cannot be started.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Args {
    /// Only check the settings: print every fault and exit
    pub(crate) check: bool,
    /// Print the reference of the settings and exit
    pub(crate) reference: bool,
    /// The settings, an INI file
    #[bpaf(positional("SETTINGS"), optional)]
    pub(crate) settings: Option<PathBuf>,
}
