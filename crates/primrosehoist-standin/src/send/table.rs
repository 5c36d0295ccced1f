//! The printed table.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use crate::output::Output;
use crate::send::Sent;
use crate::send::plan::Action;

/// Prints the column headers.
///
/// # Errors
///
/// Fails if standard output cannot be written to.
pub(crate) fn print_head() -> io::Result<()> {
    writeln!(
        Output,
        "{:<21} {:<12} {:>9} {:>14} {:>10}  outcome",
        "daemon", "asked", "tokens", "first token ms", "total ms"
    )?;
    Ok(())
}

/// Prints the row of one request.
///
/// # Errors
///
/// Fails if standard output cannot be written to.
pub(crate) fn print_row(sent: &Sent<'_>, address: SocketAddr) -> io::Result<()> {
    let target = match &sent.step.action {
        Action::Prompt(prompt) => &prompt.model,
        Action::Call(call) => &call.service,
    };
    let tokens = sent.prompt_tokens.map_or("-".to_owned(), |n| n.to_string());
    let first = sent.answer.first_token.map_or("-".to_owned(), milliseconds);
    let total = milliseconds(sent.answer.total);
    let outcome = sent.answer.label();
    let note = if sent.is_expected() {
        String::new()
    } else {
        format!("  (expected {})", sent.step.expect)
    };
    writeln!(
        Output,
        "{:<21} {target:<12} {tokens:>9} {first:>14} {total:>10}  {outcome}{note}",
        address.to_string()
    )?;
    Ok(())
}

fn milliseconds(duration: Duration) -> String {
    format!("{:.1}", duration.as_secs_f64() * 1_000.0)
}
