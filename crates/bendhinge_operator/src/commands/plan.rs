//! `bendhinge plan`: shows the effects of a change of the configuration.

use bendhinge_configuration::{Intent, Plan, PoolMember};
use bendhinge_membership::{MemberList, MemberRole, MemberState};

use super::CommandError;
use crate::args::PlanArgs;
use crate::render;
use crate::router::{fetch_page, read_key};

pub(crate) fn run(args: &PlanArgs) -> Result<(), CommandError> {
    let key = read_key(&args.key_file)?;
    let in_force = fetch_page(args.router, &key, "/configuration")?;
    let base = bendhinge_configuration::parse("the configuration in force", &in_force)?;
    let members = fetch_page(args.router, &key, "/members")?;
    let members: MemberList = serde_json::from_str(&members).map_err(CommandError::BadResponse)?;
    let plan = Plan::make(&base, &intents(args)?, &pool_members(&members))?;
    let json = serde_json::to_string_pretty(&plan).map_err(CommandError::BadResponse)?;
    if let Some(out) = &args.out {
        std::fs::write(out, &json).map_err(|error| CommandError::WriteFile(out.clone(), error))?;
    }
    if args.json {
        println!("{json}");
    } else {
        print!("{}", render::render_plan(&plan));
    }
    Ok(())
}

fn intents(args: &PlanArgs) -> Result<Vec<Intent>, CommandError> {
    let set_state =
        |title: String, value: &str| Intent::Set { title, key: "state".to_owned(), value: value.to_owned() };
    let mut intents = Vec::new();
    for change in &args.set {
        intents.push(Intent::parse_set(change)?);
    }
    intents.extend(args.remove.iter().map(|title| Intent::Remove { title: title.clone() }));
    intents.extend(
        args.drain_data_centre
            .iter()
            .map(|data_centre| set_state(format!("data_centre.{data_centre}"), "drained")),
    );
    intents.extend(
        args.restore_data_centre
            .iter()
            .map(|data_centre| set_state(format!("data_centre.{data_centre}"), "serving")),
    );
    intents.extend(
        args.drain_upstream.iter().map(|upstream| set_state(format!("upstream.{upstream}"), "drained")),
    );
    Ok(intents)
}

fn pool_members(list: &MemberList) -> Vec<PoolMember> {
    let live = list.members.iter().filter(|member| member.state == MemberState::Live);
    live.filter_map(|member| match &member.role {
        MemberRole::Router { .. } => None,
        MemberRole::Upstream { name, pool, weight } => Some(PoolMember {
            name: name.clone(),
            pool: pool.clone(),
            data_centre: member.data_centre.clone(),
            weight: *weight,
        }),
    })
    .collect()
}
