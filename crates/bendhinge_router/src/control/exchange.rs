//! Exchanges with one random router a period, and fetching what it has newer.

use bendhinge_ids::ConfigRevision;
use bendhinge_membership::{MemberList, Summary};
use opentelemetry::KeyValue;
use rand::Rng;
use rand::seq::IndexedRandom;
use smol::Timer;

use super::Control;
use crate::membership::RouterEntry;
use crate::{configuration, membership};

/// Exchanges made at once after a newer configuration was heard, so that it spreads faster than
/// one router a period.
const EAGER_EXCHANGES: usize = 2;

pub(super) async fn run(control: Control) {
    let period = control.node.settings.control.exchange;
    loop {
        // Half of the period is left to chance, so that routers do not fall into step.
        Timer::after(period.mul_f64(rand::rng().random_range(0.75..1.25))).await;
        let before = latest(&control);
        exchange_with_one(&control).await;
        if latest(&control) > before {
            for _ in 0..EAGER_EXCHANGES {
                exchange_with_one(&control).await;
            }
        }
    }
}

fn latest(control: &Control) -> ConfigRevision {
    control.node.configuration.lock().unwrap().latest().0
}

async fn exchange_with_one(control: &Control) {
    let fleet = control.node.fleet();
    let others: Vec<&RouterEntry> =
        fleet.routers.iter().filter(|router| router.name != control.node.life.name).collect();
    let Some(other) = others.choose(&mut rand::rng()) else { return };
    let began = bendhinge_clock::now();
    let told = membership::tell(&control.node);
    let answer = control.peers.call(other.address, async |peer| peer.exchange(&told).await).await;
    let result = if answer.is_ok() { "answered" } else { "failed" };
    control.node.metrics.exchanges.add(1, &[KeyValue::new("result", result)]);
    let Ok(summaries) = answer else { return };
    let own_word = summaries.iter().find(|summary| summary.name == other.name).cloned();
    membership::hear(&control.node, summaries);
    if let Some(summary) = own_word {
        fetch_newer(control, other, &summary).await;
    }
    // Only now is the view no older than the other router's.
    control.node.freshness.lock().unwrap().mark_renewed(began);
}

async fn fetch_newer(control: &Control, other: &RouterEntry, summary: &Summary) {
    let node = &control.node;
    let (revision, digest) = node.configuration.lock().unwrap().latest();
    let differs = summary.config_digest != digest;
    if differs && summary.config_revision >= revision && summary.config_revision > ConfigRevision::default() {
        let answer = control.peers.call(other.address, async |peer| peer.configuration(digest).await).await;
        if let Ok(answer) = answer {
            configuration::take_answer(node, other.name.as_str(), answer);
        }
    }
    let known = node.membership.lock().unwrap().directory.list().revision;
    if summary.list_revision > known {
        let answer = control.peers.call(other.address, async |peer| peer.members(known).await).await;
        let list = answer.ok().flatten().and_then(|bytes| serde_json::from_slice::<MemberList>(&bytes).ok());
        if let Some(list) = list
            && membership::take_list(node, other.name.as_str(), list)
        {
            membership::rebuild_fleet(node);
        }
    }
}
