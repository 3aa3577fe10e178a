//! Draws reuse against skew, and both over time.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::arguments::Options;
use super::{Measures, Policy, measure};

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

const SIZE: (u32, u32) = (1_200, 1_000);
const FONT: (&str, u32) = ("sans-serif", 16);

/// One policy's figures over all seeds.
struct Runs {
    policy: Policy,
    runs: Vec<Measures>,
}

/// A line of a panel over time.
struct Line {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Draws the plot of the options' scenario and seeds.
pub(crate) fn draw(options: &Options, path: &Path) -> Result<(), String> {
    let all: Vec<Runs> = options
        .policies()
        .into_iter()
        .map(|policy| Runs {
            policy,
            runs: options
                .seeds()
                .map(|seed| measure(&options.scenario, policy, seed))
                .collect(),
        })
        .collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let drawn = draw_panels(&root, options, &all);
    drawn.map_err(|error| format!("{}: cannot be drawn: {error}", path.display()))
}

fn draw_panels(
    root: &Area<'_>,
    options: &Options,
    all: &[Runs],
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let panels = root.split_evenly((3, 1));
    let name = options.scenario.name.name();
    draw_scatter(&panels[0], name, all)?;
    let warm = lines(all, |moment| moment.warm_token_fraction);
    draw_lines(
        &panels[1],
        "warm tokens over time, first seed",
        0.0..1.0,
        &warm,
    )?;
    let skew = lines(all, |moment| moment.skew);
    draw_lines(&panels[2], "skew over time, first seed", 1.0..4.0, &skew)?;
    root.present()?;
    Ok(())
}

fn draw_scatter(
    area: &Area<'_>,
    name: &str,
    all: &[Runs],
) -> Result<(), Box<dyn std::error::Error>> {
    let caption = format!("{name}: warm tokens against skew, one point a seed");
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
    for (index, one) in all.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = one
            .runs
            .iter()
            .map(|run| (run.skew, run.warm_token_fraction));
        let dots = points.map(|point| Circle::new(point, 4, color.filled()));
        chart
            .draw_series(dots)?
            .label(one.policy.name())
            .legend(move |at| Circle::new(at, 4, color.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

fn draw_lines(
    area: &Area<'_>,
    caption: &str,
    range: std::ops::Range<f64>,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let times = lines
        .iter()
        .flat_map(|line| line.points.iter().map(|point| point.0));
    let end_s = times.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, FONT)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s, range)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x - 6, y), (x + 6, y)], color));
    }
    Ok(())
}

fn lines<Value>(all: &[Runs], value: Value) -> Vec<Line>
where
    Value: Fn(&super::Moment) -> f64,
{
    let line = |one: &Runs| {
        let moments = one.runs.first().map_or(&[][..], |run| &run.moments);
        // Skew is only sampled once the servers have filled.
        let known = moments.iter().filter(|moment| value(moment) > 0.0);
        Line {
            name: one.policy.name(),
            points: known.map(|moment| (moment.at_s, value(moment))).collect(),
        }
    };
    all.iter().map(line).collect()
}
