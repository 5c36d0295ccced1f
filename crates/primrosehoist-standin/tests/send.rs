//! Tests of the verdicts of `send`, with stand-ins in place of daemons.

mod support;

use std::fs;
use std::process::Output;

use support::{Standin, command};

const PROMPT: &str = r#"
    [[prompt]]
    key = "k"
    model = "m"
    tokens = 2000
    max_tokens = 4
    times = 2
"#;
const CALL: &str = r#"
    [[call]]
    key = "k"
    service = "s"
    path = "/run"
    idempotency_key = "once"
"#;

fn send(name: &str, plan: &str, address: &str, counted: &str) -> Output {
    let file = format!("primrosehoist-send-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, plan).expect("the plan can be written");
    let path_text = path.to_str().expect("the path is text");
    let sent = command(&["send", "--callers", address, "--plan", path_text])
        .args([counted, address])
        .output()
        .expect("the program starts");
    fs::remove_file(&path).expect("the plan can be removed");
    sent
}

fn last_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().last().unwrap_or_default().to_owned()
}

#[test]
fn prompts_are_checked() {
    let refused = PROMPT.replace("times = 2", "expect = \"no_code\"");
    let cases = [
        (
            "{}",
            PROMPT,
            0,
            "demo: complete=2 refused=0 lost=0 doubled=0",
        ),
        (
            r#"{"garbage":"half"}"#,
            PROMPT,
            1,
            "demo: complete=0 refused=0 lost=2 doubled=0",
        ),
        (
            r#"{"garbage":"double"}"#,
            PROMPT,
            1,
            "demo: complete=0 refused=0 lost=2 doubled=0",
        ),
        (
            r#"{"garbage":true}"#,
            PROMPT,
            1,
            "demo: complete=0 refused=0 lost=2 doubled=0",
        ),
        (
            r#"{"refuse":true}"#,
            &refused,
            1,
            "demo: complete=0 refused=0 lost=1 doubled=0",
        ),
    ];
    for (index, (faults, plan, code, last)) in cases.into_iter().enumerate() {
        let engine = Standin::start("engine", &["--decode-ms", "1"]);
        assert_eq!(
            200,
            engine.call("POST", "/standin/faults", &[], faults).status
        );
        let sent = send(
            &format!("prompt-{index}"),
            plan,
            &engine.address,
            "--engines",
        );
        assert_eq!(last, last_line(&sent), "{faults}");
        assert_eq!(Some(code), sent.status.code(), "{faults}");
    }
}

#[test]
fn repeated_idempotency_keys_count_as_doubled() {
    let cases = [
        (
            CALL.to_owned(),
            0,
            "demo: complete=1 refused=0 lost=0 doubled=0",
        ),
        (
            CALL.repeat(2),
            1,
            "demo: complete=2 refused=0 lost=0 doubled=1",
        ),
    ];
    for (index, (plan, code, last)) in cases.into_iter().enumerate() {
        let service = Standin::start("service", &[]);
        let sent = send(
            &format!("call-{index}"),
            &plan,
            &service.address,
            "--services",
        );
        assert_eq!(last, last_line(&sent));
        assert_eq!(Some(code), sent.status.code());
    }
}

#[test]
fn invalid_plans_are_rejected() {
    let cases = [
        ("", "empty"),
        ("[[prompt]]\nkey = 1", "key"),
        (
            "[[prompt]]\nkey = \"k\"\nmodel = \"m\"\nmax_tokens = 1",
            "either file or tokens",
        ),
        (
            "[[prompt]]\nkey = \"k\"\nmodel = \"m\"\nmax_tokens = 1\nfile = \"none\"",
            "none",
        ),
        ("[[prmpt]]", "prmpt"),
    ];
    for (index, (plan, reason)) in cases.into_iter().enumerate() {
        let sent = send(&format!("bad-{index}"), plan, "127.0.0.1:1", "--engines");
        let printed = String::from_utf8_lossy(&sent.stderr).into_owned();
        assert_eq!(Some(2), sent.status.code(), "{printed}");
        assert!(printed.contains(reason), "{printed:?} lacks {reason:?}");
    }
}
