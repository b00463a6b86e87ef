//! The tool's command line.

use std::time::Duration;

use bendhinge_lab::demo::DemoOptions;
use bpaf::Bpaf;

/// Starts fleets of real processes with stand-ins on loopback, loads and measures them.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Show a deployment under a load of its shape
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
    /// Measure; one line a figure
    #[bpaf(command)]
    Measure {
        /// Only groups whose name contains this
        #[bpaf(positional("GROUP"), optional)]
        only: Option<String>,
    },
}

fn demo_options() -> impl bpaf::Parser<DemoOptions> {
    use bpaf::Parser;
    let keep = bpaf::long("keep")
        .help("Seconds for which the fleet stays up after the load")
        .argument::<u64>("SECONDS")
        .fallback(0);
    let routers = bpaf::long("routers").help("Routers to start").argument::<usize>("N").fallback(3);
    let seed = bpaf::long("seed").help("Where random choices begin").argument::<u64>("N").fallback(1);
    let name = bpaf::positional::<String>("NAME")
        .help("boyaca or fjordvei")
        .guard(|name| name == "boyaca" || name == "fjordvei", "write boyaca or fjordvei")
        .fallback("boyaca".to_owned());
    bpaf::construct!(keep, routers, seed, name).map(|(keep, routers, seed, name)| DemoOptions {
        name,
        routers,
        keep: Duration::from_secs(keep),
        seed,
    })
}
