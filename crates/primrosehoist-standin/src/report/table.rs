//! The printed table.

use crate::load::summary::Workspace;
use crate::report::Report;

/// Prints one line for each report, then first-token times by prompt length, then workspaces.
pub(crate) fn print(reports: &[Report]) {
    let base = reports[0].summary.short_first_token_ms;
    println!(
        "{:<28} {:>8} {:>8} {:>8} {:>6} {:>10} {:>10} {:>9} {:>9} {:>11}",
        "report",
        "offered",
        "complete",
        "refused",
        "lost",
        "short p50",
        "short p95",
        "p50 ratio",
        "p95 ratio",
        "tokens/s"
    );
    for Report { name, summary } in reports {
        let times = summary.short_first_token_ms;
        println!(
            "{name:<28} {:>8} {:>8} {:>8} {:>6} {:>10.1} {:>10.1} {:>9.3} {:>9.3} {:>11.0}",
            summary.counts.offered,
            summary.counts.complete,
            summary.counts.refused,
            summary.counts.lost,
            times.p50,
            times.p95,
            times.p50 / base.p50,
            times.p95 / base.p95,
            summary.goodput_tokens_per_s
        );
    }
    print_classes(reports);
    print_workspaces(reports);
}

fn print_classes(reports: &[Report]) {
    println!("\nfirst token, p50 / p95 in ms");
    print!("{:<28}", "report");
    for class in &reports[0].summary.classes {
        print!(" {:>17}", class.name);
    }
    println!();
    for Report { name, summary } in reports {
        print!("{name:<28}");
        for class in &summary.classes {
            let times = class.first_token_ms;
            let text = match times.count {
                0 => "-".to_owned(),
                _ => format!("{:.1} / {:.1}", times.p50, times.p95),
            };
            print!(" {text:>17}");
        }
        println!();
    }
}

fn print_workspaces(reports: &[Report]) {
    println!("\ncompleted share of the tokens offered, by workspace");
    for Report { name, summary } in reports {
        let served = summary.workspaces.iter().map(served).collect::<Vec<_>>();
        println!("{name:<28} {}", served.join("  "));
    }
}

fn served(workspace: &Workspace) -> String {
    let offered = workspace.offered_tokens.max(1) as f64;
    let share = workspace.complete_tokens as f64 / offered * 100.0;
    format!("{} {share:.1}%", workspace.name)
}
