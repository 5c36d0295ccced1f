//! Help texts.

use crate::error::Error;

const PROGRAM: &str = "\
primrosehoist: manages a fleet of primrosehoist daemons

Usage: primrosehoist COMMAND [OPTIONS]

Commands:
  check       validate operators' files
  publish     put operators' files into force
  status      show the status that each daemon reports
  zone        take a zone out of service, or bring it back
  upstream    drain an upstream, or return it to service
  quarantine  list quarantined requests, or lift one
  audit       list the accepted changes
  drain       start the graceful shutdown of one daemon
  explain     tell where a request would go now, without sending it
  key         print the digest of a workspace's key

Options of every command:
  --output text|json  the format of the result (default: text)
  --help              print help
  --version           print the version

Exit codes:
  0  done
  1  failed
  2  the command line is wrong
  3  the files are invalid; nothing was changed
  4  another operator's change was accepted first; nothing was changed
  5  the change is accepted, but not yet in force everywhere";

const CHANGE: &str = "
Options of a change:
  --platform ADDR     the platform's API, ip:port
  --author NAME       who makes the change
  --reason TEXT       why
  --daemons A,B       admin ports to wait for (default: those in the platform's list of hosts)
  --secret-file FILE  the shared secret, needed to wait
  --wait DURATION     how long to wait until the change is in force (default: 10s; 0s: no wait)
  --settle DURATION   how long to retry while the platform does not respond (default: 15s)";

const CHECK: &str = "\
Usage: primrosehoist check DIR

Validates all files named hoist.toml or *.hoist.toml under DIR and prints each error as
FILE:LINE: REASON. Exits with 3 if there are any.";

const PUBLISH: &str = "\
Usage: primrosehoist publish DIR --platform ADDR --author NAME --reason TEXT [OPTIONS]

Validates all files named hoist.toml or *.hoist.toml under DIR, and writes the difference to the
configuration in force as one change. Objects that no file declares are removed. Zones out of
service, leaving upstreams and the quarantine stay as they are.
";

const STATUS: &str = "\
Usage: primrosehoist status --secret-file FILE (--daemons A,B | --platform ADDR)

Shows the version, held upstreams and members that each daemon reports. Exits with 1 if a daemon
does not respond.";

const ZONE: &str = "\
Usage: primrosehoist zone out|in ZONE --platform ADDR --author NAME --reason TEXT [OPTIONS]

Takes a zone out of service, or brings it back, and waits until the change is in force at all
daemons.
";

const UPSTREAM: &str = "\
Usage: primrosehoist upstream leave|return NAME --platform ADDR --author NAME --reason TEXT [OPTIONS]

Lets an upstream finish its requests and sends it no new ones, or returns it to service.
";

const QUARANTINE: &str = "\
Usage: primrosehoist quarantine list --platform ADDR
       primrosehoist quarantine lift FINGERPRINT --platform ADDR --author NAME --reason TEXT [OPTIONS]

Lists the requests that must not run because they crashed upstreams, or allows one again.
";

const AUDIT: &str = "\
Usage: primrosehoist audit --platform ADDR [--since VERSION] [--limit N]

Lists the accepted changes after VERSION (default: 0), at most N (default: 1000), oldest first.";

const DRAIN: &str = "\
Usage: primrosehoist drain --daemon ADDR --secret-file FILE

Starts the graceful shutdown of the daemon with this admin port.";

const EXPLAIN: &str = "\
Usage: primrosehoist explain --daemon ADDR --host HOST --path PATH [OPTIONS]

Tells where the daemon with this metrics port would send a request now, what it would cost on each
upstream, and how old the news of their load is. Nothing is sent to an upstream.

Options:
  --host HOST          the host in the client's request
  --path PATH          its path
  --workspace NAME     the client's workspace
  --prompt-tokens N    the length of the prompt (default: 0)
  --answer-tokens N    the expected length of the answer (default: 0)
  --id ID              the id of the attempt, where a route has several services";

const KEY: &str = "\
Usage: primrosehoist key digest < KEY

Prints the SHA-256 digest of the key on standard input, for `key_digests` of a workspace.";

/// Returns the help text of a command, or of the program if `command` is empty.
///
/// # Errors
///
/// Fails for an unknown command.
pub(crate) fn text(command: &str) -> Result<String, Error> {
    let text = match command {
        "" => PROGRAM.to_owned(),
        "check" => CHECK.to_owned(),
        "publish" => format!("{PUBLISH}{CHANGE}"),
        "status" => STATUS.to_owned(),
        "zone" => format!("{ZONE}{CHANGE}"),
        "upstream" => format!("{UPSTREAM}{CHANGE}"),
        "quarantine" => format!("{QUARANTINE}{CHANGE}"),
        "audit" => AUDIT.to_owned(),
        "drain" => DRAIN.to_owned(),
        "explain" => EXPLAIN.to_owned(),
        "key" => KEY.to_owned(),
        other => return Err(Error::Usage(format!("unknown command `{other}`"))),
    };
    Ok(text)
}
