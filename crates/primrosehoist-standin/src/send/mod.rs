//! Sends the requests of a plan and checks every response.

mod plan;
mod table;
mod verdict;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::caller::answer::Answer;
use crate::command::{self, Addresses, Error};
use crate::output;
use plan::{Action, Plan, Step};
use verdict::Verdict;

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Sends the prompts and calls of a plan to the daemons in turn and checks every response.

Usage: primrosehoist-standin send --callers A,B --plan FILE [OPTIONS]

Options:
  --callers A,B    caller ports of daemons
  --plan FILE      plan of the requests, in TOML
  --engines A,B    engine stand-ins whose counters are checked
  --services A,B   service stand-ins whose counters are checked
  --timeout-ms N   time limit of each request [default: 60000]
  --log LEVEL      off, error, warn, info, debug or trace [default: warn]
  --help           prints this text
  --version        prints the version

The plan lists [[prompt]] with key, model, file or tokens, max_tokens, and [[call]] with key,
service, path, body, idempotency_key. Each may have times [default: 1] and expect: complete
[default] or the expected error code. Files are relative to the plan.

The last line is `demo: complete=N refused=N lost=N doubled=N`. Requests are lost if they ended
neither complete nor refused as not run, or completed without being counted by a stand-in. Runs
are doubled if they repeat a request or an idempotency key, or if the request was refused as not
run. Exit codes: 0 all results match the plan and nothing was lost or doubled, 1 otherwise,
2 invalid arguments or plan.
";

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    callers: Vec<SocketAddr>,
    plan: Plan,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    timeout: Duration,
}

/// A step and the response to it.
#[derive(Debug)]
struct Sent<'p> {
    step: &'p Step,
    prompt_tokens: Option<u64>,
    answer: Answer,
}

impl Sent<'_> {
    /// Returns whether the response is what the plan expects.
    fn is_expected(&self) -> bool {
        match self.answer.code.as_str() {
            "" => self.step.expect == "complete",
            code => self.step.expect == code,
        }
    }
}

/// Reads the options of the subcommand.
///
/// # Errors
///
/// Fails if an option is missing or invalid, or the plan cannot be read.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let path: String = command::required(arguments, "--plan")?;
    let none = Addresses(Vec::new());
    let timeout_ms = command::value(arguments, "--timeout-ms", 60_000)?;
    Ok(Options {
        callers: command::required::<Addresses>(arguments, "--callers")?.0,
        engines: command::value(arguments, "--engines", none.clone())?.0,
        services: command::value(arguments, "--services", none)?.0,
        plan: plan::read(&path)?,
        timeout: Duration::from_millis(timeout_ms),
    })
}

/// Sends the plan and prints the table and the verdict.
///
/// # Errors
///
/// Fails if any result differs from the plan, or a stand-in cannot be reached.
pub(crate) async fn run(options: Options) -> io::Result<()> {
    let mut sent = Vec::new();
    table::print_head()?;
    let steps = options.plan.steps.iter();
    for (index, step) in steps.enumerate() {
        let address = options.callers[index % options.callers.len()];
        let done = send(&options, step, address, index).await;
        table::print_row(&done, address)?;
        sent.push(done);
    }
    let mut verdict = Verdict::of_answers(&sent);
    verdict.count_engines(&options.engines, &sent).await?;
    verdict.count_services(&options.services, &sent).await?;
    output::print(format_args!("{verdict}\n"))?;
    if verdict.matches_plan() {
        Ok(())
    } else {
        Err(io::Error::other("not all was as the plan says"))
    }
}

async fn send<'p>(
    options: &Options,
    step: &'p Step,
    address: SocketAddr,
    index: usize,
) -> Sent<'p> {
    match &step.action {
        Action::Prompt(prompt) => {
            let completion = prompt.completion(address, options.timeout, index as u64);
            Sent {
                step,
                prompt_tokens: Some(completion.prompt_tokens()),
                answer: completion.send().await,
            }
        }
        Action::Call(call) => Sent {
            step,
            prompt_tokens: None,
            answer: call.call(address, options.timeout).send().await,
        },
    }
}
