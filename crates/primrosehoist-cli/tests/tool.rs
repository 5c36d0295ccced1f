//! Runs the operators' tool as a process against a fake platform and fake daemons.

mod support;

use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Fake, Fault, Run, change_path, command, repository, run, run_with};

/// The maximum time that a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

const SNAPSHOT: &str = "/apis/primrosehoist/v1/snapshots/current";

/// Runs a command that changes the configuration.
fn change(platform: &Fake, command: &[&str], more: &[&str]) -> Run {
    let address = platform.address.to_string();
    let options = [
        "--platform",
        &address,
        "--author",
        "amy",
        "--reason",
        "test",
    ];
    run(&[command, &options, more].concat())
}

/// Returns a command that publishes the example.
fn publish_command(platform: &Fake, more: &[&str]) -> Command {
    let directory = repository("examples/fleet").display().to_string();
    let address = platform.address.to_string();
    let mut publish = command(&["publish", &directory, "--platform", &address]);
    publish.args(["--author", "amy", "--reason", "test"]);
    publish.args(more);
    publish
}

fn publish(platform: &Fake, more: &[&str]) -> Run {
    let directory = repository("examples/fleet").display().to_string();
    change(platform, &["publish", &directory], more)
}

/// A file with a shared secret, removed on drop.
struct Secret(std::path::PathBuf);

impl Secret {
    fn new(name: &str) -> Self {
        let file = format!("primrosehoist-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, "a secret of the fleet\n").expect("the file is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is Unicode")
    }
}

impl Drop for Secret {
    fn drop(&mut self) {
        // A file left behind in the temporary directory is harmless.
        drop(std::fs::remove_file(&self.0));
    }
}

fn daemon(host: &str, version: u64, members: &Value) -> Fake {
    let daemon = Fake::start();
    let status = json!({
        "host": host, "zone": "zone-a", "version": version, "draining": false,
        "platform_age_ms": 5, "holdings": [], "members": members, "quarantine_pending": 0,
    });
    daemon.set("/admin/status", status);
    daemon
}

#[test]
fn every_command_has_help_and_version() {
    let commands = [
        "",
        "check",
        "publish",
        "status",
        "zone",
        "upstream",
        "quarantine",
        "audit",
        "drain",
        "key",
    ];
    for command in commands {
        let words: Vec<&str> = command.split_whitespace().collect();
        let help = run(&[words.as_slice(), &["--help"]].concat());
        assert_eq!(help.code, 0, "{command}");
        assert!(help.out.contains("Usage: primrosehoist"), "{command}");
        let version = run(&[words.as_slice(), &["--version"]].concat());
        assert_eq!(version.code, 0, "{command}");
        assert!(version.out.starts_with("primrosehoist 0."), "{command}");
    }
}

#[test]
fn invalid_command_lines_exit_with_2() {
    let lines: &[&[&str]] = &[
        &[],
        &["publsh"],
        &["check"],
        &["check", ".", "--colour"],
        &["check", ".", "--output", "xml"],
        &["zone", "off", "zone-a"],
        &["audit", "--platform", "localhost"],
        &["publish", "."],
    ];
    for line in lines {
        let run = run(line);
        assert_eq!(run.code, 2, "{line:?}: {run:?}");
    }
}

#[test]
fn check_prints_diagnostics_as_text_and_json() {
    let invalid = repository("examples/bad").display().to_string();
    let text = run(&["check", &invalid]);
    assert_eq!(text.code, 3);
    let expected = "weight-zero.hoist.toml:5: `workspace.weight`: expected 1 to 1000000, found 0";
    assert!(text.out.contains(expected), "{}", text.out);
    let json = run(&["check", &invalid, "--output", "json"]);
    let json: Value = serde_json::from_str(&json.out).expect("the output is JSON");
    let diagnostics = json["mistakes"]
        .as_array()
        .expect("the diagnostics are a list");
    assert_eq!(diagnostics.len() + 1, text.out.lines().count());
    let valid = repository("examples/fleet").display().to_string();
    assert_eq!(run(&["check", &valid]).code, 0);
}

#[test]
fn a_directory_without_files_is_not_published() {
    let platform = Fake::start();
    let directory = repository("crates/primrosehoist-cli/src")
        .display()
        .to_string();
    let run = change(&platform, &["publish", &directory], &["--wait", "0s"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert_eq!(platform.creates(), 0);
}

#[test]
fn an_invalid_file_is_not_published() {
    let platform = Fake::start();
    let directory = repository("examples/bad").display().to_string();
    let run = change(&platform, &["publish", &directory], &["--wait", "0s"]);
    assert_eq!(run.code, 3, "{run:?}");
    assert_eq!(platform.creates(), 0);
}

#[test]
fn publishing_twice_writes_one_change() {
    let platform = Fake::start();
    let first = publish(&platform, &["--wait", "0s"]);
    assert_eq!(first.code, 0, "{first:?}");
    let written = platform.get(&change_path(1)).expect("the change is stored");
    assert_eq!(written["spec"]["author"], "amy");
    assert_eq!(
        written["spec"]["entries"].as_array().map(Vec::len),
        Some(20)
    );
    let second = publish(&platform, &["--wait", "0s"]);
    assert_eq!(second.code, 0, "{second:?}");
    assert!(second.out.contains("nothing to change"), "{second:?}");
    assert_eq!(platform.creates(), 1);
}

#[test]
fn a_lost_response_is_resolved_by_the_nonce() {
    let platform = Fake::start();
    platform.inject(&[Fault::LoseResponse]);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("version 1: accepted"), "{run:?}");
    assert_eq!(platform.creates(), 2);
    assert!(platform.get(&change_path(2)).is_none());
}

#[test]
fn a_lost_request_is_retried() {
    let platform = Fake::start();
    platform.inject(&[Fault::LoseRequest, Fault::LoseRequest]);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(platform.creates(), 3);
}

#[test]
fn lost_reads_are_retried_a_limited_number_of_times() {
    let platform = Fake::start();
    platform.lose_reads(4);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 0, "{run:?}");
    platform.lose_reads(usize::MAX);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(
        run.err.contains("read the snapshot at 127.0.0.1:"),
        "{run:?}"
    );
    assert_eq!(platform.creates(), 1);
}

#[test]
fn a_conflict_names_the_accepted_change() {
    let platform = Fake::start();
    platform.inject(&[Fault::Race]);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 4, "{run:?}");
    assert!(run.err.contains("version 1 is by rival (test)"), "{run:?}");
    let written = platform.get(&change_path(1)).expect("the change is stored");
    assert_eq!(written["spec"]["author"], "rival");
}

#[test]
fn a_conflict_after_a_lost_request_is_detected() {
    let platform = Fake::start();
    platform.inject(&[Fault::LoseRequest, Fault::Race]);
    let run = publish(&platform, &["--wait", "0s"]);
    assert_eq!(run.code, 4, "{run:?}");
}

#[test]
fn an_unresolved_outcome_is_reported_as_unknown() {
    let platform = Fake::start();
    platform.inject(&[Fault::LoseRequest; 100]);
    let run = publish(&platform, &["--wait", "0s", "--settle", "300ms"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("unknown: version 1 with nonce"), "{run:?}");
}

#[test]
fn publish_waits_until_all_daemons_reach_the_version() {
    let secret = Secret::new("wait");
    let platform = Fake::start();
    let daemon = daemon("a1", 1, &json!([]));
    let address = daemon.address.to_string();
    let more = ["--secret-file", secret.path(), "--daemons", &address];
    let run = publish(&platform, &more);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("in force at 1 daemons"), "{run:?}");
    // The token that the secret derives for "operator", computed by another program.
    let token = "932f134b66882c50fad47e652f378c4502c85c97f2815b3c801370c822651a33";
    assert_eq!(daemon.authorization(), format!("Bearer {token}"));
}

#[test]
fn daemons_behind_the_version_are_listed() {
    let secret = Secret::new("behind");
    let platform = Fake::start();
    let members = json!([{"host": "b1", "zone": "zone-b", "version": 0, "age_ms": 100}]);
    let daemon = daemon("a1", 1, &members);
    let host = json!({"metadata": {"name": "a1"}, "spec": {
        "zone": "zone-a", "role": "entry", "address": "127.0.0.1:7200", "state": "live",
        "admin": daemon.address.to_string(),
    }});
    let list = json!({"metadata": {"resourceVersion": "7"}, "items": [host]});
    platform.set("/apis/primrosehoist/v1/hosts", list);
    let more = ["--secret-file", secret.path(), "--wait", "300ms"];
    let run = publish(&platform, &more);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.out.contains("b1: at version 0"), "{run:?}");
    assert!(run.out.contains("obeyed by 1"), "{run:?}");
}

#[test]
fn a_repeated_publish_reports_the_daemons_in_force() {
    let secret = Secret::new("again");
    let platform = Fake::start();
    let daemon = daemon("a1", 1, &json!([]));
    let address = daemon.address.to_string();
    let more = ["--secret-file", secret.path(), "--daemons", &address];
    assert_eq!(publish(&platform, &more).code, 0);
    let again = publish(&platform, &more);
    let expected = "version 1: nothing to change\nin force at 1 daemons\n";
    assert_eq!(again.out, expected, "{again:?}");
}

#[test]
fn a_daemon_that_exceeds_the_time_limit_is_reported() {
    let secret = Secret::new("silent");
    // The kernel accepts connections into the backlog; nothing responds to them.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = silent.local_addr().expect("it has an address").to_string();
    let options = ["--secret-file", secret.path(), "--daemons", &address];
    let status = run(&[&["status"], options.as_slice()].concat());
    assert_eq!(status.code, 1, "{status:?}");
    let expected = format!("read the status at {address}: not within 2 s");
    assert!(status.out.contains(&expected), "{status:?}");
}

#[test]
fn zone_and_upstream_commands_write_changes() {
    let platform = Fake::start();
    let no_wait = ["--wait", "0s"];
    assert_eq!(publish(&platform, &no_wait).code, 0);
    let commands: &[(&[&str], Value)] = &[
        (&["zone", "out", "zone-a"], json!({"zone_out": "zone-a"})),
        (&["zone", "in", "zone-a"], json!({"zone_in": "zone-a"})),
        (
            &["upstream", "leave", "braid-a"],
            json!({"set_upstream": ["braid-a", "leaving"]}),
        ),
        (
            &["upstream", "return", "braid-a"],
            json!({"set_upstream": ["braid-a", "live"]}),
        ),
    ];
    for (version, (command, entry)) in (2..).zip(commands) {
        let first = change(&platform, command, &no_wait);
        assert_eq!(first.code, 0, "{first:?}");
        let written = platform
            .get(&change_path(version))
            .expect("the change is stored");
        assert_eq!(written["spec"]["entries"], json!([entry]));
        let again = change(&platform, command, &no_wait);
        assert!(again.out.contains("nothing to change"), "{again:?}");
    }
    for command in [["zone", "out", "zone-x"], ["upstream", "leave", "braid-x"]] {
        let run = change(&platform, &command, &no_wait);
        assert_eq!(run.code, 1, "{run:?}");
    }
    assert_eq!(platform.creates(), 5);
    let address = platform.address.to_string();
    let audit = run(&[
        "audit",
        "--platform",
        &address,
        "--since",
        "1",
        "--limit",
        "2",
    ]);
    assert_eq!(audit.code, 0);
    assert!(
        audit
            .out
            .contains("amy: test\n  zone zone-a out of service\n")
    );
    assert_eq!(audit.out.lines().count(), 4, "{}", audit.out);
}

#[test]
fn quarantine_is_listed_and_lifted() {
    let platform = Fake::start();
    let fleet = json!({
        "version": 63, "services": {}, "workspaces": {}, "upstreams": {}, "zones_out": [],
        "quarantine": {"feed": "ended two upstreams"},
    });
    platform.set(
        SNAPSHOT,
        json!({"metadata": {"name": "current", "resourceVersion": "9"}, "spec": fleet}),
    );
    let address = platform.address.to_string();
    let before = run(&["quarantine", "list", "--platform", &address]);
    assert_eq!(before.out, "feed ended two upstreams\n1 quarantined\n");
    let unknown = change(
        &platform,
        &["quarantine", "lift", "beef"],
        &["--wait", "0s"],
    );
    assert_eq!(unknown.code, 1, "{unknown:?}");
    let lifted = change(
        &platform,
        &["quarantine", "lift", "feed"],
        &["--wait", "0s"],
    );
    assert_eq!(lifted.code, 0, "{lifted:?}");
    // A snapshot is due at version 64; it is written with the resource version that was read.
    let snapshot = platform.get(SNAPSHOT).expect("the snapshot is stored");
    assert_eq!(snapshot["spec"]["version"], 64);
    assert_eq!(snapshot["spec"]["quarantine"], json!({}));
    assert_eq!(snapshot["metadata"]["resourceVersion"], "9");
}

#[test]
fn status_and_drain_call_the_daemon() {
    let secret = Secret::new("status");
    let daemon = daemon("a1", 7, &json!([]));
    let address = daemon.address.to_string();
    let options = ["--secret-file", secret.path(), "--daemons", &address];
    let status = run(&[&["status"], options.as_slice()].concat());
    assert_eq!(status.code, 0, "{status:?}");
    assert_eq!(
        status.out,
        "a1 in zone-a: version 7, platform read 5 ms ago\n"
    );
    let drain = run(&[
        "drain",
        "--secret-file",
        secret.path(),
        "--daemon",
        &address,
    ]);
    assert_eq!(drain.code, 0, "{drain:?}");
    assert!(daemon.get("/admin/drain").is_some());
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = closed.local_addr().expect("it has an address").to_string();
    let status = run(&[
        "status",
        "--secret-file",
        secret.path(),
        "--daemons",
        &closed,
    ]);
    assert_eq!(status.code, 1, "{status:?}");
    assert!(status.out.contains("no answer"), "{status:?}");
}

#[test]
fn explain_sends_what_the_operator_wrote() {
    let daemon = Fake::start();
    let explanation = json!({
        "host": "a1", "version": 7, "route": "r1", "service": "m", "priority": 2, "objective_ms": 300.0,
        "over_share": 0.0, "refused_on_arrival": 0.0, "waiting": 0, "ahead": 0, "zone_only": false,
        "decision": {"action": "hand_over"}, "candidates": [], "left_out": [],
    });
    let target = "/explain?host=a.example&path=%2Fx%2F%3Fq%3D1%2B2%26%23&id=%2525\
                  &workspace=a%20%C3%A9%26host%3Db&prompt_tokens=0&answer_tokens=9";
    daemon.set(target, explanation);
    let address = daemon.address.to_string();
    let options = [
        "--daemon",
        &address,
        "--host",
        "a.example",
        "--answer-tokens",
        "9",
    ];
    let odd = [
        "--path",
        "/x/?q=1+2&#",
        "--id",
        "%25",
        "--workspace",
        "a \u{e9}&host=b",
    ];
    let explained = run(&[&["explain"], options.as_slice(), odd.as_slice()].concat());
    assert_eq!(explained.code, 0, "{explained:?}");
    assert!(
        explained.out.starts_with("a1, version 7: route r1"),
        "{explained:?}"
    );
}

#[test]
fn the_digest_excludes_white_space_around_the_key() {
    let expected = "6a2df51586a6da583d7af6cb47361648785c58d681f233dbe40678a851e05500\n";
    assert_eq!(run_with(&["key", "digest"], "key-audit\n").out, expected);
    assert_eq!(run_with(&["key", "digest"], "\n").code, 1);
}

#[test]
fn closed_outputs_keep_the_exit_code() {
    let platform = Fake::start();
    let invalid = repository("examples/bad").display().to_string();
    let cases = [
        (command(&["--help"]), 0),
        (command(&["--version"]), 0),
        (command(&["frob"]), 2),
        (command(&["check", &invalid]), 3),
        (command(&["check", &invalid, "--output", "json"]), 3),
        (publish_command(&platform, &["--wait", "0s"]), 0),
    ];
    for (mut command, code) in cases {
        let (reader, writer) = std::io::pipe().expect("there are pipes");
        drop(reader);
        let errors = writer.try_clone().expect("pipes can be cloned");
        let status = command.stdout(writer).stderr(errors).status();
        let status = status.expect("the tool starts");
        assert_eq!(status.code(), Some(code), "{command:?}");
    }
}

#[test]
fn a_result_that_cannot_be_printed_is_an_error_that_names_the_change() {
    let full = || std::fs::File::create("/dev/full").expect("it can be opened");
    let help = command(&["--help"]).stdout(full()).output();
    let help = help.expect("the tool starts");
    assert_eq!(help.status.code(), Some(1), "{help:?}");
    let platform = Fake::start();
    let publish = publish_command(&platform, &["--wait", "0s"])
        .stdout(full())
        .output();
    let publish = publish.expect("the tool starts");
    assert_eq!(publish.status.code(), Some(1), "{publish:?}");
    let error = String::from_utf8_lossy(&publish.stderr);
    assert!(error.contains("version 1 was accepted"), "{error}");
}

/// Interrupts a publish when `until` is true and returns what it wrote to standard error.
fn interrupt_publish(platform: &Fake, more: &[&str], until: impl Fn() -> bool) -> String {
    let mut publish = publish_command(platform, more);
    let child = publish.stderr(Stdio::piped()).spawn();
    let child = child.expect("the tool starts");
    let started = Instant::now();
    while !until() {
        assert!(started.elapsed() < TIMEOUT, "timed out");
        thread::sleep(Duration::from_millis(10));
    }
    let sent = Command::new("kill")
        .args(["-INT", &child.id().to_string()])
        .status();
    assert!(sent.expect("kill starts").success());
    let output = child.wait_with_output().expect("it can be waited for");
    assert!(!output.status.success(), "{output:?}");
    String::from_utf8(output.stderr).expect("it prints text")
}

#[test]
fn an_interrupted_publish_says_that_the_result_is_unknown() {
    let platform = Fake::start();
    platform.inject(&[Fault::LoseRequest; 100]);
    let error = interrupt_publish(&platform, &["--wait", "0s"], || platform.creates() > 0);
    assert!(error.contains("writing version 1 with nonce"), "{error}");
    assert!(error.contains("primrosehoist audit --since 0"), "{error}");
}

#[test]
fn an_interrupted_wait_says_that_the_change_was_accepted() {
    let secret = Secret::new("interrupted");
    let platform = Fake::start();
    let daemon = daemon("a1", 0, &json!([]));
    let address = daemon.address.to_string();
    let more = ["--secret-file", secret.path(), "--daemons", &address];
    let error = interrupt_publish(&platform, &more, || !daemon.authorization().is_empty());
    assert!(error.contains("version 1 was accepted"), "{error}");
}
