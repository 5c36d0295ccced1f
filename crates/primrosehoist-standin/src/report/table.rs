//! The printed tables.

use std::io::{self, Write};

use crate::load::summary::Workspace;
use crate::output::Output;
use crate::report::Report;

/// Prints one row per report, then tables by prompt length, workspace and phase.
///
/// # Errors
///
/// Fails if standard output cannot be written to.
pub(crate) fn print(reports: &[Report]) -> io::Result<()> {
    let base = reports[0].summary.short_first_token_ms;
    writeln!(
        Output,
        "{:<24} {:>8} {:>8} {:>8} {:>7} {:>6} {:>10} {:>10} {:>9} {:>9} {:>11}",
        "report",
        "offered",
        "complete",
        "refused",
        "failed",
        "lost",
        "short p50",
        "short p95",
        "p50 ratio",
        "p95 ratio",
        "tokens/s"
    )?;
    for Report { name, summary } in reports {
        let times = summary.short_first_token_ms;
        writeln!(
            Output,
            "{name:<24} {:>8} {:>8} {:>8} {:>7} {:>6} {:>10.2} {:>10.2} {:>9.3} {:>9.3} {:>11.0}",
            summary.counts.offered,
            summary.counts.complete,
            summary.counts.refused,
            summary.counts.failed,
            summary.counts.lost,
            times.p50,
            times.p95,
            times.p50 / base.p50,
            times.p95 / base.p95,
            summary.goodput_tokens_per_s
        )?;
    }
    print_classes(reports)?;
    print_workspaces(reports)?;
    print_phases(reports)
}

fn print_classes(reports: &[Report]) -> io::Result<()> {
    writeln!(Output, "\nfirst token, p50 / p95 in ms")?;
    write!(Output, "{:<24}", "report")?;
    for class in &reports[0].summary.classes {
        write!(Output, " {:>17}", class.name)?;
    }
    writeln!(Output)?;
    for Report { name, summary } in reports {
        write!(Output, "{name:<24}")?;
        for class in &summary.classes {
            let times = class.first_token_ms;
            let text = match times.count {
                0 => "-".to_owned(),
                _ => format!("{:.1} / {:.1}", times.p50, times.p95),
            };
            write!(Output, " {text:>17}")?;
        }
        writeln!(Output)?;
    }
    Ok(())
}

fn print_workspaces(reports: &[Report]) -> io::Result<()> {
    writeln!(
        Output,
        "\ncompleted share of the tokens offered, by workspace"
    )?;
    for Report { name, summary } in reports {
        let shares = summary
            .workspaces
            .iter()
            .map(completed_share)
            .collect::<Vec<_>>();
        writeln!(Output, "{name:<24} {}", shares.join("  "))?;
    }
    Ok(())
}

fn print_phases(reports: &[Report]) -> io::Result<()> {
    let marked = |report: &&Report| !report.summary.marks.is_empty();
    for Report { name, summary } in reports.iter().filter(marked) {
        writeln!(
            Output,
            "\n{name}: phases, short prompts, ratio to the first phase"
        )?;
        let base = summary.phases[0].short_first_token_ms;
        for phase in &summary.phases {
            let times = phase.short_first_token_ms;
            writeln!(
                Output,
                "{:<28} refused {:>4} failed {:>4} lost {:>4}  p50 {:>7.1}  p95 {:>7.1}  ratio {:>6.3} {:>6.3}",
                phase.label,
                phase.counts.refused,
                phase.counts.failed,
                phase.counts.lost,
                times.p50,
                times.p95,
                times.p50 / base.p50,
                times.p95 / base.p95
            )?;
        }
    }
    Ok(())
}

fn completed_share(workspace: &Workspace) -> String {
    let offered = workspace.offered_tokens.max(1) as f64;
    let share = workspace.complete_tokens as f64 / offered * 100.0;
    format!("{} {share:.1}%", workspace.name)
}
