//! Tests of how stand-ins start and end, and of what they say about it.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use support::{Standin, command, free_address, wait_for};

/// How long a test looks at a program that should go on.
const LOOK: Duration = Duration::from_millis(300);

/// Starts a stand-in whose standard error can be read once it has ended.
fn start(kind: &str, options: &[&str]) -> (Standin, impl FnOnce() -> String) {
    let address = free_address();
    let (mut log, writer) = std::io::pipe().expect("there are pipes");
    let mut command = command(&[kind, "--listen", &address]);
    let standin = Standin::spawn(command.args(options).stderr(writer), address);
    // The command still holds an end of the pipe.
    drop(command);
    let read = move || {
        let mut text = String::new();
        log.read_to_string(&mut text).expect("it writes text");
        text
    };
    (standin, read)
}

#[test]
fn closed_outputs_keep_the_exit_code() {
    let cases: [(&[&str], i32); 4] = [
        (&["--help"], 0),
        (&["engine", "--version"], 0),
        (&["frob"], 2),
        (&["service"], 2),
    ];
    for (arguments, code) in cases {
        let (reader, writer) = std::io::pipe().expect("there are pipes");
        drop(reader);
        let errors = writer.try_clone().expect("pipes can be cloned");
        let status = command(arguments).stdout(writer).stderr(errors).status();
        let status = status.expect("the program starts");
        assert_eq!(Some(code), status.code(), "{arguments:?}");
    }
}

#[test]
fn closed_standard_error_does_not_end_a_server() {
    let (mut service, log) = start("service", &["--log", "info"]);
    drop(log);
    service.wait_up();
    assert_eq!(200, service.call("GET", "/a", &[], "").status);
    assert_eq!(Some(0), service.stop("-TERM").code());
}

#[test]
fn an_address_that_is_held_is_waited_for() {
    for kind in ["platform", "engine", "service"] {
        let address = free_address();
        let holder = TcpListener::bind(&address).expect("the address is free");
        let mut waiting = Standin::spawn(&mut command(&[kind, "--listen", &address]), address);
        thread::sleep(LOOK);
        assert!(waiting.is_running(), "{kind} gave up");
        drop(holder);
        wait_for("a response", || {
            waiting.try_call("GET", "/standin/counts", &[], "")
        });
        assert_eq!(Some(0), waiting.stop("-TERM").code(), "{kind}");
    }
}

#[test]
fn a_start_that_waits_can_be_terminated() {
    let address = free_address();
    let _holder = TcpListener::bind(&address).expect("the address is free");
    let (log, writer) = std::io::pipe().expect("there are pipes");
    let mut command = command(&["service", "--listen", &address]);
    let mut waiting = Standin::spawn(command.stderr(writer), address);
    drop(command);
    let mut log = BufReader::new(log);
    let mut line = String::new();
    log.read_line(&mut line).expect("it writes text");
    assert!(line.contains("in use"), "{line}");
    thread::sleep(LOOK);
    assert_eq!(Some(0), waiting.stop("-TERM").code());
    let rest = std::io::read_to_string(log).expect("it writes text");
    assert!(rest.contains("ended by SIGTERM"), "{rest}");
    assert_eq!(1, rest.lines().count(), "{rest}");
}

#[test]
fn a_hang_up_is_ignored_and_logged() {
    for kind in ["platform", "engine", "service", "store"] {
        let also = free_address();
        let more: &[&str] = if kind == "store" {
            &["--also", &also]
        } else {
            &[]
        };
        let (mut standin, log) = start(kind, more);
        standin.wait_up();
        standin.signal("-HUP");
        thread::sleep(LOOK);
        assert!(standin.is_running(), "{kind} ended");
        assert_eq!(Some(0), standin.stop("-INT").code(), "{kind}");
        let log = log();
        assert!(log.contains("ignored SIGHUP"), "{kind}: {log}");
        assert!(log.contains("ended by SIGINT"), "{kind}: {log}");
    }
}

#[test]
fn a_lack_of_descriptors_does_not_flood_the_log() {
    let address = free_address();
    let (log, writer) = std::io::pipe().expect("there are pipes");
    let program = command(&[]);
    let mut shell = Command::new("sh");
    shell
        .args(["-c", "ulimit -n 14; exec \"$0\" service --listen \"$1\""])
        .arg(program.get_program())
        .args([&address])
        .stdout(Stdio::null())
        .stderr(writer);
    let mut service = Standin::spawn(&mut shell, address);
    drop(shell);
    let reader = thread::spawn(move || std::io::read_to_string(log).expect("it writes text"));
    service.wait_up();
    let held: Vec<_> = (0..10)
        .map(|_| TcpStream::connect(&service.address).expect("the kernel accepts"))
        .collect();
    thread::sleep(LOOK);
    drop(held);
    assert_eq!(200, service.call("GET", "/a", &[], "").status);
    assert_eq!(Some(0), service.stop("-TERM").code());
    let log = reader.join().expect("the log was read");
    let errors = log.matches("accepting a connection").count();
    assert!((1..=10).contains(&errors), "{errors} lines");
}

#[test]
fn a_runner_says_which_part_ended_it() {
    let (mut runner, log) = start("runner", &["--id", "r1"]);
    runner.wait_up();
    assert_eq!(200, runner.post("/standin/deadly", &[], "p7"));
    let headers = [
        "X-Attempt-Id: a1",
        "X-Token-Usage: 1,64",
        "X-Prompt-Prefix: p6:10,p7:20",
    ];
    // The runner ends in the middle of the response.
    let _partial = runner.try_call("POST", "/v1/chat", &headers, "");
    assert_eq!(Some(1), runner.wait().code());
    let log = log();
    assert!(log.contains("p7"), "{log}");
}

#[test]
fn a_day_that_is_told_to_end_leaves_no_process() {
    let logs = std::env::temp_dir().join(format!("primrosehoist-day-ends-{}", std::process::id()));
    // In place of a daemon: it ends at once, since its argument is wrong.
    let mut command = command(&["day", "--seed", "1", "--log", "off", "--daemon", "sleep"]);
    command.arg("--logs").arg(&logs);
    let mut day = Standin::spawn(&mut command, String::new());
    let settings = wait_for("the last runner", || {
        let is_up = logs.join("runner-i-7220-1.log").exists();
        std::fs::read_to_string(logs.join("host-0.toml"))
            .ok()
            .filter(|_| is_up)
    });
    assert_eq!(Some(1), day.stop("-TERM").code());
    let (_, rest) = settings.split_once("Ip = \"").expect("it has an address");
    let (network, _) = rest
        .split_once("40\"")
        .expect("the address is that of the first host");
    let processes = std::fs::read_dir("/proc").expect("there are processes");
    let processes = processes
        .filter_map(|entry| std::fs::read_to_string(entry.ok()?.path().join("cmdline")).ok());
    let left: Vec<String> = processes.filter(|line| line.contains(network)).collect();
    assert!(left.is_empty(), "{left:?}");
    std::fs::remove_dir_all(&logs).expect("the logs are removed");
}
