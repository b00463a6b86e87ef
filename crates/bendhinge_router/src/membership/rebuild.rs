//! Making the fleet anew when the configuration, the list, or the health of members changed.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use bendhinge_admission::{CustomerIndex, PoolIndex};
use bendhinge_configuration::Configuration;
use bendhinge_ids::{BoxName, CustomerName, DataCentreName, NameHash, PoolName, UpstreamName};
use bendhinge_membership::MemberState;
use bendhinge_placement::{RankedUpstream, Ranking, owner_of};
use bendhinge_timeline::EventKind;

use super::fleet::{Fleet, FleetPool, Names, Owner, RouterEntry, Target};
use crate::admission;
use crate::node::Node;

/// An upstream as listed, with whether it may take new work.
struct Listed {
    target: Arc<Target>,
    weight: f64,
    data_centre: DataCentreName,
    live: bool,
}

/// Makes the fleet anew from what is known now.
pub(crate) fn rebuild_fleet(node: &Node) {
    let configuration = node.configuration.lock().unwrap().adoption.current().cloned();
    let before = node.fleet();
    let (routers, counting, listed) = read_membership(node);
    if counting != before.counting {
        node.metrics.counting_routers.set(counting.len() as u64);
        node.note(EventKind::CountingRoutersChanged { routers: counting.len() });
        hand_over(node, &before, &listed);
    }
    let pools =
        configuration.as_ref().map(|configuration| pools(node, configuration, &listed)).unwrap_or_default();
    let customers = configuration.as_ref().map(|configuration| customers(configuration)).unwrap_or_default();
    let names = configuration.as_ref().map(|configuration| names(configuration)).unwrap_or_default();
    let upstreams = listed.into_iter().map(|listed| listed.target).collect();
    let fleet = Fleet { configuration, routers, counting, pools, upstreams, customers, names };
    admission::follow(node, &fleet);
    node.set_fleet(fleet);
    crate::placement::refresh_totals(node);
}

fn read_membership(node: &Node) -> (Vec<RouterEntry>, Vec<BoxName>, Vec<Listed>) {
    let now = bendhinge_clock::now();
    let own = &node.life.name;
    let membership = node.membership.lock().unwrap();
    let directory = &membership.directory;
    let counting = membership.counting_routers(node, now);
    let routers: Vec<RouterEntry> = directory
        .listed_routers()
        .map(|(name, member)| RouterEntry { name: name.clone(), address: member.address })
        .collect();
    let health = node.health.lock().unwrap();
    let listed = directory
        .upstreams()
        .map(|(name, pool, weight, member)| {
            let hash = NameHash::of(name.as_str());
            let owner = owner(name, own, &counting, &routers);
            let target =
                Target { name: name.clone(), hash, pool: pool.clone(), address: member.address, owner };
            let live = member.state == MemberState::Live && health.is_reachable(hash);
            Listed { target: Arc::new(target), weight, data_centre: member.data_centre.clone(), live }
        })
        .collect();
    (routers, counting, listed)
}

fn owner(upstream: &UpstreamName, own: &BoxName, counting: &[BoxName], routers: &[RouterEntry]) -> Owner {
    match owner_of(upstream.as_str(), counting) {
        Some(name) if name == own => Owner::Own,
        Some(name) => {
            routers.iter().find(|router| router.name == *name).cloned().map_or(Owner::Nobody, Owner::Peer)
        }
        None => Owner::Nobody,
    }
}

/// Drops the counts of upstreams that another router counts for from now on.
fn hand_over(node: &Node, before: &Fleet, listed: &[Listed]) {
    let owned = listed.iter().map(|listed| &listed.target).filter(|target| target.owner == Owner::Own);
    let owned: HashSet<&UpstreamName> = owned.map(|target| &target.name).collect();
    let before = before.upstreams.iter().filter(|target| target.owner == Owner::Own);
    let lost = before.filter(|target| !owned.contains(&target.name));
    let mut ledger = node.ledger.lock().unwrap();
    lost.for_each(|target| ledger.drop_upstream(&target.name));
}

fn pools(
    node: &Node,
    configuration: &Configuration,
    listed: &[Listed],
) -> BTreeMap<PoolName, Arc<FleetPool>> {
    let numbered = configuration.pools.iter().enumerate();
    numbered
        .map(|(index, (name, rule))| {
            let members: Vec<&Listed> = listed.iter().filter(|member| member.target.pool == *name).collect();
            let serves = |member: &Listed| {
                member.live && configuration.accepts_new_work(&member.target.name, &member.data_centre)
            };
            let ranked = members.iter().map(|member| RankedUpstream {
                name: member.target.name.clone(),
                weight: member.weight,
                tier: tier(configuration, &node.settings.data_centre, &member.data_centre),
                serving: serves(member),
            });
            let ranking = Ranking::new(ranked.collect());
            let by_name: HashMap<&UpstreamName, &Arc<Target>> =
                members.iter().map(|member| (&member.target.name, &member.target)).collect();
            let targets: Vec<Arc<Target>> =
                ranking.upstreams().iter().map(|ranked| Arc::clone(by_name[&ranked.name])).collect();
            let hashes = targets.iter().map(|target| target.hash).collect();
            let pool = FleetPool {
                name: name.clone(),
                index: PoolIndex(index),
                rule: rule.clone(),
                ranking,
                targets,
                hashes,
            };
            (name.clone(), Arc::new(pool))
        })
        .collect()
}

/// 0 for upstreams of the router's own region, 1 for others.
fn tier(configuration: &Configuration, own: &DataCentreName, data_centre: &DataCentreName) -> u8 {
    let region = |data_centre| {
        configuration.data_centres.get(data_centre).map(|data_centre| data_centre.region.as_str())
    };
    u8::from(region(own) != region(data_centre))
}

fn customers(configuration: &Configuration) -> HashMap<CustomerName, CustomerIndex> {
    let numbered = configuration.customers.keys().enumerate();
    numbered.map(|(index, name)| (name.clone(), CustomerIndex(index))).collect()
}

fn names(configuration: &Configuration) -> Names {
    let pools = configuration.pools.keys().enumerate();
    let classes = configuration.classes.keys().enumerate();
    let customer_hashes: Vec<NameHash> =
        configuration.customers.keys().map(|name| NameHash::of(name.as_str())).collect();
    let customers = customer_hashes.iter().enumerate();
    Names {
        pools: pools.map(|(index, name)| (NameHash::of(name.as_str()), PoolIndex(index))).collect(),
        classes: classes.map(|(index, name)| (NameHash::of(name.as_str()), index)).collect(),
        customers: customers.map(|(index, hash)| (*hash, CustomerIndex(index))).collect(),
        customer_hashes,
    }
}
