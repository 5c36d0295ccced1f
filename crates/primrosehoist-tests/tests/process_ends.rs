//! Tests how daemons start and end, with real daemon processes: what a start waits for, which signals it
//! survives, and whether the log has the reason of an end.

mod common;

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::platform::{
    Deployment, Request, call, configuration, readiness, send, wait_for, wait_until,
};
use common::process::Process;
use socket2::{Domain, Socket, Type};

/// How long a port is held, or a settings file incomplete, in these tests.
const OBSTACLE_TIME: Duration = Duration::from_millis(700);

/// The longest time in which a daemon without requests ends after SIGTERM.
const SHUTDOWN_MAX: Duration = Duration::from_secs(10);

/// The flag of `open` that it does not block, on all platforms of the daemon.
const O_NONBLOCK: i32 = 0o4000;

/// Returns a connection to `address` from the local address `from`.
fn connect_from(from: &str, address: &str) -> TcpStream {
    let [from, address] =
        [from, address].map(|text| text.parse::<SocketAddr>().expect("an address"));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&from.into()).expect("the port is free");
    socket.connect(&address.into()).expect("the store listens");
    // Without a reset, the operating system keeps the port for a minute after the end.
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the option is set");
    socket.into()
}

/// Starts a deployment with a configuration and `daemons` daemons that do not run yet.
fn prepared(daemons: usize) -> Deployment {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    for _ in 0..daemons {
        let daemon = deployment.prepare_daemon("zone-a", &deployment.store);
        deployment.daemons.push(daemon);
    }
    deployment
}

/// Waits until a daemon reports that it waits for `port`.
fn waits_for_port(deployment: &Deployment, index: usize, port: u16) {
    let port = format!(":{port}: ");
    wait_until("the port is waited for", || {
        let log = deployment.daemons[index].logged();
        let mut lines = log.lines();
        lines.any(|line| {
            let parts = ["startup is waiting", &port, "in use"];
            parts.iter().all(|part| line.contains(part))
        })
    });
}

fn serves(deployment: &Deployment, index: usize) {
    deployment.wait_until_ready(index);
    let response = send(
        &deployment.daemons[index].ingress,
        &Request::new("GET", "/look/1"),
    );
    assert_eq!(response.status, 200, "{response:?}");
}

/// Sends SIGTERM to a daemon and returns its exit code, or minus the number of the signal that ended it.
fn terminate(deployment: &mut Deployment, index: usize) -> i32 {
    let process = deployment.daemons[index].process.as_mut();
    let process = process.expect("the process was started");
    process.terminate();
    let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
    status
        .code()
        .unwrap_or_else(|| -status.signal().unwrap_or_default())
}

fn lives(deployment: &mut Deployment, index: usize) -> bool {
    let process = deployment.daemons[index].process.as_mut();
    let process = process.expect("the process was started");
    process.wait(OBSTACLE_TIME).is_none()
}

#[test]
fn last_lines_of_a_shutdown_are_in_the_log() {
    let mut deployment = prepared(8);
    for index in 0..8 {
        deployment.start_daemon(index);
    }
    for daemon in &deployment.daemons {
        daemon.process.as_ref().expect("it runs").terminate();
    }
    for daemon in &mut deployment.daemons {
        let process = daemon.process.as_mut().expect("it was started");
        let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
        assert!(status.success(), "{status}");
        let log = daemon.logged();
        assert!(log.contains("\"shutdown finished\""), "{log}");
    }
}

/// A former process that shuts down, or the local port of a connection, holds a port for a time.
#[test]
fn start_waits_for_a_port_that_is_held() {
    let mut deployment = prepared(3);
    let address = |index: usize| format!("{}.{}", deployment.network, 40 + index);
    let held = [(0, 8227), (1, 8220)].map(|(index, port)| {
        TcpListener::bind(format!("{}:{port}", address(index))).expect("the port is free")
    });
    let connection = connect_from(&format!("{}:8227", address(2)), &deployment.store);
    for daemon in &mut deployment.daemons {
        daemon.spawn();
    }
    for index in 0..3 {
        waits_for_port(&deployment, index, if index == 1 { 8220 } else { 8227 });
        let alive = lives(&mut deployment, index);
        assert!(alive, "{}", deployment.daemons[index].logged());
        // A port that listens before the others would accept clients whom nobody serves.
        if index > 0 {
            assert_eq!(readiness(&deployment.daemons[index].ingress), 0);
        }
    }
    drop((held, connection));
    for index in 0..3 {
        serves(&deployment, index);
    }
}

#[test]
fn clients_are_served_while_a_port_for_other_daemons_is_held() {
    let mut deployment = prepared(4);
    let address = |index: usize, port: u16| format!("{}.{}:{port}", deployment.network, 40 + index);
    let held = [(0, 7340), (1, 7341)]
        .map(|(index, port)| TcpListener::bind(address(index, port)).expect("the port is free"));
    let gossip = UdpSocket::bind(address(2, 7340)).expect("the port is free");
    let connection = connect_from(&address(3, 7340), &deployment.store);
    for daemon in &mut deployment.daemons {
        daemon.spawn();
    }
    for index in 0..4 {
        serves(&deployment, index);
        waits_for_port(&deployment, index, if index == 1 { 7341 } else { 7340 });
    }
    assert_eq!(terminate(&mut deployment, 1), 0);
    deployment.start_daemon(1);
    drop((held, gossip, connection));
    let address = |index: usize, port: u16| format!("{}.{}:{port}", deployment.network, 40 + index);
    for index in 0..4 {
        for port in [7340, 7341] {
            wait_until("the port listens", || {
                TcpStream::connect(address(index, port)).is_ok()
            });
        }
        wait_until("the port for gossip is bound", || {
            UdpSocket::bind(address(index, 7340)).is_err()
        });
        serves(&deployment, index);
    }
}

#[test]
fn daemon_serves_while_its_metrics_port_is_held() {
    let mut deployment = prepared(1);
    let metrics = deployment.daemons[0].metrics.clone();
    let held = TcpListener::bind(&metrics).expect("the port is free");
    deployment.daemons[0].spawn();
    wait_until("the port is reported", || {
        deployment.daemons[0].logged().contains("in use")
    });
    serves(&deployment, 0);
    drop(held);
    wait_until("the metrics are served", || readiness(&metrics) == 200);
    let rendered = call(&metrics, "GET", "/metrics", "").body;
    let rendered = String::from_utf8_lossy(&rendered);
    let version = "primrosehoist_config_version{otel_scope_name=\"primrosehoist\"} 1";
    assert!(rendered.contains(version), "{rendered}");
}

#[test]
fn start_waits_for_settings_that_are_not_whole() {
    let mut deployment = prepared(3);
    let settings: Vec<String> = deployment
        .daemons
        .iter()
        .map(|daemon| fs::read_to_string(&daemon.settings).expect("the settings are readable"))
        .collect();
    fs::remove_file(&deployment.daemons[0].settings).expect("the file is removed");
    fs::write(&deployment.daemons[1].settings, "").expect("the file is written");
    fs::write(&deployment.daemons[2].settings, &settings[2][..200]).expect("the file is written");
    for daemon in &mut deployment.daemons {
        daemon.spawn();
    }
    for (index, content) in settings.iter().enumerate() {
        wait_until("the start waits", || {
            deployment.daemons[index]
                .logged()
                .contains("startup is waiting")
        });
        let alive = lives(&mut deployment, index);
        let daemon = &deployment.daemons[index];
        let log = daemon.logged();
        assert!(alive, "{log}");
        fs::write(&daemon.settings, content).expect("the file is written");
    }
    for index in 0..3 {
        serves(&deployment, index);
    }
}

#[test]
fn start_that_waits_can_be_terminated() {
    let mut deployment = prepared(2);
    fs::remove_file(&deployment.daemons[0].settings).expect("the file is removed");
    let address = deployment.daemons[1].ingress.clone();
    let _held = TcpListener::bind(address).expect("the port is free");
    for index in 0..2 {
        deployment.daemons[index].spawn();
        wait_until("the start is waiting", || {
            deployment.daemons[index]
                .logged()
                .contains("startup is waiting")
        });
        assert_eq!(terminate(&mut deployment, index), 0);
        let log = deployment.daemons[index].logged();
        assert!(log.contains("terminated during startup"), "{log}");
    }
}

/// The settings file is a pipe, so that the daemon is known to run and not to have read it yet.
#[test]
fn signal_before_the_settings_are_read_does_not_kill() {
    let mut deployment = prepared(3);
    for (index, signal) in ["HUP", "TERM", "INT"].into_iter().enumerate() {
        let daemon = &mut deployment.daemons[index];
        let settings = daemon.settings.clone();
        let regular = settings.with_extension("regular");
        fs::rename(&settings, &regular).expect("the file is renamed");
        let made = Command::new("mkfifo").arg(&settings).status();
        assert!(made.expect("mkfifo runs").success());
        daemon.spawn();
        // A pipe without a reader cannot be opened for writing without blocking.
        let open = || {
            File::options()
                .write(true)
                .custom_flags(O_NONBLOCK)
                .open(&settings)
        };
        let mut pipe = wait_for("the daemon reads the settings", || open().ok());
        daemon.process.as_ref().expect("it runs").signal(signal);
        assert!(
            lives(&mut deployment, index),
            "SIG{signal} killed the daemon"
        );
        let content = fs::read(&regular).expect("the settings are readable");
        fs::rename(&regular, &settings).expect("the pipe is replaced");
        pipe.write_all(&content).expect("the settings are written");
    }
    serves(&deployment, 0);
    for index in 1..3 {
        let process = deployment.daemons[index].process.as_mut();
        let status = process.expect("it was started").wait(SHUTDOWN_MAX);
        assert_eq!(status.and_then(|status| status.code()), Some(0));
    }
}

#[test]
fn interrupt_shuts_down_as_terminate_does() {
    let mut deployment = prepared(1);
    deployment.start_daemon(0);
    serves(&deployment, 0);
    let process = deployment.daemons[0].process.as_mut().expect("it runs");
    process.signal("INT");
    let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
    assert!(status.success(), "{status}");
    assert!(deployment.daemons[0].logged().contains("\"SIGINT\""));
}

#[test]
fn configuration_without_a_limit_on_heads_does_not_end_the_daemon() {
    let mut deployment = prepared(1);
    let mut spec = configuration(2);
    spec["Limits"]["MaxHeaderBytes"] = u64::MAX.into();
    deployment.configure(&spec);
    deployment.start_daemon(0);
    serves(&deployment, 0);
    let handovers = format!("{}.40:7341", deployment.network);
    assert_eq!(call(&handovers, "GET", "/look/1", "").status, 403);
    assert!(lives(&mut deployment, 0));
    serves(&deployment, 0);
}

#[test]
fn suspended_daemon_reports_no_stall() {
    let mut deployment = prepared(1);
    deployment.start_daemon(0);
    serves(&deployment, 0);
    let process = deployment.daemons[0].process.as_ref().expect("it runs");
    process.pause();
    std::thread::sleep(Duration::from_secs(8));
    process.resume();
    serves(&deployment, 0);
    std::thread::sleep(Duration::from_secs(2));
    let log = deployment.daemons[0].logged();
    assert!(!log.contains("\"runtime "), "{log}");
}

#[test]
fn lack_of_descriptors_is_in_the_log_and_passes() {
    let mut deployment = prepared(1);
    deployment.start_daemon(0);
    serves(&deployment, 0);
    let daemon = &deployment.daemons[0];
    let process = daemon.process.as_ref().expect("it runs");
    process.limit("--nofile=4:4096");
    let waiting = TcpStream::connect(&daemon.ingress).expect("the kernel accepts it");
    wait_until("the failure is logged", || {
        daemon.logged().contains("cannot accept connections")
    });
    process.limit("--nofile=4096:4096");
    drop(waiting);
    serves(&deployment, 0);
}

/// The kernel stops a thread for seconds, on a busy host, when the table of a process with several threads
/// grows.
#[test]
fn descriptor_table_does_not_grow_while_the_daemon_runs() {
    let mut deployment = prepared(1);
    deployment.start_daemon(0);
    serves(&deployment, 0);
    let daemon = &deployment.daemons[0];
    let process = daemon.process.as_ref().expect("it runs").id();
    let table_size = || {
        let status = fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.expect("the process runs");
        let size = status.lines().find_map(|line| line.strip_prefix("FDSize:"));
        size.expect("the size is known").trim().to_owned()
    };
    let before = table_size();
    let connections: Vec<_> = (0..300)
        .map(|_| TcpStream::connect(&daemon.ingress).expect("the daemon listens"))
        .collect();
    serves(&deployment, 0);
    assert_eq!(table_size(), before);
    drop(connections);
}

/// The daemon with its own settings, without its platform.
#[test]
fn other_daemon_survives_a_held_port_a_hang_up_and_a_closed_standard_error() {
    let deployment = Deployment::without_daemons();
    let address = |port: u16| format!("{}.90:{port}", deployment.network);
    let (settings, _callers) = deployment.other_daemon(90);
    let held = TcpListener::bind(address(7200)).expect("the port is free");
    let log = deployment.directory.join("other.log");
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    let mut process = Process::start("primrosehoistd", &arguments, &log);
    let logged = |text: &str| fs::read_to_string(&log).is_ok_and(|log| log.contains(text));
    wait_until("the daemon waits for the port", || {
        logged("startup is waiting")
    });
    wait_until("callers are accepted", || {
        TcpStream::connect(address(7100)).is_ok()
    });
    drop(held);
    wait_until("other daemons are accepted", || {
        TcpStream::connect(address(7200)).is_ok()
    });
    process.reload();
    wait_until("the signal is logged", || logged("SIGHUP ignored"));
    process.terminate();
    assert_eq!(
        process.wait(SHUTDOWN_MAX).and_then(|status| status.code()),
        Some(0)
    );

    // All lines of a second one go to a pipe that nobody reads any more.
    let mut child = Command::new(common::process::program("primrosehoistd"))
        .args(&arguments)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    drop(child.stderr.take());
    wait_until("the daemon listens", || {
        TcpStream::connect(address(7100)).is_ok()
    });
    let id = child.id().to_string();
    for signal in ["-HUP", "-TERM"] {
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
        std::thread::sleep(OBSTACLE_TIME);
    }
    let status = child.wait().expect("the daemon ends");
    assert_eq!(status.code(), Some(0), "{status}");
}

#[test]
fn closed_outputs_keep_the_exit_code() {
    for (argument, code) in [("--help", 0), ("frob", 2)] {
        let (reader, writer) = std::io::pipe().expect("there are pipes");
        drop(reader);
        let errors = writer.try_clone().expect("pipes can be cloned");
        let status = Command::new(common::process::program("primrosehoistd"))
            .arg(argument)
            .stdout(writer)
            .stderr(errors)
            .status();
        assert_eq!(status.expect("the daemon starts").code(), Some(code));
    }
}
