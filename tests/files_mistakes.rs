//! Mistakes in operators' files: one file for each rule, with the lines and reasons expected.

use std::fs;
use std::path::Path;

use arbtest::arbtest;
use primrosehoist::state::files::{self, Text};

/// A bad file, and the mistakes in it as `line: reason`.
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
        expected: &["2: `service.name`: a name holds only a-z, 0-9, '-', '.' and '_', found 'B'"],
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
            "24: upstream `braid-a` is declared already at both-halves:14",
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
        expected: &["8: service `braid` is declared already at duplicate-service:2"],
    },
    Case {
        name: "duplicate-upstream",
        expected: &["18: upstream `braid-a` is declared already at duplicate-upstream:8"],
    },
    Case {
        name: "duplicate-workspace",
        expected: &["7: workspace `foremen` is declared already at duplicate-workspace:2"],
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
            "12: half `south` is not that of the service `braid`, `north`",
            r#"14: `upstream.address`: nothing can be reached at port 0 of "127.0.0.1:0""#,
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
        expected: &["10: half `south` is not that of the service `braid`, `north`"],
    },
    Case {
        name: "plain-with-memory",
        expected: &["6: an upstream of a plain service has no `memory_tokens`"],
    },
    Case {
        name: "plain-with-model",
        expected: &["1: a plain service has no `service.model`"],
    },
    Case {
        name: "port-zero",
        expected: &[r#"12: `upstream.address`: nothing can be reached at port 0 of "127.0.0.1:0""#],
    },
    Case {
        name: "same-address",
        expected: &["22: address 127.0.0.1:7401 is that of upstream `braid-a` already"],
    },
    Case {
        name: "same-key",
        expected: &["9: a key of this workspace opens `foremen` at same-key:1 already"],
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
        expected: &[r#"12: `upstream.address`: no single host can be reached at "0.0.0.0:7401""#],
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

fn mistakes(name: &str) -> Vec<String> {
    let path = directory().join(format!("{name}.hoist.toml"));
    let text = Text {
        path: name.to_owned(),
        content: fs::read_to_string(path).expect("the bad file is there"),
    };
    let mistakes = files::read(&[text]).expect_err("the file holds a mistake");
    mistakes
        .into_iter()
        .map(|it| format!("{}: {}", it.line, it.reason))
        .collect()
}

#[test]
fn each_rule_names_line_and_reason() {
    for case in CASES {
        assert_eq!(mistakes(case.name), case.expected, "{}", case.name);
    }
}

#[test]
fn each_bad_file_is_in_the_table() {
    let mut names = Vec::new();
    for entry in fs::read_dir(directory()).expect("the directory is there") {
        let name = entry.expect("the entry is readable").file_name();
        let name = name.into_string().expect("the name is Unicode");
        names.push(name.replace(".hoist.toml", ""));
    }
    names.sort();
    let table: Vec<&str> = CASES.iter().map(|case| case.name).collect();
    assert_eq!(names, table);
}

#[test]
fn a_name_in_two_files_is_reported_with_both_places() {
    let content = "[[service]]\nname = \"orders\"\nhalf = \"north\"\nkind = \"plain\"\n";
    let text = |path: &str| Text {
        path: path.to_owned(),
        content: content.to_owned(),
    };
    let mistakes = files::read(&[text("one"), text("two")]).expect_err("the name stands twice");
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["two:2: service `orders` is declared already at one:2"]
    );
}

#[test]
fn a_file_that_cannot_be_parsed_brings_no_false_mistakes() {
    let upstream = "[[upstream]]\nname = \"a\"\nservice = \"s\"\nhalf = \"north\"\nzone = \"z\"\n\
                    address = \"127.0.0.1:1\"\ncold_requests = 1\nwarm_requests = 1\n";
    let text = |path: &str, content: &str| Text {
        path: path.to_owned(),
        content: content.to_owned(),
    };
    let texts = [text("one", "[[service]\n"), text("two", upstream)];
    let mistakes = files::read(&texts).expect_err("the first file is not TOML");
    assert!(mistakes.iter().all(|it| it.file == "one"), "{mistakes:?}");
}

#[test]
fn any_text_is_read_without_a_panic() {
    arbtest(|u| {
        let good = fs::read_to_string(directory().join("many-mistakes.hoist.toml"));
        let mut content = good.expect("the bad file is there").into_bytes();
        for _ in 0..u.int_in_range(0..=8)? {
            let at = u.choose_index(content.len())?;
            content[at] = u.arbitrary()?;
        }
        let text = Text {
            path: "any".to_owned(),
            content: String::from_utf8_lossy(&content).into_owned(),
        };
        let lines = text.content.lines().count();
        if let Err(mistakes) = files::read(&[text]) {
            assert!(mistakes.iter().all(|it| (1..=lines + 1).contains(&it.line)));
        }
        Ok(())
    });
}
