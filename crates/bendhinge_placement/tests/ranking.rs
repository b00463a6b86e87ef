//! Tests of the ranking of upstreams.

use bendhinge_ids::ChatKey;
use bendhinge_placement::{RankedUpstream, Ranking, UpstreamIndex};

fn ranked(number: usize, weight: f64, tier: u8) -> RankedUpstream {
    RankedUpstream { name: format!("engine-{number}").parse().unwrap(), weight, tier, serving: true }
}

fn names(ranking: &Ranking, chat: u64) -> Vec<String> {
    let shortlist = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
    shortlist.as_slice().iter().map(|index| ranking.get(*index).name.to_string()).collect()
}

/// Adding or removing an upstream must not change the relative order of the others.
#[test]
fn removing_an_upstream_moves_only_its_chats() {
    for count in [10, 200, 1_400] {
        let all = Ranking::new((0..count).map(|number| ranked(number, 1.0, 0)).collect());
        let removed = "engine-3";
        let remaining = Ranking::new(
            (0..count).filter(|number| *number != 3).map(|number| ranked(number, 1.0, 0)).collect(),
        );
        for chat in 0..2_000 {
            let before: Vec<String> = names(&all, chat).into_iter().filter(|name| name != removed).collect();
            let after = names(&remaining, chat);
            assert_eq!(before, after[..before.len()], "chat {chat}, {count} upstreams");
        }
    }
}

/// A chat's preferred upstream must not change while it is drained.
#[test]
fn drained_upstream_keeps_its_rank() {
    let serving = Ranking::new((0..20).map(|number| ranked(number, 1.0, 0)).collect());
    let drained = Ranking::new(
        (0..20).map(|number| RankedUpstream { serving: number % 3 > 0, ..ranked(number, 1.0, 0) }).collect(),
    );
    for chat in 0..500 {
        assert_eq!(names(&serving, chat), names(&drained, chat));
    }
    assert_eq!(drained.serving_count(), 13);
}

/// Chi-square test of the first choices against the weights, over fixed keys.
#[test]
fn first_choices_follow_weights() {
    const CHATS: u64 = 40_000;
    for (count, weight_of) in
        [(40, (|_| 1.0) as fn(usize) -> f64), (100, |_| 1.0), (12, |number| 1.0 + number as f64 / 4.0)]
    {
        let ranking = Ranking::new((0..count).map(|number| ranked(number, weight_of(number), 0)).collect());
        let mut firsts = vec![0.0_f64; count];
        for chat in 0..CHATS {
            let shortlist = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
            firsts[shortlist.as_slice()[0].0 as usize] += 1.0;
        }
        let expected = |index: u32| ranking.weight_share(UpstreamIndex(index)) * CHATS as f64;
        let chi_square: f64 = (0..)
            .zip(&firsts)
            .map(|(index, first)| (first - expected(index)).powi(2) / expected(index))
            .sum();
        // The statistic has mean `count - 1` and standard deviation `sqrt(2 (count - 1))`;
        // the limit is 3.5 standard deviations above the mean.
        let degrees_of_freedom = (count - 1) as f64;
        let limit = degrees_of_freedom + 3.5 * (2.0 * degrees_of_freedom).sqrt();
        assert!(chi_square < limit, "{count} upstreams: chi-square {chi_square:.1} above {limit:.1}");
    }
}

/// The second choice must be independent of the first.
#[test]
fn second_choices_are_independent_of_first() {
    const CHATS: u64 = 60_000;
    let ranking = Ranking::new((0..10).map(|number| ranked(number, 1.0, 0)).collect());
    let mut pairs = vec![0.0_f64; 100];
    for chat in 0..CHATS {
        let shortlist = ranking.shortlist(ChatKey::of("c", &chat.to_le_bytes()));
        pairs[(shortlist.as_slice()[0].0 * 10 + shortlist.as_slice()[1].0) as usize] += 1.0;
    }
    let expected = CHATS as f64 / 90.0;
    let chi_square: f64 =
        pairs.iter().filter(|count| **count > 0.0).map(|count| (count - expected).powi(2) / expected).sum();
    let limit = 89.0 + 3.5 * (2.0_f64 * 89.0).sqrt();
    assert!(chi_square < limit, "chi-square {chi_square:.1} above {limit:.1}");
}

#[test]
fn nearer_tier_precedes_all_others() {
    let ranking = Ranking::new((0..12).map(|number| ranked(number, 1.0, u8::from(number >= 4))).collect());
    for chat in 0..500 {
        let shortlist = ranking.shortlist(ChatKey::of("c", &u64::to_le_bytes(chat)));
        let tiers: Vec<u8> = shortlist.as_slice().iter().map(|index| ranking.get(*index).tier).collect();
        assert_eq!(tiers, [0, 0, 0, 0, 1, 1, 1, 1]);
    }
}

/// The threshold search of large groups must return the same result as a full search.
#[test]
fn large_group_prefilter_matches_full_search() {
    let large = Ranking::new((0..500).map(|number| ranked(number, 1.0, 0)).collect());
    for chat in 0..300 {
        let best = &names(&large, chat)[..4];
        // Parts small enough to be searched without a threshold.
        let mut group_winners = Vec::new();
        for start in (0..500).step_by(50) {
            let part = Ranking::new((start..start + 50).map(|number| ranked(number, 1.0, 0)).collect());
            group_winners.extend(names(&part, chat).into_iter().take(4));
        }
        let numbers = group_winners.iter().map(|name| name["engine-".len()..].parse().unwrap());
        let winners = Ranking::new(numbers.map(|number| ranked(number, 1.0, 0)).collect());
        assert_eq!(best, &names(&winners, chat)[..4], "chat {chat}");
    }
}
