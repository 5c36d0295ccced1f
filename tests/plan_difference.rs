//! Applying a plan turns the current fleet into the desired one and changes nothing else.

use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::{Fleet, Kind, Lifecycle, Service, Upstream, Workspace};
use primrosehoist::state::name;
use primrosehoist::state::plan::plan;
use primrosehoist_property::arbitrary::{Result, Unstructured};
use primrosehoist_property::check;

fn half(south: bool) -> name::Half {
    let half = if south { "south" } else { "north" };
    name::Half::try_from(half).expect("the name is valid")
}

fn service(name: &str, south: bool) -> Service {
    Service {
        name: name::Service::try_from(name).expect("the name is valid"),
        half: half(south),
        kind: Kind::Plain,
        timeout_ms: 1000,
        repeatable: true,
        retry_percent: 20,
    }
}

fn workspace(name: &str, south: bool) -> Workspace {
    Workspace {
        name: name::Workspace::try_from(name).expect("the name is valid"),
        half: half(south),
        key_digests: vec!["0".repeat(64)],
        weight: 1,
    }
}

fn upstream(name: &str, south: bool) -> Upstream {
    Upstream {
        name: name::Upstream::try_from(name).expect("the name is valid"),
        service: name::Service::try_from("a").expect("the name is valid"),
        half: half(south),
        zone: name::Zone::try_from("zone-a").expect("the name is valid"),
        address: ([127, 0, 0, 1], 7401).into(),
        cold_requests: 1,
        warm_requests: 2,
        memory_tokens: 0,
        fencing: false,
        state: Lifecycle::Live,
    }
}

/// Generates a fleet of up to four services, workspaces and upstreams.
fn fleet(u: &mut Unstructured<'_>) -> Result<Fleet> {
    let mut fleet = Fleet::default();
    for name in ["a", "b", "c", "d"] {
        if u.arbitrary()? {
            let it = service(name, u.arbitrary()?);
            fleet.services.insert(it.name.clone(), it);
        }
        if u.arbitrary()? {
            let it = workspace(name, u.arbitrary()?);
            fleet.workspaces.insert(it.name.clone(), it);
        }
        if u.arbitrary()? {
            let it = upstream(name, u.arbitrary()?);
            fleet.upstreams.insert(it.name.clone(), it);
        }
    }
    Ok(fleet)
}

fn change(fleet: &Fleet, entries: Vec<Entry>) -> Change {
    Change {
        version: fleet.version + 1,
        author: "operator".to_owned(),
        reason: "test".to_owned(),
        time_ms: 0,
        nonce: "nonce".to_owned(),
        entries,
    }
}

fn is_removal(entry: &Entry) -> bool {
    matches!(
        entry,
        Entry::RemoveService(_) | Entry::RemoveWorkspace(_) | Entry::RemoveUpstream(_)
    )
}

#[test]
fn applying_a_plan_yields_the_desired_fleet() {
    check(1_500, |u| {
        let mut current = fleet(u)?;
        let desired = fleet(u)?;
        let entries = plan(&current, &desired);
        assert!(entries.is_sorted_by_key(is_removal), "{entries:?}");
        assert!(current.apply(&change(&current, entries)));
        assert_eq!(current.services, desired.services);
        assert_eq!(current.workspaces, desired.workspaces);
        assert_eq!(current.upstreams, desired.upstreams);
        assert_eq!(plan(&current, &desired), []);
        Ok(())
    });
}

#[test]
fn a_plan_preserves_state_set_by_other_commands() {
    check(1_500, |u| {
        let mut current = fleet(u)?;
        let desired = fleet(u)?;
        let zone = name::Zone::try_from("zone-a").expect("the name is valid");
        current.zones_out.insert(zone);
        current
            .quarantine
            .insert("f".repeat(64), "crashed two".to_owned());
        for upstream in current.upstreams.values_mut() {
            upstream.state = Lifecycle::Leaving;
        }
        let before = current.clone();
        let entries = plan(&current, &desired);
        assert!(current.apply(&change(&current, entries)));
        assert_eq!(current.zones_out, before.zones_out);
        assert_eq!(current.quarantine, before.quarantine);
        for (name, upstream) in &current.upstreams {
            let leaving = before.upstreams.contains_key(name);
            assert_eq!(upstream.state == Lifecycle::Leaving, leaving, "{name}");
        }
        Ok(())
    });
}
