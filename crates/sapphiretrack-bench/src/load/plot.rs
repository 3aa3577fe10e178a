//! Plots the quantiles of the time to the first token.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, WHITE,
};
use plotters::style::{BLACK, Color};

use crate::load::statistics::{ClassStatistics, Statistics};

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (900, 500);
/// Number of points per line.
const POINTS_PER_LINE: u32 = 400;

/// Writes the distribution of the time to the first token as an SVG file, with a line per class.
pub fn plot_svg(path: &Path, statistics: &Statistics) -> Result<(), String> {
    draw(path, statistics).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(path: &Path, statistics: &Statistics) -> Result<(), Box<dyn std::error::Error>> {
    let max_us = statistics
        .classes
        .iter()
        .map(|class| class.first_token_us.max());
    let max_ms = max_us.max().unwrap_or(0).max(10_000) as f64 / 1_000.0;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "time to the first token, from the scheduled arrival",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (0.5..max_ms).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("requests, %")
        .y_desc("ms")
        .draw()?;
    for (index, class) in statistics.classes.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                quantile_points(class),
                color.stroke_width(2),
            ))?
            .label(class.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn quantile_points(class: &ClassStatistics) -> Vec<(f64, f64)> {
    if class.first_token_us.is_empty() {
        return Vec::new();
    }
    (0..=POINTS_PER_LINE)
        .map(|point| {
            let quantile = f64::from(point) / f64::from(POINTS_PER_LINE);
            let us = class.first_token_us.value_at_quantile(quantile);
            (quantile * 100.0, us as f64 / 1_000.0)
        })
        .collect()
}
