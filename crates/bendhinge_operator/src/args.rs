//! The tool's command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Plans, confirms and looks at the configuration of a bendhinge fleet.
///
/// Nothing takes effect until a confirmed document is published on the platform, which is done
/// with the platform's own means: this tool writes only the files that it is told to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("bendhinge"), version)]
pub(crate) enum Command {
    /// Check a configuration file: print every fault
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// State an intent and see what would change; nothing does
    #[bpaf(command)]
    Plan(#[bpaf(external(plan_args))] PlanArgs),
    /// Confirm a plan and print the document to publish
    #[bpaf(command)]
    Confirm(#[bpaf(external(confirm_args))] ConfirmArgs),
    /// Seal the first configuration of a fleet
    #[bpaf(command)]
    SealFirst {
        /// File with the seal key
        #[bpaf(argument("FILE"))]
        seal_key_file: PathBuf,
        /// The configuration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what routers have in force
    #[bpaf(command)]
    Status {
        /// File with the operators' key
        #[bpaf(argument("FILE"))]
        key_file: PathBuf,
        /// Operators' addresses of the routers
        #[bpaf(positional("ADDRESS"), some("name at least one router"))]
        routers: Vec<SocketAddr>,
    },
    /// Print the table of result codes
    #[bpaf(command)]
    Codes,
    /// Print the reference of the configuration
    #[bpaf(command)]
    Reference,
}

/// What a plan is made from.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct PlanArgs {
    /// Set a key: SECTION.KEY=VALUE, as class.readers.share=20
    #[bpaf(argument("CHANGE"), many)]
    pub(crate) set: Vec<String>,
    /// Remove a section, as customer.archive
    #[bpaf(argument("SECTION"), many)]
    pub(crate) remove: Vec<String>,
    /// Drain a data centre: its upstreams take no new work
    #[bpaf(argument("DATA-CENTRE"), many)]
    pub(crate) drain_data_centre: Vec<String>,
    /// Let a drained data centre serve again
    #[bpaf(argument("DATA-CENTRE"), many)]
    pub(crate) restore_data_centre: Vec<String>,
    /// Drain one upstream
    #[bpaf(argument("UPSTREAM"), many)]
    pub(crate) drain_upstream: Vec<String>,
    /// Print the plan as JSON, for confirm
    pub(crate) json: bool,
    /// Write the plan as JSON to this file, besides printing it
    #[bpaf(argument("FILE"))]
    pub(crate) out: Option<PathBuf>,
    /// File with the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// Operators' address of any router
    #[bpaf(argument("ADDRESS"))]
    pub(crate) router: SocketAddr,
}

/// What is confirmed.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ConfirmArgs {
    /// File with the operators' key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
    /// File with the seal key
    #[bpaf(argument("FILE"))]
    pub(crate) seal_key_file: PathBuf,
    /// Operators' address of any router
    #[bpaf(argument("ADDRESS"))]
    pub(crate) router: SocketAddr,
    /// The plan, as JSON
    #[bpaf(positional("PLAN"))]
    pub(crate) plan: PathBuf,
}
