//! Tests which daemons follow the store.

use std::sync::Arc;

use primrosehoist::coordination::watchers::{
    FOLLOWERS_PER_ZONE, Member, SMALL_FLEET_MAX, Status, should_follow,
};

fn fleet(per_zone: usize) -> Vec<Member> {
    let zones = ["a", "b", "c"];
    let member = |index: usize| Member {
        host: Arc::from(format!("h{index}")),
        zone: Arc::from(zones[index % zones.len()]),
        status: Status::Idle,
    };
    (0..per_zone * zones.len()).map(member).collect()
}

/// Returns the indices of the daemons that follow the store if all know each other.
fn followers(members: &[Member]) -> Vec<usize> {
    let follows = |index: &usize| {
        let mut others = members.to_vec();
        let own = others.remove(*index);
        should_follow(&own, &others)
    };
    (0..members.len()).filter(follows).collect()
}

#[test]
fn small_fleets_follow_fully_and_large_ones_by_zone() {
    assert_eq!(followers(&fleet(3)).len(), 9);
    assert!(fleet(5).len() < SMALL_FLEET_MAX);
    let large = fleet(30);
    let followers = followers(&large);
    assert_eq!(followers.len(), 3 * FOLLOWERS_PER_ZONE);
    for zone in ["a", "b", "c"] {
        let in_zone = followers
            .iter()
            .filter(|index| large[**index].zone.as_ref() == zone);
        assert_eq!(in_zone.count(), FOLLOWERS_PER_ZONE, "{zone}");
    }
}

#[test]
fn isolated_daemon_follows_the_store() {
    let own = &fleet(30)[7];
    assert!(should_follow(own, &[]));
    assert!(should_follow(own, &fleet(4)));
}

#[test]
fn disconnected_followers_are_replaced_and_keep_trying() {
    let mut members = fleet(30);
    let before = followers(&members);
    members[before[0]].status = Status::Disconnected;
    let after = followers(&members);
    assert!(
        after.contains(&before[0]),
        "a disconnected follower must keep trying, to notice when the store is back"
    );
    assert_eq!(after.len(), before.len() + 1);
    for member in &mut members {
        member.status = Status::Disconnected;
    }
    assert_eq!(
        followers(&members),
        before,
        "a store that is down must not get additional calls"
    );
}
