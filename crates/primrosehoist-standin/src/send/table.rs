//! The printed table.

use std::net::SocketAddr;
use std::time::Duration;

use crate::send::Sent;
use crate::send::plan::Action;

/// Prints the column headers.
pub(crate) fn print_head() {
    println!(
        "{:<21} {:<12} {:>9} {:>14} {:>10}  outcome",
        "daemon", "asked", "tokens", "first token ms", "total ms"
    );
}

/// Prints the row of one request.
pub(crate) fn print_row(sent: &Sent<'_>, address: SocketAddr) {
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
    println!(
        "{:<21} {target:<12} {tokens:>9} {first:>14} {total:>10}  {outcome}{note}",
        address.to_string()
    );
}

fn milliseconds(duration: Duration) -> String {
    format!("{:.1}", duration.as_secs_f64() * 1_000.0)
}
