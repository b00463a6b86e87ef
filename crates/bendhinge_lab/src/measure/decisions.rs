//! Figures of the decisions, from the bench in virtual time.

use super::figure;
use crate::bench::placement::PlacementFigures;
use crate::bench::warming::{ROUTERS, Way};
use crate::bench::{
    PolicyKind, Scenario, admission, crashing, crashing_parts, decision, pauses, placement, plain_pool,
    prefill, resting, retry_budget, shared_pool, slowed, warming,
};

/// Runs of a scenario; figures are their means, worst cases their worst.
const SEEDS: [u64; 3] = [20_261_202, 20_261_203, 20_261_204];

pub(super) fn today() {
    compare(Scenario::TODAY);
}

pub(super) fn planned() {
    compare(Scenario::PLANNED);
}

fn run(kind: PolicyKind, scenario: Scenario) -> PlacementFigures {
    // A large run averages over enough by itself.
    let seeds = if scenario.routers > 100 { &SEEDS[..1] } else { &SEEDS };
    let runs = seeds.iter().map(|seed| placement::run(kind, scenario, *seed));
    PlacementFigures::over_runs(&runs.collect::<Vec<_>>())
}

/// Runs each kind on a thread of its own: they share nothing, and none of their figures is a time.
fn run_all(kinds: &[PolicyKind], scenario: Scenario) -> Vec<PlacementFigures> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = kinds.iter().map(|kind| scope.spawn(move || run(*kind, scenario))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a bench does not panic")).collect()
    })
}

fn compare(scenario: Scenario) {
    let size = scenario.name;
    let kinds = [PolicyKind::Bendhinge, PolicyKind::Oracle].into_iter().chain(PolicyKind::BASELINES);
    let kinds: Vec<PolicyKind> = kinds.collect();
    let results = run_all(&kinds, scenario);
    let (ours, oracle) = (&results[0], &results[1]);
    figure(&format!("reuse.churn.{size}"), ours.reuse, "ratio");
    figure(&format!("reuse.oracle.{size}"), oracle.reuse, "ratio");
    figure(&format!("reuse.oracle_ratio.{size}"), ours.reuse / oracle.reuse, "ratio");
    // With an engine lost every second routers never agree for long, and there is nothing to tell.
    if ours.peak_over_bound > 0.0 {
        figure(&format!("skew.peak_over_bound.{size}"), ours.peak_over_bound, "ratio");
    }
    let disagreeing = ours.peak_over_bound_disagreeing;
    figure(&format!("skew.peak_over_bound.{size}.disagreeing"), disagreeing, "ratio");
    figure(&format!("skew.admissions_over_bound.{size}"), ours.over_bound, "ratio");
    figure(&format!("skew.p99_over_mean.{size}"), ours.p99_over_mean, "ratio");
    figure(&format!("skew.p99_over_mean.{size}.oracle"), oracle.p99_over_mean, "ratio");
    figure(&format!("placement.refused.{size}"), ours.refused as f64, "turns");
    figure(&format!("placement.placed.{size}"), ours.placed as f64, "turns");
    figure(&format!("placement.asked_per_turn.{size}"), ours.asked_per_turn, "messages");
    figure(&format!("placement.messages_per_router.{size}"), ours.messages_per_router, "1/s");
    for (baseline, figures) in kinds.iter().zip(&results).skip(2) {
        let name = baseline.name();
        figure(&format!("reuse.churn.{size}.baseline_{name}"), figures.reuse, "ratio");
        let worst = figures.peak_over_bound.max(figures.peak_over_bound_disagreeing);
        figure(&format!("skew.peak_over_bound.{size}.baseline_{name}"), worst, "ratio");
        figure(&format!("skew.p99_over_mean.{size}.baseline_{name}"), figures.p99_over_mean, "ratio");
    }
}

/// The one setting that moves between reuse and skew.
pub(super) fn curve() {
    for bound in [1.1, 1.25, 1.5, 1.75, 2.0, 3.0] {
        let scenario = Scenario { bound, ..Scenario::TODAY };
        let ours = run(PolicyKind::Bendhinge, scenario);
        figure(&format!("reuse.churn.bound_{bound}"), ours.reuse, "ratio");
        figure(&format!("skew.p99_over_mean.bound_{bound}"), ours.p99_over_mean, "ratio");
    }
}

pub(super) fn costs() {
    for upstreams in [40, 350, 1_400] {
        figure(&format!("decision.place_ns.{upstreams}_upstreams"), decision::place_ns(upstreams), "ns");
    }
    for bytes in [0, 1_000, 18_000, 110_000] {
        figure(&format!("decision.digest_ns.{bytes}_bytes"), decision::digest_ns(bytes), "ns");
        figure(&format!("decision.hint_ns.{bytes}_bytes"), decision::hint_ns(bytes), "ns");
    }
    for parts in [2, 8, 64] {
        figure(&format!("decision.answered_parts_ns.{parts}"), decision::answered_parts_ns(parts), "ns");
    }
    for customers in [10, 500, 4_500] {
        let open = decision::open_configuration_ms(customers);
        figure(&format!("decision.open_configuration_ms.{customers}_customers"), open, "ms");
        figure(&format!("decision.admit_ns.{customers}_customers"), decision::admit_ns(customers, 23), "ns");
    }
}

/// Shares under a surge, with the routers of today, with more, and with a single one that sees
/// everything.
pub(super) fn shares() {
    for routers in [1, 3, 9, 36] {
        let runs: Vec<_> = SEEDS.iter().map(|seed| admission::run(routers, *seed)).collect();
        let worst = |figure: fn(&admission::AdmissionFigures) -> f64| {
            runs.iter().map(figure).fold(f64::MAX, f64::min)
        };
        let highest =
            |figure: fn(&admission::AdmissionFigures) -> f64| runs.iter().map(figure).fold(0.0, f64::max);
        let name = format!("{routers}_routers");
        figure(&format!("share.worst_ratio.{name}"), worst(|run| run.worst_class), "ratio");
        figure(&format!("share.worst_customer_ratio.{name}"), worst(|run| run.worst_customer), "ratio");
        figure(&format!("refuse.false.{name}"), highest(|run| run.false_refusals), "ratio");
        figure(
            &format!("refuse.false_by_a_twentieth.{name}"),
            highest(|run| run.false_by_a_twentieth),
            "ratio",
        );
        figure(&format!("admission.peak_over_slots.{name}"), highest(|run| run.peak_over_slots), "ratio");
        figure(&format!("admission.utilization.{name}"), worst(|run| run.utilization), "ratio");
    }
}

/// Sparing upstreams that warm up, by each way, with what the routers know of each other.
pub(super) fn warming() {
    const WARMING: usize = 30;
    let ways = [
        ("unspared", Way::Unspared),
        ("three_named_routers", Way::NamedRouters(3)),
        ("eight_named_routers", Way::NamedRouters(8)),
        ("equal_shares", Way::EqualShares),
        ("drawn", Way::Drawn),
    ];
    for (name, way) in ways {
        let all = warming::run(way, WARMING, |_| Some(ROUTERS), 1);
        let two_thirds = warming::run(way, WARMING, |_| Some(ROUTERS * 2 / 3), 2);
        let few = warming::run(way, WARMING, |router| if router % 4 == 0 { None } else { Some(ROUTERS) }, 3);
        figure(&format!("warming.{name}.mean"), all.usual_mean, "1/s");
        figure(&format!("warming.{name}.most"), all.most as f64, "in 1 s");
        figure(&format!("warming.{name}.most.third_unknown"), two_thirds.most as f64, "in 1 s");
        figure(&format!("warming.{name}.most.quarter_alone"), few.most as f64, "in 1 s");
    }
}

/// Heeding how slow upstreams say they are, by each way and size.
pub(super) fn slowed() {
    use slowed::Way;
    let ways = [
        ("unheeded", Way::Unheeded),
        ("factor_0.1_s", Way::Factor(100.0)),
        ("factor_4_s", Way::Factor(4_000.0)),
        ("share_0.3_s", Way::Share(300.0)),
    ];
    for (routers, upstreams) in slowed::SIZES {
        for news_ms in slowed::AGES_MS {
            for (name, way) in ways {
                let seen = slowed::run(way, slowed::Scene { routers, upstreams, news_ms }, 1);
                let name = format!("slowed.{name}.{routers}_routers.news_{news_ms}_ms");
                figure(&format!("{name}.mean"), seen.mean_ms, "ms");
                figure(&format!("{name}.over_bound"), seen.over_bound, "in 1000");
            }
        }
    }
}

/// Finding what pauses of streams coincide with, by each way and part of the requests that are the gateway's own.
pub(super) fn pauses() {
    use pauses::{OWN_SHARES, Way};
    let ways = [
        ("at_begin", Way::AtBegin),
        ("at_end", Way::AtEnd),
        ("history_1_s", Way::History(1_000)),
        ("history_10_s", Way::History(10_000)),
        ("totals", Way::Totals),
    ];
    for own_share in OWN_SHARES {
        for (name, way) in ways {
            let runs = SEEDS.map(|seed| pauses::run(way, own_share, seed));
            let sum = |count: fn(&pauses::Seen) -> u32| f64::from(runs.iter().map(count).sum::<u32>());
            let most_entries = runs.iter().map(|seen| seen.most_entries).max().unwrap_or(0);
            let name = format!("pauses.{name}.own_{own_share}");
            figure(&format!("{name}.pauses"), sum(|seen| seen.pauses), "streams");
            figure(&format!("{name}.right"), sum(|seen| seen.right) / sum(|seen| seen.pauses), "ratio");
            figure(
                &format!("{name}.own_recognized"),
                sum(|seen| seen.own_recognized) / sum(|seen| seen.own),
                "ratio",
            );
            figure(&format!("{name}.most_entries"), most_entries as f64, "entries");
        }
    }
    figure("pauses.event_cost", pauses::event_cost_nanos(), "ns");
}

/// Estimating the work at engines, by each way: means over ten seeds.
pub(super) fn prefill() {
    use prefill::{Figures, Scene};
    let scenes = [(88, 500.0), (88, 250.0), (9, 500.0)];
    for (routers, requests_per_sec) in scenes {
        let scene = Scene { routers, requests_per_sec, is_overloaded: false };
        for way in prefill::WAYS {
            let runs: Vec<Figures> = (1..=10).map(|seed| prefill::run(way, scene, seed)).collect();
            let print = |what: &str, value: fn(&Figures) -> f64, unit| {
                let mean = runs.iter().map(value).sum::<f64>() / runs.len() as f64;
                let name = format!("prefill.{}.{routers}_routers.{requests_per_sec}_per_s.{what}", way.name);
                figure(&name, mean, unit);
            };
            print("start_first_event_p99", |run| run.start_p99_ms, "ms");
            print("start_behind_others_p95", |run| run.start_p95_behind_ms, "ms");
            print("start_behind_others_most", |run| run.start_most_behind_ms, "ms");
            print("later_first_event_p99", |run| run.later_p99_ms, "ms");
            print("read_again", |run| run.read_again as f64, "prompts");
            print("paused", |run| run.paused, "in 1000");
        }
    }
    let scene = Scene { routers: 88, requests_per_sec: 500.0, is_overloaded: true };
    for seed in 1..=3 {
        let run = prefill::run(prefill::CHOSEN, scene, seed);
        let name = format!("prefill.predicted_wait.seed_{seed}");
        figure(&format!("{name}.within_factor_2"), run.predicted_share, "ratio");
        figure(&format!("{name}.median_to_actual"), run.predicted_ratio, "ratio");
    }
}

/// Letting requests in before a small pool of plain upstreams, by each way.
pub(super) fn pacing() {
    use plain_pool::Way;
    for (name, way) in [("all", Way::All), ("paced", Way::Paced), ("counted", Way::Counted)] {
        let seen = plain_pool::run(way, 1);
        figure(&format!("pacing.{name}.in_time"), seen.in_time_per_second, "1/s");
        figure(&format!("pacing.{name}.others_in_time"), seen.others_in_time, "ratio");
        figure(&format!("pacing.{name}.others_answered"), seen.others_answered, "ratio");
        figure(&format!("pacing.{name}.large_in_time"), seen.large_in_time, "ratio");
        figure(&format!("pacing.{name}.second_sends"), seen.second_sends, "for each request");
        figure(&format!("pacing.{name}.refused_in_calm"), f64::from(seen.refused_in_calm), "requests");
    }
}

/// Counting the crashes under one request, by each way, with what befalls the routers.
pub(super) fn crashing() {
    use crashing::{Scene, Seen, Trouble, Way};
    let ways = [
        ("uncounted", Way::Uncounted),
        ("alone", Way::Alone),
        ("exchanged", Way::Exchanged),
        ("second_told", Way::SecondTold),
        ("told", Way::Told),
        ("named", Way::Named),
        ("with_sends", Way::WithSends),
    ];
    let troubles = [
        ("calm", Trouble::None),
        ("cut_off", Trouble::CutOff),
        ("frozen", Trouble::Frozen),
        ("killed", Trouble::Killed),
    ];
    for (routers, upstreams, seeds) in [(9, 12, 200), (295, 250, 4)] {
        for (trouble_name, trouble) in troubles {
            for (name, way) in ways {
                let scene = Scene { routers, upstreams, trouble };
                let seen: Vec<Seen> = (0..seeds).map(|seed| crashing::run(way, scene, seed)).collect();
                let mean = |of: fn(&Seen) -> f64| seen.iter().map(of).sum::<f64>() / seen.len() as f64;
                let most = |of: fn(&Seen) -> usize| seen.iter().map(of).max().unwrap_or(0) as f64;
                let sound: usize = seen.iter().map(|seen| seen.sound).sum();
                let refused: usize = seen.iter().map(|seen| seen.sound_quarantined).sum();
                let later: usize = seen.iter().map(|seen| seen.sound_later).sum();
                let name = format!("crashing.{routers}.{trouble_name}.{name}");
                figure(&format!("{name}.mean"), mean(|seen| seen.crashed as f64), "upstreams");
                figure(&format!("{name}.most"), most(|seen| seen.crashed), "upstreams");
                figure(&format!("{name}.late_most"), most(|seen| seen.late), "sends");
                figure(&format!("{name}.sound_lost"), mean(|seen| seen.sound_lost as f64), "requests");
                figure(&format!("{name}.sound_refused"), refused as f64, &format!("of {sound}"));
                figure(&format!("{name}.sound_later"), later as f64, &format!("of {sound}"));
                figure(&format!("{name}.messages"), mean(|seen| seen.messages), "for each router");
            }
        }
    }
}

/// Blaming a part of prompts for crashes, by each way.
pub(super) fn crashing_parts() {
    use crashing_parts::{OtherCrashes, Outcome, Scene, Way, run};
    const SEEDS: u64 = 40;
    let part = Scene {
        crashing_per_second: 2.0,
        has_companion: false,
        other_crashes: OtherCrashes::None,
        sound_per_second: 26.0,
    };
    let none = Scene { crashing_per_second: 0.0, ..part };
    let scenes = [
        ("part", part),
        ("part_and_companion", Scene { has_companion: true, ..part }),
        ("part_beside_waves", Scene { other_crashes: OtherCrashes::Waves, ..part }),
        ("part_in_little_traffic", Scene { sound_per_second: 2.0, ..part }),
        ("waves", Scene { other_crashes: OtherCrashes::Waves, ..none }),
        (
            "waves_in_heavy_traffic",
            Scene { other_crashes: OtherCrashes::Waves, sound_per_second: 100.0, ..none },
        ),
        ("single_crashes", Scene { other_crashes: OtherCrashes::Single, ..none }),
    ];
    let ways = [
        ("none", Way::None),
        ("counts", Way::Counts),
        ("ratio", Way::Ratio),
        ("shares", Way::Shares),
        ("consecutive", Way::Consecutive),
    ];
    for (scene_name, scene) in scenes {
        for (way_name, way) in ways {
            let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| run(way, scene, seed)).collect();
            let total = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).sum::<usize>() as f64;
            let most = |of: fn(&Outcome) -> usize| outcomes.iter().map(of).max().unwrap_or(0) as f64;
            let sound = total(|outcome| outcome.sound);
            let name = format!("crashing_parts.{scene_name}.{way_name}");
            figure(&format!("{name}.crashes"), total(|outcome| outcome.crashes) / SEEDS as f64, "upstreams");
            figure(&format!("{name}.crashes_most"), most(|outcome| outcome.crashes), "upstreams");
            figure(&format!("{name}.late_most"), most(|outcome| outcome.late), "sends");
            figure(
                &format!("{name}.sound_refused"),
                total(|outcome| outcome.refused),
                &format!("of {sound}"),
            );
            figure(
                &format!("{name}.sound_deferred"),
                total(|outcome| outcome.deferred),
                &format!("of {sound}"),
            );
            let blamed = total(|outcome| usize::from(outcome.is_first_blamed));
            figure(&format!("{name}.first_blamed"), blamed, &format!("of {SEEDS} runs"));
        }
    }
}

/// Retry budgets across restarts, as rows of a table.
pub(super) fn retry_budget() {
    use retry_budget::{FLEETS, Figures, Way, run, scenes};
    const RUNS: u32 = 20;
    for fleet in FLEETS {
        println!(
            "| {} routers | way | highest use of the budget | rescued | retries per rescue |",
            fleet.routers
        );
        println!("| --- | --- | --- | --- | --- |");
        for scene in scenes() {
            for way in Way::ALL {
                let runs: Vec<Figures> =
                    (0..RUNS).map(|seed| run(way, &scene, fleet, u64::from(seed))).collect();
                let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / f64::from(RUNS);
                let highest = runs.iter().map(|run| run.highest_use).fold(0.0, f64::max);
                let (rescued, retries) = (mean(|run| run.rescued), mean(|run| run.retries_per_rescue));
                println!("| {} | {way:?} | {highest:.2} | {rescued:.3} | {retries:.1} |", scene.name);
            }
        }
    }
}

pub(super) fn resting() {
    use resting::{Scene, Seen, Trouble, Way};
    let ways = [
        ("unread", Way::Unread),
        ("own", Way::Own),
        ("told_all", Way::ToldAll),
        ("told_as_hint", Way::ToldAsHint),
    ];
    let troubles = [("odd", Trouble::Odd), ("all_odd", Trouble::AllOdd), ("full", Trouble::Full)];
    for (routers, upstreams, seeds) in [(9, 12, 20), (78, 60, 4), (295, 250, 1)] {
        for (trouble_name, trouble) in troubles {
            for (name, way) in ways {
                let scene = Scene { routers, upstreams, trouble };
                let seen: Vec<Seen> = (0..seeds).map(|seed| resting::run(way, scene, seed)).collect();
                let sum = |of: fn(&Seen) -> usize| seen.iter().map(of).sum::<usize>() as f64;
                let requests = sum(|seen| seen.requests);
                let name = format!("resting.{routers}.{trouble_name}.{name}");
                figure(&format!("{name}.broken"), sum(|seen| seen.broken) / seeds as f64, "rests a run");
                let share = |of: fn(&Seen) -> usize| 100.0 * sum(of) / requests;
                figure(&format!("{name}.answered"), share(|seen| seen.answered), "in 100");
                figure(&format!("{name}.turned_away"), share(|seen| seen.turned_away), "in 100");
                figure(&format!("{name}.with_room"), share(|seen| seen.refused_with_room), "in 100");
            }
        }
    }
}

/// Ways to choose an upstream of a plain pool and to hedge, as rows of a table.
pub(super) fn plain_pools() {
    use shared_pool::{COMPARED, COMPARED_SHIFTS, Figures, Hedge, LOADS, SHIFTS, mean};
    for (name, load) in LOADS {
        println!("| {name} | in time | p99, ms | rejected | over the bound | hedges |");
        println!("| --- | --- | --- | --- | --- | --- |");
        let rows: Vec<Figures> = std::thread::scope(|scope| {
            let threads = COMPARED.map(|way| scope.spawn(move || mean(way, load, &SEEDS)));
            threads.map(|thread| thread.join().expect("a bench does not panic")).into()
        });
        for ((choice, hedge), row) in COMPARED.iter().zip(rows) {
            let Figures { in_time, p99_ms, rejected, over_bound, hedges, .. } = row;
            println!(
                "| {choice:?}, {hedge:?} | {in_time:.1} | {p99_ms:.0} | {rejected:.1} | {over_bound:.1} | {hedges:.0} |"
            );
        }
    }
    for (name, load) in SHIFTS {
        println!("| {name} | worst five seconds over the bound, of 1,000 | in time | p99, ms | questions |");
        println!("| --- | --- | --- | --- | --- |");
        let rows: Vec<Figures> = std::thread::scope(|scope| {
            let threads =
                COMPARED_SHIFTS.map(|choice| scope.spawn(move || mean((choice, Hedge::Tail), load, &SEEDS)));
            threads.map(|thread| thread.join().expect("a bench does not panic")).into()
        });
        for (choice, row) in COMPARED_SHIFTS.iter().zip(rows) {
            let Figures { worst_over_bound, in_time, p99_ms, questions, .. } = row;
            let worst = worst_over_bound * 1_000.0;
            println!("| {choice:?} | {worst:.0} | {in_time:.1} | {p99_ms:.0} | {questions:.0} |");
        }
    }
}
