//! Tests of the routing table.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::route::{Access, Kind, Limits, Route, Share, Table, Workspace};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: Kind::Idempotent,
        shares: vec![Share {
            service: Arc::from("desk"),
            weight: 1.0,
        }],
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_millis(300),
        pause_max: None,
        priority: 1,
        attempts_max: 2,
        open: false,
        resumable: false,
    }
}

fn table(routes: Vec<Route>, workspaces: Option<Vec<Workspace>>) -> Table {
    let limits = Limits {
        header_bytes_max: 16_384,
        body_bytes_max: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Table::new(7, routes, Vec::new(), workspaces, limits)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
            route("port", "a.example:8080", "/port/"),
            route("address", "[::1]", "/x/"),
        ],
        None,
    );
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("a.example", "/x/y/z/1", Some("long")),
        ("A.Example", "/x/1", Some("short")),
        ("a.example:8080", "/x/1", Some("short")),
        ("b.example", "/x/y/z/1", Some("other")),
        ("A.example:8080", "/port/1", Some("port")),
        ("a.example:8081", "/port/1", None),
        ("a.example", "/port/1", None),
        ("[::1]", "/x/1", Some("address")),
        ("[::1]:8080", "/x/1", Some("address")),
        ("a.example", "/x", None),
        ("a.example", "/xy/", None),
        ("a.example", "/", None),
        ("c.example", "/x/1", None),
        ("", "/x/1", None),
    ];
    for (host, path, expected) in cases {
        let found = table.route(host, path).map(|route| route.name.as_ref());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn a_key_grants_access_to_its_own_workspace_only() {
    let workspace = Workspace {
        name: Arc::from("rope"),
        keys: vec![Arc::from("k1"), Arc::from("k2")],
        priority: Some(2),
    };
    let table = table(
        vec![route("r", "a.example", "/")],
        Some(vec![workspace.clone()]),
    );
    let closed = route("r", "a.example", "/");
    let open = Route {
        open: true,
        ..closed.clone()
    };
    let owner = Access::Workspace(Arc::new(workspace));
    let cases = [
        (&closed, Some("k1"), owner.clone()),
        (&closed, Some("k2"), owner),
        (&closed, Some("k3"), Access::Unknown),
        (&closed, Some(""), Access::Unknown),
        (&closed, None, Access::Unknown),
        (&open, Some("k3"), Access::Open),
        (&open, None, Access::Open),
    ];
    for (route, key, expected) in cases {
        assert_eq!(table.access(route, key), expected, "{key:?}");
    }
    let named = table.workspace("rope").expect("is in the table");
    assert_eq!(named.priority, Some(2));
    assert_eq!(table.workspace("k1"), None);
    assert_eq!(table.workspace(""), None);
}

#[test]
fn keys_of_workspaces_that_cannot_be_served_are_known() {
    let workspace = Workspace {
        name: Arc::from("rope"),
        keys: vec![Arc::from("k1"), Arc::from("k2")],
        priority: None,
    };
    let closed = route("r", "a.example", "/");
    let unusable = |keys: &[&str]| keys.iter().copied().map(Arc::from).collect::<Vec<_>>();
    let table_with = table(vec![closed.clone()], Some(vec![workspace]));
    let table_with = table_with.with_unusable_workspace(unusable(&["k2", "k3"]));
    assert!(matches!(
        table_with.access(&closed, Some("k2")),
        Access::Workspace(_)
    ));
    assert_eq!(table_with.access(&closed, Some("k3")), Access::Unusable);
    assert_eq!(table_with.access(&closed, Some("k4")), Access::Unknown);
    assert_eq!(table_with.access(&closed, None), Access::Unknown);
    let open = Route {
        open: true,
        ..closed.clone()
    };
    assert_eq!(table_with.access(&open, Some("k3")), Access::Open);
    // A workspace whose keys cannot be read makes routes require a key, too.
    let table_without = table(vec![closed.clone()], None);
    let table_without = table_without.with_unusable_workspace(Vec::new());
    assert_eq!(table_without.access(&closed, None), Access::Unknown);
}

#[test]
fn no_key_is_needed_without_workspaces() {
    let table = table(vec![route("r", "a.example", "/")], None);
    let route = route("r", "a.example", "/");
    assert_eq!(table.access(&route, None), Access::Open);
}

#[test]
fn no_key_is_valid_after_the_last_workspace_is_removed() {
    let table = table(vec![route("r", "a.example", "/")], Some(Vec::new()));
    let closed = route("r", "a.example", "/");
    for key in [None, Some(""), Some("k1")] {
        assert_eq!(table.access(&closed, key), Access::Unknown);
    }
    let mut open = closed;
    open.open = true;
    assert_eq!(table.access(&open, None), Access::Open);
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("r", "a.example", "/");
    split.shares = vec![
        Share {
            service: Arc::from("blue"),
            weight: 90.0,
        },
        Share {
            service: Arc::from("green"),
            weight: 10.0,
        },
    ];
    let green = (0..1_000_000_u64)
        .step_by(997)
        .filter(|hash| {
            split
                .pick_service(*hash)
                .is_some_and(|name| name.as_ref() == "green")
        })
        .count();
    assert!((90..=112).contains(&green), "{green} of 1004");
    split.shares.clear();
    assert_eq!(split.pick_service(5), None);
}

#[test]
fn idempotent_requests_and_resumable_streams_are_retryable() {
    let cases = [
        (Kind::Idempotent, false, true),
        (Kind::Once, false, false),
        (Kind::Once, true, false),
        (Kind::Stream, false, false),
        (Kind::Stream, true, true),
    ];
    for (kind, resumable, expected) in cases {
        let route = Route {
            kind,
            resumable,
            ..route("r", "a.example", "/")
        };
        assert_eq!(route.is_retryable(), expected, "{kind} {resumable}");
    }
}
