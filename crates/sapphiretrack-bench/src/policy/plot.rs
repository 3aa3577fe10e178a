//! Plots cache reuse against load skew, and both over time.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::arguments::Options;
use super::{Measures, Policy, measure};

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

const SIZE: (u32, u32) = (1_200, 1_000);
const FONT: (&str, u32) = ("sans-serif", 16);

/// The results of one policy for all seeds.
struct PolicyRuns {
    policy: Policy,
    runs: Vec<Measures>,
}

/// The values of one policy over time.
struct Series {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Runs the selected policies for all seeds and writes the plot as an SVG file.
pub(crate) fn draw(options: &Options, path: &Path) -> Result<(), String> {
    let all: Vec<PolicyRuns> = options
        .policies()
        .into_iter()
        .map(|policy| PolicyRuns {
            policy,
            runs: options
                .seeds()
                .map(|seed| measure(&options.scenario, policy, seed))
                .collect(),
        })
        .collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let drawn = draw_panels(&root, options, &all);
    drawn.map_err(|error| format!("{}: cannot draw the plot: {error}", path.display()))
}

fn draw_panels(
    root: &Area<'_>,
    options: &Options,
    all: &[PolicyRuns],
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let panels = root.split_evenly((3, 1));
    let name = options.scenario.name.name();
    draw_scatter(&panels[0], name, all)?;
    let warm = time_series(all, |interval| interval.warm_token_fraction);
    draw_time_series(
        &panels[1],
        "warm tokens over time, first seed",
        0.0..1.0,
        &warm,
    )?;
    let skew = time_series(all, |interval| interval.skew);
    draw_time_series(&panels[2], "skew over time, first seed", 1.0..4.0, &skew)?;
    root.present()?;
    Ok(())
}

fn draw_scatter(
    area: &Area<'_>,
    name: &str,
    all: &[PolicyRuns],
) -> Result<(), Box<dyn std::error::Error>> {
    let caption = format!("{name}: warm tokens against skew, one point per seed");
    let mut chart = ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(1.0..4.0, 0.3..1.0)?;
    chart
        .configure_mesh()
        .x_desc("skew")
        .y_desc("warm")
        .draw()?;
    for (index, policy_runs) in all.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = policy_runs
            .runs
            .iter()
            .map(|run| (run.skew, run.warm_token_fraction));
        let dots = points.map(|point| Circle::new(point, 4, color.filled()));
        chart
            .draw_series(dots)?
            .label(policy_runs.policy.name())
            .legend(move |at| Circle::new(at, 4, color.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

fn draw_time_series(
    area: &Area<'_>,
    caption: &str,
    range: std::ops::Range<f64>,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let times = series
        .iter()
        .flat_map(|series| series.points.iter().map(|point| point.0));
    let end_s = times.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s, range)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), color))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new(vec![(x - 6, y), (x + 6, y)], color));
    }
    Ok(())
}

fn time_series<Value>(all: &[PolicyRuns], value: Value) -> Vec<Series>
where
    Value: Fn(&super::Interval) -> f64,
{
    let series = |policy_runs: &PolicyRuns| {
        let intervals = policy_runs
            .runs
            .first()
            .map_or(&[][..], |run| &run.intervals);
        // Skew has no samples until the servers have filled; its value is 0 there.
        let sampled = intervals.iter().filter(|interval| value(interval) > 0.0);
        Series {
            name: policy_runs.policy.name(),
            points: sampled
                .map(|interval| (interval.at_s, value(interval)))
                .collect(),
        }
    };
    all.iter().map(series).collect()
}
