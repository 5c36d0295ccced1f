//! A program under test, which is killed when it is dropped.

use std::fs::File;
use std::io::PipeReader;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The environment variable with the path of a daemon of another build. If it is set, every second daemon that
/// a test starts is of that build, so that the tests show whether two builds work together.
const OTHER_DAEMON: &str = "PRIMROSEHOIST_OTHER_DAEMON";

/// A running program. Dropping it kills the program.
pub struct Process {
    child: Child,
    program: &'static str,
}

/// Returns the path of a program of this workspace, built beforehand in the same profile.
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test is known");
    let directory = test
        .parent()
        .and_then(Path::parent)
        .expect("tests run from target/<profile>/deps");
    directory.join(name)
}

/// Returns the path of a program that is to be started.
fn started_program(name: &str) -> PathBuf {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    match std::env::var_os(OTHER_DAEMON) {
        Some(other) if name == "primrosehoistd" => {
            let is_other = STARTED.fetch_add(1, Ordering::Relaxed) % 2 == 1;
            if is_other {
                PathBuf::from(other)
            } else {
                program(name)
            }
        }
        _ => program(name),
    }
}

impl Process {
    /// Starts `name` with `arguments`; its output is appended to `log`.
    pub fn start(name: &'static str, arguments: &[String], log: &Path) -> Self {
        Self::start_with(name, arguments, log, &[])
    }

    /// Starts `name` as [`Process::start`] does, with additional environment variables.
    pub fn start_with(
        name: &'static str,
        arguments: &[String],
        log: &Path,
        variables: &[(&str, &Path)],
    ) -> Self {
        let program = Command::new(started_program(name));
        Self::start_command(program, name, arguments, log, variables)
    }

    /// Starts `name` as [`Process::start_with`] does, with the limits that the options of `prlimit` set.
    pub fn start_limited(
        limits: &[&str],
        name: &'static str,
        arguments: &[String],
        log: &Path,
        variables: &[(&str, &Path)],
    ) -> Self {
        let mut program = Command::new("prlimit");
        program.args(limits).arg(started_program(name));
        Self::start_command(program, name, arguments, log, variables)
    }

    fn start_command(
        mut program: Command,
        name: &'static str,
        arguments: &[String],
        log: &Path,
        variables: &[(&str, &Path)],
    ) -> Self {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file opens");
        let output = file.try_clone().expect("the log file is shared");
        program.args(arguments).envs(variables.iter().copied());
        Self::spawn(program.stdout(output).stderr(file), name)
    }

    /// Starts `name`; all its output goes to the pipe that is returned.
    pub fn start_piped(
        name: &'static str,
        arguments: &[String],
        variables: &[(&str, &Path)],
    ) -> (Self, PipeReader) {
        let (reader, writer) = std::io::pipe().expect("there are pipes");
        let output = writer.try_clone().expect("the pipe is shared");
        let mut program = Command::new(started_program(name));
        program.args(arguments).envs(variables.iter().copied());
        (
            Self::spawn(program.stdout(output).stderr(writer), name),
            reader,
        )
    }

    fn spawn(program: &mut Command, name: &'static str) -> Self {
        let child = program
            .stdin(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("{name} does not start (build the bins first): {error}")
            });
        Self {
            child,
            program: name,
        }
    }

    /// Sends a signal by its name, such as `HUP`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("kill runs");
        assert!(
            status.success(),
            "{} cannot be sent SIG{signal}",
            self.program
        );
    }

    /// Sets a limit of the process by an option of `prlimit`, such as `--nofile=4:4096`.
    pub fn limit(&self, limit: &str) {
        let process = self.id().to_string();
        let status = Command::new("prlimit")
            .args(["--pid", &process, limit])
            .status();
        assert!(status.expect("prlimit runs").success(), "{limit}");
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status if the program has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait();
        status.expect("the program can be waited for")
    }

    /// Returns whether the program handles SIGHUP, SIGINT and SIGTERM.
    pub fn handles_signals(&self) -> bool {
        // The lowest bit stands for signal 1.
        const HANDLED: u64 = 1 << 14 | 0b11;
        let caught = self.status_line("SigCgt:");
        let caught = caught.and_then(|set| u64::from_str_radix(&set, 16).ok());
        caught.is_some_and(|caught| caught & HANDLED == HANDLED)
    }

    /// Returns the largest resident memory that the program has had, in KiB.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let line = self.status_line("VmHWM:")?;
        line.trim_end_matches(" kB").parse().ok()
    }

    /// Returns for how long the main thread of the program has run on a processor.
    pub fn processor_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let spent_ns = text.split(' ').next().and_then(|field| field.parse().ok());
        Duration::from_nanos(spent_ns.unwrap_or(0))
    }

    fn status_line(&self, name: &str) -> Option<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    }

    /// Kills the program immediately.
    pub fn kill(&mut self) {
        self.child.kill().expect("the program is killed");
        self.child.wait().expect("the program is reaped");
    }

    /// Pauses the program.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes the paused program.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests the program to reload its settings.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Requests the program to shut down.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Returns the exit status if the program exits within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the program can be waited for")
            {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
