//! Tests of the command line, exit codes and signals.

mod support;

use support::{Standin, command};

#[test]
fn arguments_determine_exit_codes() {
    let cases: [(&[&str], i32, &str); 15] = [
        (&["--help"], 0, "Usage"),
        (&["--version"], 0, "primrosehoist-standin "),
        (&["platform", "--help"], 0, "--history"),
        (&["engine", "--help"], 0, "--cold-requests"),
        (&["service", "--version"], 0, "primrosehoist-standin "),
        (&["day", "--help"], 0, "--other-daemon"),
        (&["day", "--seed", "1"], 2, "--daemon"),
        (&["day", "--seconds", "39"], 2, "at least 40"),
        (&[], 2, "command is missing"),
        (&["frob"], 2, "unknown command"),
        (&["service"], 2, "--listen"),
        (
            &["service", "--listen", "127.0.0.1:1", "--frob"],
            2,
            "--frob",
        ),
        (
            &["engine", "--listen", "127.0.0.1:1", "--seed", "x"],
            2,
            "seed",
        ),
        (
            &["engine", "--listen", "127.0.0.1:1", "--prefill-rate", "0"],
            2,
            "--prefill-rate",
        ),
        (
            &[
                "platform",
                "--listen",
                "127.0.0.1:1",
                "--faults",
                "/nonexistent",
            ],
            2,
            "nonexistent",
        ),
    ];
    for (arguments, code, text) in cases {
        let output = command(arguments).output().expect("the program starts");
        assert_eq!(Some(code), output.status.code(), "{arguments:?}");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8(printed).expect("it prints text");
        assert!(printed.contains(text), "{arguments:?} printed {printed:?}");
    }
}

#[test]
fn signals_stop_the_program_cleanly() {
    for kind in ["platform", "engine", "service"] {
        for signal in ["-TERM", "-INT"] {
            let mut standin = Standin::start(kind, &[]);
            assert_eq!(Some(0), standin.stop(signal).code(), "{kind} {signal}");
        }
    }
}
