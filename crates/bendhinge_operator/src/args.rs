//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Plans, confirms and shows the configuration of a bendhinge fleet.
///
/// A change takes effect only when the confirmed document is published with the platform's own
/// tools. This tool changes nothing on the platform and writes only the files named on its command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("bendhinge"), version)]
pub(crate) enum Command {
    /// Validate a configuration file and print every fault
    #[bpaf(command)]
    Check {
        /// Configuration file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the effects of a change without applying it
    #[bpaf(command)]
    Plan(#[bpaf(external(plan_args))] PlanArgs),
    /// Confirm a plan and print the document to publish
    #[bpaf(command)]
    Confirm(#[bpaf(external(confirm_args))] ConfirmArgs),
    /// Seal the initial configuration of a fleet
    #[bpaf(command)]
    SealFirst {
        /// File that contains the seal key
        #[bpaf(argument("FILE"))]
        seal_key_file: PathBuf,
        /// Configuration file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the configuration in force on each router
    #[bpaf(command)]
    Status {
        /// File that contains the operators' key
        #[bpaf(argument("FILE"))]
        key_file: PathBuf,
        /// Operator addresses of the routers
        #[bpaf(positional("ADDRESS"), some("expected at least one router address"))]
        routers: Vec<SocketAddr>,
    },
    /// Print the table of result codes
    #[bpaf(command)]
    Codes,
    /// Print the configuration reference
    #[bpaf(command)]
    Reference,
}

/// Arguments of `bendhinge plan`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct PlanArgs {
    /// Set a key: SECTION.KEY=VALUE, such as class.readers.share=20
    #[bpaf(argument("CHANGE"), many)]
    pub(crate) set: Vec<String>,
    /// Remove a section, such as customer.archive
    #[bpaf(argument("SECTION"), many)]
    pub(crate) remove: Vec<String>,
    /// Drain a data centre: its upstreams accept no new requests
    #[bpaf(argument("DATA-CENTRE"), many)]
    pub(crate) drain_data_centre: Vec<String>,
    /// Return a drained data centre to service
    #[bpaf(argument("DATA-CENTRE"), many)]
    pub(crate) restore_data_centre: Vec<String>,
    /// Drain an upstream
    #[bpaf(argument("UPSTREAM"), many)]
    pub(crate) drain_upstream: Vec<String>,
    /// Print the plan as JSON, the input of confirm
    pub(crate) json: bool,
    /// Also write the plan as JSON to this file
    #[bpaf(argument("FILE"))]
    pub(crate) out: Option<PathBuf>,
    /// File that contains the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// Operator address of any router
    #[bpaf(argument("ADDRESS"))]
    pub(crate) router: SocketAddr,
}

/// Arguments of `bendhinge confirm`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ConfirmArgs {
    /// File that contains the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// File that contains the seal key
    #[bpaf(argument("FILE"))]
    pub(crate) seal_key_file: PathBuf,
    /// Operator address of any router
    #[bpaf(argument("ADDRESS"))]
    pub(crate) router: SocketAddr,
    /// Plan file in JSON format
    #[bpaf(positional("PLAN"))]
    pub(crate) plan: PathBuf,
}
