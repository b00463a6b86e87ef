//! What is done at short periods: looking at the clock, settling configurations, following the
//! health of others, and starting admission rounds.

use std::time::Duration;

use bendhinge_ids::{BoxName, Instant, RouterInstance};
use smol::Timer;

use super::Control;
use crate::node::Node;
use crate::{admission, configuration, membership, placement};

const PERIOD: Duration = Duration::from_millis(100);
/// Routers that are no longer listed are forgotten after this silence.
const FORGET_AFTER: Duration = Duration::from_mins(1);

pub(super) async fn run(control: Control) {
    let mut next_round = bendhinge_clock::now();
    loop {
        Timer::after(PERIOD).await;
        let now = bendhinge_clock::now();
        control.node.is_fresh();
        look_after_permits(&control.node, now);
        follow_fleet(&control, now);
        placement::refresh_totals(&control.node);
        if now >= next_round {
            admission::begin_round(&control.node);
            next_round = now + control.node.settings.control.exchange;
        }
    }
}

fn follow_fleet(control: &Control, now: Instant) {
    let node = &control.node;
    let (highest, alone, counting) = {
        let mut membership = node.membership.lock().unwrap();
        let listed: Vec<BoxName> =
            membership.directory.listed_routers().map(|(name, _)| name.clone()).collect();
        membership.exchange.remove_unlisted(|name| listed.contains(name), FORGET_AFTER, now);
        let counting = membership.counting_routers(node, now);
        (membership.highest_revision(now), membership.is_alone(&node.life.name), counting)
    };
    let settled = configuration::settle(node, highest, alone);
    let health_changed = placement::refresh(node);
    let fleet = node.fleet();
    if settled || health_changed || counting != fleet.counting {
        membership::rebuild_fleet(node);
        control.peers.retain(|address| node.fleet().routers.iter().any(|router| router.address == address));
    }
}

/// Renews the permits of routers that were heard of, and ends those of lives that are over.
fn look_after_permits(node: &Node, now: Instant) {
    let heard: Vec<(RouterInstance, Instant)> = {
        let membership = node.membership.lock().unwrap();
        let heard = membership.exchange.summaries(now).map(|(summary, age)| {
            let life =
                RouterInstance { name: summary.name.clone(), incarnation: summary.version.incarnation };
            (life, now - age)
        });
        heard.collect()
    };
    let mut ledger = node.ledger.lock().unwrap();
    ledger.renew(&node.life, now);
    for (life, then) in &heard {
        ledger.renew(life, *then);
    }
    let is_over = |holder: &RouterInstance| {
        heard.iter().any(|(life, _)| life.name == holder.name && life.incarnation > holder.incarnation)
    };
    let over: Vec<RouterInstance> = ledger.holders().filter(|holder| is_over(holder)).cloned().collect();
    for holder in &over {
        ledger.revoke_permits(holder, now);
    }
    ledger.expire(now);
}
