//! Tests of which daemons follow the store.

use std::sync::Arc;

use primrosehoist::coordination::watchers::{Member, PER_ZONE, SMALL_FLEET, Standing, follows};

fn fleet(per_zone: usize) -> Vec<Member> {
    let zones = ["a", "b", "c"];
    let member = |index: usize| Member {
        host: Arc::from(format!("h{index}")),
        zone: Arc::from(zones[index % zones.len()]),
        standing: Standing::Idle,
    };
    (0..per_zone * zones.len()).map(member).collect()
}

/// Returns who follows the store, each by what it hears of the others.
fn followers(members: &[Member]) -> Vec<usize> {
    let follows = |index: &usize| {
        let mut others = members.to_vec();
        let own = others.remove(*index);
        follows(&own, &others)
    };
    (0..members.len()).filter(follows).collect()
}

#[test]
fn all_follow_in_a_small_fleet_and_few_of_each_zone_in_a_large_one() {
    assert_eq!(followers(&fleet(3)).len(), 9);
    assert!(fleet(5).len() < SMALL_FLEET);
    let large = fleet(30);
    let followers = followers(&large);
    assert_eq!(followers.len(), 3 * PER_ZONE);
    for zone in ["a", "b", "c"] {
        let here = followers
            .iter()
            .filter(|index| large[**index].zone.as_ref() == zone);
        assert_eq!(here.count(), PER_ZONE, "{zone}");
    }
}

#[test]
fn a_daemon_that_hears_few_follows_the_store_itself() {
    let own = &fleet(30)[7];
    assert!(follows(own, &[]));
    assert!(follows(own, &fleet(4)));
}

#[test]
fn those_that_the_store_turns_away_are_replaced_and_go_on_trying() {
    let mut members = fleet(30);
    let before = followers(&members);
    members[before[0]].standing = Standing::Lost;
    let after = followers(&members);
    assert!(
        after.contains(&before[0]),
        "it would not notice that the store is back"
    );
    assert_eq!(after.len(), before.len() + 1);
    for member in &mut members {
        member.standing = Standing::Lost;
    }
    assert_eq!(
        followers(&members),
        before,
        "a store that is down gets no more calls"
    );
}
