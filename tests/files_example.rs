//! Reads the fleet declared by the example files.

use std::fs;
use std::path::Path;

use primrosehoist::state::files::{self, File};
use primrosehoist::state::fleet::{Fleet, Kind};

fn example_fleet() -> Fleet {
    let mut files = Vec::new();
    collect(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/fleet"),
        &mut files,
    );
    files::read(&files).expect("the example has no mistakes")
}

fn collect(directory: &Path, files: &mut Vec<File>) {
    for entry in fs::read_dir(directory).expect("the directory exists") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            collect(&path, files);
        } else {
            files.push(File {
                path: path.display().to_string(),
                content: fs::read_to_string(&path).expect("the file is readable"),
            });
        }
    }
}

#[test]
fn every_service_has_an_upstream_in_each_zone() {
    let fleet = example_fleet();
    assert_eq!(fleet.services.len(), 4);
    for service in fleet.services.keys() {
        let upstreams = fleet.upstreams.values().filter(|it| it.service == *service);
        let mut zones: Vec<&str> = upstreams.map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        assert_eq!(zones, ["zone-a", "zone-b", "zone-c"], "{service}");
    }
}

#[test]
fn units_are_converted() {
    let fleet = example_fleet();
    let braid = fleet
        .services
        .values()
        .find(|it| it.name.as_str() == "braid");
    let braid = braid.expect("the service exists");
    assert_eq!(braid.timeout_ms, 120_000);
    assert!(matches!(&braid.kind, Kind::Engine(model) if model.as_str() == "braid-7b"));
    let upstream = fleet
        .upstreams
        .values()
        .find(|it| it.name.as_str() == "braid-a");
    assert_eq!(
        upstream.expect("the upstream exists").memory_tokens,
        400_000
    );
}

#[test]
fn only_files_with_the_name_or_suffix_are_collected() {
    let cases = [
        ("hoist.toml", true),
        ("north.hoist.toml", true),
        ("Cargo.toml", false),
        ("xhoist.toml", false),
        ("hoist.toml.orig", false),
    ];
    for (name, expected) in cases {
        assert_eq!(files::is_collected(name), expected, "{name}");
    }
}
