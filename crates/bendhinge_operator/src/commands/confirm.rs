//! `bendhinge confirm`: seals the document of a plan for publication.

use bendhinge_configuration::{Plan, SealKey};

use super::CommandError;
use crate::args::ConfirmArgs;
use crate::router::{fetch_page, read_file, read_key};

pub(crate) fn run(args: &ConfirmArgs) -> Result<(), CommandError> {
    let plan = read_file(&args.plan)?;
    let plan: Plan = serde_json::from_str(&plan).map_err(CommandError::BadPlan)?;
    let key = read_key(&args.key_file)?;
    let in_force = fetch_page(args.router, &key, "/configuration")?;
    let in_force = bendhinge_configuration::parse("the configuration in force", &in_force)?;
    let seal = SealKey::new(&read_key(&args.seal_key_file)?);
    let confirmed = plan.confirm(&in_force, &seal)?;
    print!("{}", confirmed.document);
    eprintln!("revision {}: publish this document unchanged on the platform,", confirmed.revision);
    eprintln!(
        "provided that revision {} is still published; then check with `bendhinge status`",
        plan.base_revision
    );
    Ok(())
}
