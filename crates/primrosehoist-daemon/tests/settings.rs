//! The daemon's settings, logging and metrics, tested by including the modules of the binary crate.

#[path = "../src/logging.rs"]
mod logging;
#[path = "../src/metrics.rs"]
mod metrics;
#[path = "../src/resident.rs"]
mod resident;
#[path = "../src/settings.rs"]
mod settings;

use std::time::{Duration, UNIX_EPOCH};

use log::{Level, Record};
use primrosehoist::state::files::File;
use settings::{Placement, Settings};

const MINIMAL: &str = r#"
host = "a1"
zone = "zone-a"
secret_file = "secret"

[listen]
caller = "127.0.0.1:7100"
peer = "127.0.0.1:7200"
admin = "127.0.0.1:7300"

[platform]
address = "127.0.0.1:7000"
"#;

fn read(content: String) -> Result<Settings, Vec<String>> {
    let path = "daemon.toml".to_owned();
    Settings::try_from(&File { path, content })
        .map_err(|diagnostics| diagnostics.iter().map(ToString::to_string).collect())
}

#[test]
fn optional_keys_have_defaults() {
    let settings = read(MINIMAL.to_owned()).expect("the settings are valid");
    assert_eq!(settings.host.as_str(), "a1");
    assert_eq!(settings.zone.as_str(), "zone-a");
    assert_eq!(settings.listen.admin.port(), 7300);
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert_eq!(settings.limits.header_bytes, 16 << 10);
    assert_eq!(settings.limits.body_bytes, 16 << 20);
    assert_eq!(settings.limits.body_budget, 512 << 20);
    assert_eq!(settings.limits.header_timeout, Duration::from_secs(5));
    assert_eq!(
        settings.limits.caller_write_timeout,
        Duration::from_secs(10)
    );
    assert_eq!(settings.limits.connections, 4096);
    assert_eq!(settings.policy.placement, Placement::LongConfined);
    assert!(settings.mechanisms.claim && settings.mechanisms.zone_out);
}

#[test]
fn keys_override_defaults() {
    let more = "[limits]\nbody_bytes = \"1MiB\"\n[policy]\nplacement = \"round_robin\"\n\
                [mechanisms]\nclaim = false\n[log]\nlevel = \"debug\"\n\
                [peers]\nseeds = [\"127.0.0.1:7201\"]\n";
    let settings = read(format!("{MINIMAL}{more}")).expect("the settings are valid");
    assert_eq!(settings.limits.body_bytes, 1 << 20);
    assert_eq!(settings.policy.placement, Placement::RoundRobin);
    assert!(!settings.mechanisms.claim);
    assert_eq!(settings.log.level, log::LevelFilter::Debug);
    assert_eq!(settings.seeds.len(), 1);
}

#[test]
fn all_errors_are_reported_together() {
    let more = "[limits]\nbody_bytes = \"1MB\"\nconnections = 0\nheader_timeout = 3\n\
                body_budget = \"1MiB\"\n[policy]\nplacement = \"best\"\n\
                [mechanism]\nclaim = false\n[lease]\nduration = \"3s\"\n\
                [heartbeat]\nsilence = \"600ms\"\n";
    let errors = read(format!("{MINIMAL}{more}")).expect_err("the settings are invalid");
    let expected = [
        "daemon.toml:13: `limits.body_budget` is below `limits.body_bytes`",
        "daemon.toml:14: `limits.body_bytes`: expected a number of bytes such as 65536, \
         \"16KiB\" or \"512MiB\", found \"1MB\"",
        "daemon.toml:15: `limits.connections`: expected 1 to 1000000, found 0",
        "daemon.toml:16: `limits.header_timeout`: expected a duration with a unit such as \"30s\", \
         found integer",
        "daemon.toml:19: `policy.placement`: expected one of `long_confined`, `least_load`, \
         `round_robin`, found `best`",
        "daemon.toml:20: unknown key `mechanism`",
        "daemon.toml:22: unknown key `lease`",
        "daemon.toml:24: unknown key `heartbeat`",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn missing_keys_are_reported() {
    let errors = read(String::new()).expect_err("keys are missing");
    for key in [
        "host",
        "zone",
        "secret_file",
        "listen.peer",
        "platform.address",
    ] {
        let expected = format!("daemon.toml:1: key `{key}` is missing");
        assert!(errors.contains(&expected), "{key}: {errors:?}");
    }
}

#[test]
fn unreadable_file_is_named_in_the_error() {
    let error = Settings::load("no-such-file.toml".as_ref()).expect_err("the file does not exist");
    assert!(
        error
            .to_string()
            .starts_with("cannot read no-such-file.toml: ")
    );
}

#[test]
fn short_secret_is_rejected() {
    let directory = std::env::temp_dir();
    let path = directory.join(format!("primrosehoist-secret-{}", std::process::id()));
    let mut settings = read(MINIMAL.to_owned()).expect("the settings are valid");
    settings.secret_file.clone_from(&path);
    std::fs::write(&path, "  short  \n").expect("the file is written");
    let short = settings.secret();
    std::fs::write(&path, "sixteen bytes ok\n").expect("the file is written");
    let long = settings.secret();
    std::fs::remove_file(&path).expect("the file is removed");
    assert!(short.is_err());
    assert_eq!(
        long.expect("the secret is long enough"),
        b"sixteen bytes ok"
    );
}

#[test]
fn log_line_is_json_with_key_values() {
    let text_field = [("upstream", log::kv::Value::from("braid-a"))];
    let number_field = [("attempt", log::kv::Value::from(2))];
    let line = |fields: &dyn log::kv::Source| {
        let arguments = format_args!("sent \"now\"").to_string();
        let record = Record::builder()
            .level(Level::Warn)
            .target("daemon")
            .key_values(fields)
            .build();
        logging::line(UNIX_EPOCH, &format_args!("{arguments}"), &record)
    };
    let text: serde_json::Value =
        serde_json::from_str(&line(&text_field)).expect("the line is JSON");
    let expected = serde_json::json!({
        "time": "1970-01-01T00:00:00.000Z",
        "level": "WARN",
        "target": "daemon",
        "message": "sent \"now\"",
        "upstream": "braid-a",
    });
    assert_eq!(text, expected);
    let number: serde_json::Value =
        serde_json::from_str(&line(&number_field)).expect("the line is JSON");
    assert_eq!(number["attempt"], 2);
    // Long texts come from clients. The cut must not fall into a character.
    for length in 500..530 {
        let long = "p".repeat(length) + &"\u{e9}".repeat(1000);
        let field = [("path", log::kv::Value::from(long.as_str()))];
        let cut: serde_json::Value = serde_json::from_str(&line(&field)).expect("the line is JSON");
        let path = cut["path"].as_str().expect("a text");
        assert!(path.len() <= 512 && path.ends_with("..."), "{path}");
    }
}

#[test]
fn metrics_are_rendered_by_name_and_label() {
    let metrics = metrics::Metrics::new().expect("the exporter is set up");
    metrics.ended("braid", "complete");
    metrics.ended("braid", "complete");
    metrics.first_token("braid", Duration::from_millis(30));
    metrics.queued("braid", Duration::from_millis(3));
    metrics.placed("braid", Duration::from_millis(15), 2);
    metrics.in_flight("braid", 2);
    metrics.in_flight("braid", -1);
    metrics.retried("braid");
    metrics.platform_called("read_change", 3);
    metrics.peer_bytes("sent", 512);
    metrics.gossip("received", 3, 90);
    metrics.permit("granted");
    metrics.handover_taken("busy");
    metrics.version(7);
    metrics.cut_off(true);
    metrics.seed_request("refused");
    metrics.start_waits("hosts", true);
    metrics.cut_list("servers", "a\"b\n\\".to_owned(), true);
    metrics.serving_hosts(5);
    metrics.refused_over_share();
    metrics.rejected("no_route");
    metrics.task_restarts().add(1, &[]);
    metrics.runtime_stalls().add(2, &[]);
    let own = resident::Resident::read().expect("the memory of this process is known");
    assert!(own.now <= own.peak && own.now > 1 << 20, "{own:?}");
    metrics.resident(resident::Resident {
        now: 4096,
        peak: 8192,
    });
    metrics
        .connections_closed()
        .fetch_add(4, std::sync::atomic::Ordering::Relaxed);
    let text = metrics.render().expect("the metrics are encoded");
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next())
            .map(str::to_owned)
    };
    let cases = [
        ("primrosehoist_requests_total{", "2"),
        ("primrosehoist_first_token_seconds_count{", "1"),
        ("primrosehoist_queue_seconds_count{", "1"),
        ("primrosehoist_news_age_seconds_count{", "1"),
        ("primrosehoist_expected_sends_total{", "2"),
        ("primrosehoist_in_flight{", "1"),
        ("primrosehoist_retries_total{", "1"),
        ("primrosehoist_cut_off{", "1"),
        ("primrosehoist_seed_requests_total{outcome=\"refused\"", "1"),
        ("primrosehoist_start_waits{need=\"hosts\"", "1"),
        (
            r#"primrosehoist_cut_lists{after="a\"b\n\\",kind="servers""#,
            "1",
        ),
        ("primrosehoist_serving_hosts{", "5"),
        ("primrosehoist_connections_closed_total{", "4"),
        ("primrosehoist_rejected_total{reason=\"no_route\"", "1"),
        ("primrosehoist_platform_calls_total{", "3"),
        ("primrosehoist_peer_bytes_total{direction=\"sent\"", "512"),
        (
            "primrosehoist_peer_bytes_total{direction=\"received\"",
            "90",
        ),
        ("primrosehoist_gossip_messages_total{", "3"),
        ("primrosehoist_permits_total{", "1"),
        ("primrosehoist_refused_over_share_total", "1"),
        ("primrosehoist_task_restarts_total", "1"),
        ("primrosehoist_runtime_stalls_total", "2"),
        ("primrosehoist_resident_bytes{", "4096"),
        ("primrosehoist_resident_peak_bytes{", "8192"),
        ("primrosehoist_handovers_taken_total{outcome=\"busy\"", "1"),
        ("primrosehoist_config_version{", "7"),
    ];
    for (name, expected) in cases {
        assert_eq!(value(name).as_deref(), Some(expected), "{name}: {text}");
    }
}
