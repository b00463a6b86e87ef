//! The order of upstreams for a chat.

use bendhinge_ids::ChatKey;
use bendhinge_placement::{Ranked, Ranking, UpstreamIndex};

fn ranked(number: usize, weight: f64, tier: u8) -> Ranked {
    Ranked { name: format!("engine-{number}").parse().unwrap(), weight, tier, serving: true }
}

fn names(ranking: &Ranking, chat: u64) -> Vec<String> {
    let list = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
    list.as_slice().iter().map(|index| ranking.get(*index).name.to_string()).collect()
}

/// A chat's order among upstreams does not change by those that come or go beside them.
#[test]
fn an_upstream_that_goes_moves_only_its_own_chats() {
    for count in [10, 200, 1_400] {
        let all = Ranking::new((0..count).map(|number| ranked(number, 1.0, 0)).collect());
        let gone = "engine-3";
        let fewer = Ranking::new(
            (0..count).filter(|number| *number != 3).map(|number| ranked(number, 1.0, 0)).collect(),
        );
        for chat in 0..2_000 {
            let before: Vec<String> = names(&all, chat).into_iter().filter(|name| name != gone).collect();
            let after = names(&fewer, chat);
            assert_eq!(before, after[..before.len()], "chat {chat} of {count}");
        }
    }
}

/// One that takes no new work keeps its place, so that a chat's lasting first stays the same.
#[test]
fn one_that_does_not_serve_keeps_its_place() {
    let serving = Ranking::new((0..20).map(|number| ranked(number, 1.0, 0)).collect());
    let drained = Ranking::new(
        (0..20).map(|number| Ranked { serving: number % 3 > 0, ..ranked(number, 1.0, 0) }).collect(),
    );
    for chat in 0..500 {
        assert_eq!(names(&serving, chat), names(&drained, chat));
    }
    assert_eq!(drained.serving(), 13);
}

/// First places are spread by weight: a chi-square test at one in a thousand, over fixed keys.
#[test]
fn first_places_are_spread_by_weight() {
    const CHATS: u64 = 40_000;
    for (count, weight_of) in
        [(40, (|_| 1.0) as fn(usize) -> f64), (100, |_| 1.0), (12, |number| 1.0 + number as f64 / 4.0)]
    {
        let ranking = Ranking::new((0..count).map(|number| ranked(number, weight_of(number), 0)).collect());
        let mut firsts = vec![0.0_f64; count];
        for chat in 0..CHATS {
            let list = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
            firsts[list.as_slice()[0].0 as usize] += 1.0;
        }
        let expected = |index: u32| ranking.share(UpstreamIndex(index)) * CHATS as f64;
        let chi: f64 = (0..)
            .zip(&firsts)
            .map(|(index, first)| (first - expected(index)).powi(2) / expected(index))
            .sum();
        // The mean is count - 1 and the deviation sqrt(2 (count - 1)); 3.5 deviations above.
        let freedom = (count - 1) as f64;
        let limit = freedom + 3.5 * (2.0 * freedom).sqrt();
        assert!(chi < limit, "{count} upstreams: chi-square {chi:.1} above {limit:.1}");
    }
}

/// Where a chat goes second does not depend on where it goes first.
#[test]
fn second_places_are_spread_too() {
    const CHATS: u64 = 60_000;
    let ranking = Ranking::new((0..10).map(|number| ranked(number, 1.0, 0)).collect());
    let mut pairs = vec![0.0_f64; 100];
    for chat in 0..CHATS {
        let list = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
        pairs[(list.as_slice()[0].0 * 10 + list.as_slice()[1].0) as usize] += 1.0;
    }
    let expected = CHATS as f64 / 90.0;
    let chi: f64 =
        pairs.iter().filter(|count| **count > 0.0).map(|count| (count - expected).powi(2) / expected).sum();
    let limit = 89.0 + 3.5 * (2.0_f64 * 89.0).sqrt();
    assert!(chi < limit, "chi-square {chi:.1} above {limit:.1}");
}

#[test]
fn a_nearer_tier_comes_first_whole() {
    let ranking = Ranking::new((0..12).map(|number| ranked(number, 1.0, u8::from(number >= 4))).collect());
    for chat in 0..500 {
        let list = ranking.shortlist(ChatKey::of("c", &u64::to_le_bytes(chat)));
        let tiers: Vec<u8> = list.as_slice().iter().map(|index| ranking.get(*index).tier).collect();
        assert_eq!(tiers, [0, 0, 0, 0, 1, 1, 1, 1]);
    }
}

/// The quick search of large groups finds what looking at all finds.
#[test]
fn large_groups_are_searched_alike() {
    let large = Ranking::new((0..500).map(|number| ranked(number, 1.0, 0)).collect());
    for chat in 0..300 {
        let best = &names(&large, chat)[..4];
        // Two halves, each small enough to be looked at whole after being split again.
        let mut champions = Vec::new();
        for start in (0..500).step_by(50) {
            let part = Ranking::new((start..start + 50).map(|number| ranked(number, 1.0, 0)).collect());
            champions.extend(names(&part, chat).into_iter().take(4));
        }
        let numbers = champions.iter().map(|name| name["engine-".len()..].parse().unwrap());
        let finalists = Ranking::new(numbers.map(|number| ranked(number, 1.0, 0)).collect());
        assert_eq!(best, &names(&finalists, chat)[..4], "chat {chat}");
    }
}
