//! Report of an experiment as a table, a CSV file and a plot.

use std::fmt;
use std::path::Path;

use anyhow::{Result, anyhow};
use hdrhistogram::Histogram;
use plantainquay_trace::RelayOutcome;
use plotters::prelude::*;

use crate::experiments::Experiment;

const PLOT_SIZE: (u32, u32) = (900, 700);
const CSV_HEADER: &str =
    "rate,policy,offered,in_target,answered,reset,given_up,p50_ms,p90_ms,p99_ms,max_ms";
/// Upper bound of the response time histogram, and its precision in decimal digits.
const MAX_LATENCY_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one policy at one rate.
pub(crate) struct Point {
    rate: f64,
    policy: &'static str,
    in_target: u64,
    reset: u64,
    timeouts: u64,
    /// Response times in milliseconds since the scheduled opening of the flow.
    latencies: Histogram<u64>,
}

/// Results of all rates and policies of an experiment.
pub(crate) struct Report {
    description: &'static str,
    policies: [&'static str; 2],
    points: Vec<Point>,
}

impl Point {
    pub(crate) fn new(rate: f64, policy: &'static str) -> Result<Self> {
        Ok(Self {
            rate,
            policy,
            in_target: 0,
            reset: 0,
            timeouts: 0,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)?,
        })
    }

    pub(crate) fn add(&mut self, outcome: RelayOutcome, target_ms: u64) -> Result<()> {
        match outcome {
            RelayOutcome::Answered(latency_ms) => {
                self.latencies.record(latency_ms.max(1))?;
                self.in_target += u64::from(latency_ms <= target_ms);
            }
            RelayOutcome::Reset => self.reset += 1,
            RelayOutcome::TimedOut => self.timeouts += 1,
        }
        Ok(())
    }

    fn offered(&self) -> u64 {
        self.latencies.len() + self.reset + self.timeouts
    }

    fn percentile(&self, percent: f64) -> u64 {
        self.latencies.value_at_percentile(percent)
    }

    /// Returns the share of requests that were answered within the target.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    fn share_in_target(&self) -> f64 {
        self.in_target as f64 / self.offered().max(1) as f64
    }
}

impl Report {
    pub(crate) fn new(experiment: &Experiment) -> Self {
        Self {
            description: experiment.description,
            policies: [0, 1].map(|i: usize| experiment.policies[i].name),
            points: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, point: Point) {
        self.points.push(point);
    }

    /// Writes `NAME.csv` and `NAME.svg` into `folder`.
    pub(crate) fn write(&self, folder: &Path, name: &str) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        let lines = self.points.iter().map(|point| {
            format!(
                "{},{},{},{},{},{},{},{},{},{},{}",
                point.rate,
                point.policy,
                point.offered(),
                point.in_target,
                point.latencies.len(),
                point.reset,
                point.timeouts,
                point.percentile(50.0),
                point.percentile(90.0),
                point.percentile(99.0),
                point.latencies.max()
            )
        });
        let csv: Vec<String> = std::iter::once(CSV_HEADER.to_owned())
            .chain(lines)
            .collect();
        let csv = csv.join("\n") + "\n";
        std::fs::write(folder.join(format!("{name}.csv")), csv)?;
        self.plot(&folder.join(format!("{name}.svg")))
            .map_err(|error| anyhow!("plot: {error}"))
    }

    fn plot(&self, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let root = root.titled(self.description, ("sans-serif", 18))?;
        let [upper, lower] = <[_; 2]>::try_from(root.split_evenly((2, 1)))
            .map_err(|_areas| "plot area was not split in two")?;
        self.chart(
            &upper,
            "share of offered requests answered within target",
            1.0,
            Point::share_in_target,
        )?;
        let max_p99 = self.points.iter().map(|p| p.percentile(99.0)).max();
        let max_y = to_f64(max_p99.unwrap_or(1).max(1));
        self.chart(&lower, "response time p99, ms", max_y, |point| {
            to_f64(point.percentile(99.0))
        })?;
        root.present()?;
        Ok(())
    }

    fn chart(
        &self,
        area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
        caption: &str,
        max_y: f64,
        value: impl Fn(&Point) -> f64,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let rates = self.points.iter().map(|point| point.rate);
        let max_rate = rates.fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 14))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..max_rate, 0.0..max_y * 1.05)?;
        chart.configure_mesh().x_desc("flows per second").draw()?;
        for (policy, color) in self.policies.into_iter().zip([&RED, &BLUE]) {
            let points = self.points.iter().filter(|point| point.policy == policy);
            let line = points.map(|point| (point.rate, value(point)));
            chart
                .draw_series(LineSeries::new(line, color))?
                .label(policy)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        Ok(())
    }
}

#[expect(clippy::cast_precision_loss, reason = "times stay far below 2^52")]
fn to_f64(ms: u64) -> f64 {
    ms as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.description)?;
        writeln!(
            f,
            "{:>6}  {:<20} {:>8} {:>9} {:>6} {:>8} {:>6} {:>6} {:>6}",
            "rate", "policy", "offered", "in target", "reset", "given up", "p50", "p99", "max"
        )?;
        for point in &self.points {
            writeln!(
                f,
                "{:>6}  {:<20} {:>8} {:>9.3} {:>6} {:>8} {:>6} {:>6} {:>6}",
                point.rate,
                point.policy,
                point.offered(),
                point.share_in_target(),
                point.reset,
                point.timeouts,
                point.percentile(50.0),
                point.percentile(99.0),
                point.latencies.max()
            )?;
        }
        Ok(())
    }
}
