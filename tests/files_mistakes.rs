//! Diagnostics for operators' files: one invalid file for each rule, with the expected lines and
//! reasons.

use std::fs;
use std::path::Path;

use primrosehoist::state::files::{self, File};
use primrosehoist_property::check;

/// An invalid file, and the expected diagnostics as `line: reason`.
struct Case {
    name: &'static str,
    expected: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "bad-digest",
        expected: &[
            "4: `workspace.key_digests`: expected a SHA-256 digest of 64 lower-case hexadecimal digits",
        ],
    },
    Case {
        name: "bad-kind",
        expected: &["4: `service.kind`: expected `engine` or `plain`, found `motor`"],
    },
    Case {
        name: "bad-name",
        expected: &[
            "2: `service.name`: a name contains only a-z, 0-9, '-', '.' and '_', found 'B'",
        ],
    },
    Case {
        name: "bad-unit-duration",
        expected: &[
            r#"6: `service.timeout`: expected a duration with a unit such as "30s" or "500ms", found "30 lengths""#,
        ],
    },
    Case {
        name: "bad-unit-tokens",
        expected: &[
            r#"15: `upstream.memory_tokens`: expected a number of tokens such as 4000, "200k" or "1M", found "400g""#,
        ],
    },
    Case {
        name: "both-halves",
        expected: &[
            "24: upstream `braid-a` is already declared at both-halves:14",
            "26: upstream `braid-a` is in both halves, `north` and `south`",
        ],
    },
    Case {
        name: "cold-above-warm",
        expected: &["13: `cold_requests` 17 is above `warm_requests` 16"],
    },
    Case {
        name: "cold-zero",
        expected: &["13: `upstream.cold_requests`: expected 1 to 100000, found 0"],
    },
    Case {
        name: "duplicate-service",
        expected: &["8: service `braid` is already declared at duplicate-service:2"],
    },
    Case {
        name: "duplicate-upstream",
        expected: &["18: upstream `braid-a` is already declared at duplicate-upstream:8"],
    },
    Case {
        name: "duplicate-workspace",
        expected: &["7: workspace `foremen` is already declared at duplicate-workspace:2"],
    },
    Case {
        name: "engine-without-memory",
        expected: &["7: an upstream of an engine service needs `memory_tokens`"],
    },
    Case {
        name: "engine-without-model",
        expected: &["1: an engine service needs the key `service.model`"],
    },
    Case {
        name: "host-name-address",
        expected: &[
            r#"12: `upstream.address`: expected an address as ip:port, found "engine.example:7401""#,
        ],
    },
    Case {
        name: "long-duration",
        expected: &["6: `service.timeout`: expected 10ms to 1day, found 2days"],
    },
    Case {
        name: "many-mistakes",
        expected: &[
            r#"6: `service.timeout`: expected a duration with a unit such as "30s" or "500ms", found "30x""#,
            "7: unknown key `service.retries`",
            "12: half `south` differs from half `north` of the service `braid`",
            r#"14: `upstream.address`: expected an address as ip:port with a port above 0, found "127.0.0.1:0""#,
            "15: `cold_requests` 17 is above `warm_requests` 16",
            "23: `workspace.weight`: expected 1 to 1000000, found 0",
        ],
    },
    Case {
        name: "missing-key",
        expected: &["1: key `service.half` is missing"],
    },
    Case {
        name: "no-keys",
        expected: &["4: `workspace.key_digests`: a workspace needs at least one key"],
    },
    Case {
        name: "no-unit-duration",
        expected: &[
            r#"6: `service.timeout`: expected a duration with a unit such as "30s", found integer"#,
        ],
    },
    Case {
        name: "other-half",
        expected: &["10: half `south` differs from half `north` of the service `braid`"],
    },
    Case {
        name: "plain-with-memory",
        expected: &["6: an upstream of a plain service must not have `memory_tokens`"],
    },
    Case {
        name: "plain-with-model",
        expected: &["1: a plain service must not have `service.model`"],
    },
    Case {
        name: "port-zero",
        expected: &[
            r#"12: `upstream.address`: expected an address as ip:port with a port above 0, found "127.0.0.1:0""#,
        ],
    },
    Case {
        name: "same-address",
        expected: &["22: address 127.0.0.1:7401 is already used by upstream `braid-a`"],
    },
    Case {
        name: "same-key",
        expected: &["9: a key of this workspace already belongs to `foremen` at same-key:1"],
    },
    Case {
        name: "same-model",
        expected: &["7: service `braid` already serves this model in half `north`"],
    },
    Case {
        name: "syntax",
        expected: &["1: string values must be quoted, expected literal string"],
    },
    Case {
        name: "third-half",
        expected: &["13: `east` is a third half, after `north` and `south`"],
    },
    Case {
        name: "unknown-key",
        expected: &["6: unknown key `service.retries`"],
    },
    Case {
        name: "unknown-service",
        expected: &["9: no file declares the service `brade`"],
    },
    Case {
        name: "unknown-table",
        expected: &["1: unknown key `servce`"],
    },
    Case {
        name: "unspecified-address",
        expected: &[
            r#"12: `upstream.address`: expected the address of a single host, found "0.0.0.0:7401""#,
        ],
    },
    Case {
        name: "weight-zero",
        expected: &["5: `workspace.weight`: expected 1 to 1000000, found 0"],
    },
    Case {
        name: "wrong-type",
        expected: &["6: `service.repeatable`: expected true or false, found string"],
    },
];

fn directory() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/bad")
}

fn diagnostics(name: &str) -> Vec<String> {
    let path = directory().join(format!("{name}.hoist.toml"));
    let file = File {
        path: name.to_owned(),
        content: fs::read_to_string(path).expect("the file exists"),
    };
    let diagnostics = files::read(&[file]).expect_err("the file contains a mistake");
    diagnostics
        .into_iter()
        .map(|it| format!("{}: {}", it.line, it.reason))
        .collect()
}

#[test]
fn each_rule_reports_line_and_reason() {
    for case in CASES {
        assert_eq!(diagnostics(case.name), case.expected, "{}", case.name);
    }
}

#[test]
fn each_invalid_file_has_a_case() {
    let mut names = Vec::new();
    for entry in fs::read_dir(directory()).expect("the directory exists") {
        let name = entry.expect("the entry is readable").file_name();
        let name = name.into_string().expect("the name is Unicode");
        names.push(name.replace(".hoist.toml", ""));
    }
    names.sort();
    let cases: Vec<&str> = CASES.iter().map(|case| case.name).collect();
    assert_eq!(names, cases);
}

#[test]
fn a_name_declared_in_two_files_is_reported_with_both_locations() {
    let content = "[[service]]\nname = \"orders\"\nhalf = \"north\"\nkind = \"plain\"\n";
    let file = |path: &str| File {
        path: path.to_owned(),
        content: content.to_owned(),
    };
    let diagnostics =
        files::read(&[file("one"), file("two")]).expect_err("the name is declared twice");
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["two:2: service `orders` is already declared at one:2"]
    );
}

#[test]
fn a_file_with_a_syntax_error_causes_no_spurious_diagnostics() {
    let upstream = "[[upstream]]\nname = \"a\"\nservice = \"s\"\nhalf = \"north\"\nzone = \"z\"\n\
                    address = \"127.0.0.1:1\"\ncold_requests = 1\nwarm_requests = 1\n";
    let file = |path: &str, content: &str| File {
        path: path.to_owned(),
        content: content.to_owned(),
    };
    let files = [file("one", "[[service]\n"), file("two", upstream)];
    let diagnostics = files::read(&files).expect_err("the first file is not TOML");
    assert!(
        diagnostics.iter().all(|it| it.file == "one"),
        "{diagnostics:?}"
    );
}

#[test]
fn arbitrary_text_is_read_without_a_panic() {
    check(800, |u| {
        let original = fs::read_to_string(directory().join("many-mistakes.hoist.toml"));
        let mut content = original.expect("the file exists").into_bytes();
        for _ in 0..u.int_in_range(0..=8)? {
            let at = u.choose_index(content.len())?;
            content[at] = u.arbitrary()?;
        }
        let file = File {
            path: "any".to_owned(),
            content: String::from_utf8_lossy(&content).into_owned(),
        };
        let lines = file.content.lines().count();
        if let Err(diagnostics) = files::read(&[file]) {
            assert!(
                diagnostics
                    .iter()
                    .all(|it| (1..=lines + 1).contains(&it.line))
            );
        }
        Ok(())
    });
}
