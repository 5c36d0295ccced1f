//! The report of a day.

use std::io;
use std::path::Path;

use serde_json::{Value, json};

use crate::day::schedule::{Schedule, Size};
use crate::day::traffic::{Outcomes, Tally};
use crate::day::verdict::{Finding, Record};
use crate::output;

/// Writes the report to a file and a summary to standard output.
///
/// # Errors
///
/// Fails if one of them cannot be written.
pub(crate) fn write(
    path: &Path,
    (seed, size): (u64, Size),
    schedule: &Schedule,
    (record, tally): (&Record, &Tally),
    findings: &[Finding],
) -> io::Result<()> {
    let mut total = Outcomes::default();
    for outcomes in tally.outcomes.values() {
        total.served += outcomes.served;
        total.refused += outcomes.refused;
        total.failed += outcomes.failed;
        total.unreachable += outcomes.unreachable;
    }
    let peak_kib = record.samples.iter().map(|sample| sample.peak_kib).max();
    let own = record.ends.iter().filter(|end| end.is_by_itself());
    let ends = record.ends.iter().map(|end| {
        let mut value = json!(end);
        value["by_itself"] = Value::Bool(end.is_by_itself());
        value
    });
    let outcomes = tally.outcomes.iter().map(|((zone, kind), outcomes)| {
        let mut value = json!(outcomes);
        value["zone"] = json!(zone);
        value["kind"] = json!(kind);
        value
    });
    let report = json!({
        "seed": seed, "seconds": size.seconds, "hosts": size.hosts, "schedule": schedule,
        "findings": findings, "total": total, "peak_kib": peak_kib,
        "ends": ends.collect::<Vec<_>>(), "outcomes": outcomes.collect::<Vec<_>>(),
        "by_second": record.seconds, "samples": record.samples,
    });
    std::fs::write(path, report.to_string())?;
    output::print(format_args!(
        "day: seed={seed} seconds={} hosts={} troubles={} ends={} by_itself={} overdue={} served={} refused={} \
         failed={} unreachable={} peak_kib={} findings={}\n",
        size.seconds,
        size.hosts,
        schedule.troubles.len(),
        record.ends.len(),
        own.count(),
        record.overdue.len(),
        total.served,
        total.refused,
        total.failed,
        total.unreachable,
        peak_kib.unwrap_or(0),
        findings.len()
    ))?;
    for finding in findings {
        output::print(format_args!("{}\n", json!(finding)))?;
    }
    output::print(format_args!("report: {}\n", path.display()))
}
