//! SVG plots.

use std::ops::Range;
use std::path::Path;

use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::drawing::IntoDrawingArea;
use plotters::element::{Circle, PathElement, Text};
use plotters::prelude::{BLACK, IntoLogRange, RGBColor, SVGBackend, WHITE};
use plotters::series::LineSeries;
use plotters::style::Color;

use crate::load::summary::{Mark, Quantiles};
use crate::report::Report;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// The width and height of a plot, in pixels.
const SIZE: (u32, u32) = (960, 540);
/// The margin around a plot, in pixels.
const MARGIN: u32 = 14;
/// The space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 56;
/// The lower end of the logarithmic time axis, in milliseconds.
const TIME_MIN_MS: f64 = 1.0;
/// The font of titles.
const TITLE_FONT: (&str, i32) = ("sans-serif", 18);
/// The font of marks.
const MARK_FONT: (&str, i32) = ("sans-serif", 13);
/// The colours of the lines, used in rotation.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// A line through points of (x position, milliseconds).
struct Line {
    label: String,
    points: Vec<(f64, f64)>,
}

/// The contents of a plot.
struct Plot<'r> {
    title: &'static str,
    axis: &'static str,
    positions: Range<f64>,
    /// The labels of the x positions 0, 1 and so on; empty if the axis is numeric.
    names: Vec<&'r str>,
    lines: Vec<Line>,
    marks: &'r [Mark],
}

/// Draws the 95th percentile of first-token times by prompt length class.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub(crate) fn by_length(reports: &[Report], path: &Path) -> Result<(), Failure> {
    let classes = &reports[0].summary.classes;
    let lines = reports.iter().map(|report| {
        let classes = report.summary.classes.iter().enumerate();
        line(
            report,
            classes.map(|(index, c)| (index as f64, c.first_token_ms)),
        )
    });
    let plot = Plot {
        title: "p95 of the time to the first token, by prompt length",
        axis: "tokens of the prompt",
        positions: -0.5..classes.len() as f64 - 0.5,
        names: classes.iter().map(|class| class.name.as_str()).collect(),
        lines: lines.collect(),
        marks: &[],
    };
    plot.draw(path)
}

/// Draws the 95th percentile of first-token times of short prompts over time.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub(crate) fn over_time(reports: &[Report], path: &Path) -> Result<(), Failure> {
    let lines = reports.iter().map(|report| {
        let seconds = report.summary.series.iter();
        line(
            report,
            seconds.map(|s| (s.at_s as f64, s.short_first_token_ms)),
        )
    });
    let ends = reports.iter().map(|report| report.summary.duration_s);
    let marked = reports
        .iter()
        .find(|report| !report.summary.marks.is_empty());
    let plot = Plot {
        title: "p95 of the time to the first token of short prompts, over time",
        axis: "seconds",
        positions: 0.0..ends.fold(1.0, f64::max),
        names: Vec::new(),
        lines: lines.collect(),
        marks: marked.map_or(&[], |report| &report.summary.marks),
    };
    plot.draw(path)
}

fn line<Points>(report: &Report, points: Points) -> Line
where
    Points: Iterator<Item = (f64, Quantiles)>,
{
    let known = points.filter(|(_, times)| times.count > 0);
    Line {
        label: report.name.clone(),
        points: known
            .map(|(position, times)| (position, times.p95.max(TIME_MIN_MS)))
            .collect(),
    }
}

impl Plot<'_> {
    fn time_max_ms(&self) -> f64 {
        let points = self.lines.iter().flat_map(|line| &line.points);
        points
            .map(|point| point.1)
            .fold(TIME_MIN_MS * 10.0, f64::max)
            * 2.0
    }

    fn position_label(&self, position: f64) -> String {
        if self.names.is_empty() {
            return position.to_string();
        }
        let index = position.round();
        let is_class = index >= 0.0 && (position - index).abs() < 0.01;
        let name = self.names.get(index as usize).filter(|_| is_class);
        name.map_or_else(String::new, |name| (*name).to_owned())
    }

    fn draw(&self, path: &Path) -> Result<(), Failure> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let time_max_ms = self.time_max_ms();
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, TITLE_FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(
                self.positions.clone(),
                (TIME_MIN_MS..time_max_ms).log_scale(),
            )?;
        chart
            .configure_mesh()
            .x_desc(self.axis)
            .y_desc("milliseconds")
            .x_labels(if self.names.is_empty() {
                12
            } else {
                self.names.len() * 2 + 1
            })
            .x_label_formatter(&|position| self.position_label(*position))
            .draw()?;
        for mark in self.marks {
            let ends = vec![(mark.at_s, TIME_MIN_MS), (mark.at_s, time_max_ms)];
            chart.draw_series([PathElement::new(ends, BLACK.mix(0.5))])?;
            let top = (mark.at_s, time_max_ms * 0.9);
            chart.draw_series([Text::new(mark.label.clone(), top, MARK_FONT)])?;
        }
        for (line, colour) in self.lines.iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(series)?
                .label(&line.label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
            let dots = line.points.iter();
            chart.draw_series(dots.map(|point| Circle::new(*point, 3, colour.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
