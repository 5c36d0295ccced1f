//! Tests of `load` against an engine stand-in.

mod support;

use std::fs;

use serde_json::Value;
use support::{Standin, command};

const MIX: &str = r#"
    name = "test"
    rate_per_s = 100.0
    timeout_ms = 20000

    [[workspace]]
    name = "w"
    key = "k"

    [[prompt]]
    workspace = "w"
    model = "m"
    share = 5
    tokens = [1000, 4000]
    answer = [1, 4]

    [[prompt]]
    workspace = "w"
    model = "m"
    share = 1
    tokens = [20000, 100000]
    answer = [2, 2]
"#;

struct File(std::path::PathBuf);

impl File {
    fn new(name: &str) -> File {
        let name = format!("primrosehoist-load-{}-{name}", std::process::id());
        File(std::env::temp_dir().join(name))
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        if self.0.exists() {
            fs::remove_file(&self.0).expect("the file can be removed");
        }
    }
}

fn load(name: &str, engine: &Standin, options: &[&str]) -> Value {
    let mix = File::new(&format!("{name}.toml"));
    let json = File::new(&format!("{name}.json"));
    fs::write(&mix.0, MIX).expect("the mix can be written");
    let status = command(&["load", "--callers", &engine.address, "--mix", mix.path()])
        .args(["--duration", "1", "--json", json.path()])
        .args(options)
        .output()
        .expect("the program starts");
    assert!(status.status.success(), "{status:?}");
    let text = fs::read(&json.0).expect("the report was written");
    serde_json::from_slice(&text).expect("the report is JSON")
}

fn fast_engine() -> Standin {
    let rate = ["--prefill-rate", "50000000", "--decode-ms", "0"];
    let limits = ["--cold-requests", "1000", "--warm-requests", "1000"];
    let memory = ["--memory-tokens", "50000000"];
    Standin::start(
        "engine",
        &[rate, limits]
            .concat()
            .into_iter()
            .chain(memory)
            .collect::<Vec<_>>(),
    )
}

#[test]
fn a_seed_determines_the_requests() {
    let engine = fast_engine();
    let all = load("all", &engine, &["--seed", "7"]);
    let again = load("again", &engine, &["--seed", "7"]);
    let short = load("short", &engine, &["--seed", "7", "--most-tokens", "4096"]);
    let other = load("other", &engine, &["--seed", "8"]);
    assert_eq!(
        all["workspaces"][0]["offered_tokens"],
        again["workspaces"][0]["offered_tokens"]
    );
    assert_ne!(
        all["workspaces"][0]["offered_tokens"],
        other["workspaces"][0]["offered_tokens"]
    );
    assert_eq!(all["classes"][0]["counts"], short["classes"][0]["counts"]);
    assert_eq!(
        all["classes"][1]["counts"]["offered"],
        short["classes"][1]["counts"]["offered"]
    );
    assert_eq!(0, short["classes"][3]["counts"]["offered"]);
    assert_ne!(0, all["classes"][3]["counts"]["offered"]);
}

#[test]
fn reports_agree_with_engine_counters() {
    let engine = fast_engine();
    let report = load("counted", &engine, &["--scale", "0.5"]);
    assert_eq!(engine.counts()["completed"], report["counts"]["complete"]);
    assert_eq!(report["counts"]["offered"], report["counts"]["complete"]);
    let tokens = &report["workspaces"][0];
    assert_eq!(tokens["offered_tokens"], tokens["complete_tokens"]);

    engine.fault(r#"{"garbage":"double"}"#);
    let corrupted = load("corrupted", &engine, &[]);
    assert_eq!(corrupted["counts"]["offered"], corrupted["counts"]["lost"]);
    assert_eq!(0, corrupted["workspaces"][0]["complete_tokens"]);
}
