//! Report of the measurements as a table, a CSV file and a plot.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

const PLOT_SIZE: (u32, u32) = (900, 600);

/// Measured values of all metrics.
#[derive(Debug, Default)]
pub(crate) struct Report {
    rows: Vec<Row>,
}

#[derive(Debug)]
struct Row {
    metric: &'static str,
    count: u32,
    unit: &'static str,
    value: f64,
}

impl Report {
    /// Adds the value that a metric has at `count`.
    pub(crate) fn add(&mut self, metric: &'static str, count: u32, unit: &'static str, value: f64) {
        self.rows.push(Row {
            metric,
            count,
            unit,
            value,
        });
    }

    /// Writes `slopes.csv` and `slopes.svg` into `folder`.
    pub(crate) fn write(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        let lines = self.rows.iter().map(|row| {
            format!(
                "{},{},{:.3},{}",
                row.metric.replace(',', ";"),
                row.count,
                row.value,
                row.unit
            )
        });
        let csv: Vec<String> = std::iter::once("what,count,value,unit".to_owned())
            .chain(lines)
            .collect();
        std::fs::write(folder.join("slopes.csv"), csv.join("\n") + "\n")?;
        self.plot(&folder.join("slopes.svg"))
            .map_err(|error| anyhow!("plot: {error}"))
    }

    /// Plots with logarithmic axes, so that slope one means a cost proportional to the count.
    fn plot(&self, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("Cost by count (units in the legend)", ("sans-serif", 20))
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d((100_f64..1e6).log_scale(), (0.1_f64..1e5).log_scale())?;
        chart.configure_mesh().x_desc("count").draw()?;
        for (index, (metric, points)) in self.series().into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let line = LineSeries::new(points, color.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color);
            chart.draw_series(line)?.label(metric).legend(legend);
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        root.present()?;
        Ok(())
    }

    /// Returns the points of each metric that was measured at several counts.
    fn series(&self) -> Vec<(String, Vec<(f64, f64)>)> {
        let mut series: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
        let mut units = BTreeMap::new();
        for row in &self.rows {
            let point = (f64::from(row.count), row.value.max(0.1));
            series.entry(row.metric).or_default().push(point);
            units.insert(row.metric, row.unit);
        }
        let multi_point = series.into_iter().filter(|(_, points)| points.len() > 1);
        multi_point
            .map(|(metric, points)| (format!("{metric} ({})", units[metric]), points))
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(
                f,
                "{:<32} {:>8} {:>12.2} {}",
                row.metric, row.count, row.value, row.unit
            )?;
        }
        Ok(())
    }
}
