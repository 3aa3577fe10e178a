//! Plot of a day's lost credit and of the causes that routers logged, over time.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, Rectangle,
    SVGBackend, SeriesLabelPosition, WHITE,
};
use plotters::style::{BLACK, Color, RGBColor};

use crate::log_causes::{LoggedFailure, count_causes};
use crate::loss::Loss;

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (1_000, 600);
/// Number of causes that are plotted, the most frequent ones.
const PLOTTED_CAUSES: usize = 5;
const LOSS_COLOR: RGBColor = RGBColor(200, 200, 200);

/// Writes the plot as SVG, without failures that are final. The error message names the file.
pub fn plot_loss(path: &Path, loss: &Loss, failures: &[LoggedFailure]) -> Result<(), String> {
    draw(path, loss, failures).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(
    path: &Path,
    loss: &Loss,
    failures: &[LoggedFailure],
) -> Result<(), Box<dyn std::error::Error>> {
    let starts: Vec<f64> = loss.by_window.iter().map(|(start_s, _)| *start_s).collect();
    let width_s = starts.windows(2).map(|pair| pair[1] - pair[0]).next();
    let width_s = width_s.unwrap_or(1.0).max(0.1);
    let end_s = starts.last().map_or(width_s, |last| last + width_s);
    let credits = loss.by_window.iter().map(|(_, part)| part.credit);
    let max_percent = credits.fold(f64::MIN_POSITIVE, f64::max) * 100.0;
    let failures: Vec<LoggedFailure> = failures
        .iter()
        .filter(|failure| !failure.is_final)
        .cloned()
        .collect();
    let lines: Vec<(String, Vec<(f64, f64)>)> = count_causes(&failures)
        .into_iter()
        .take(PLOTTED_CAUSES)
        .map(|(cause, ..)| {
            let points = starts.iter().map(|start_s| {
                let count = failures.iter().filter(|failure| {
                    failure.cause == cause && (*start_s..start_s + width_s).contains(&failure.at_s)
                });
                (start_s + width_s / 2.0, count.count() as f64 / width_s)
            });
            (cause.clone(), points.collect())
        })
        .collect();
    let counts = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, y)| *y));
    let max_per_s = counts.fold(1.0, f64::max);

    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("lost credit over time", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .right_y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0.0..max_percent * 1.05)?
        .set_secondary_coord(0.0..end_s, 0.0..max_per_s * 1.05);
    chart
        .configure_mesh()
        .x_desc("seconds from the start of traffic")
        .y_desc("% of the day's credit")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("log lines per second")
        .draw()?;
    chart
        .draw_series(loss.by_window.iter().map(|(start_s, part)| {
            let corner = (start_s + width_s, part.credit * 100.0);
            Rectangle::new([(*start_s, 0.0), corner], LOSS_COLOR.filled())
        }))?
        .label("lost credit")
        .legend(|(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], LOSS_COLOR.filled()));
    for (index, (cause, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_secondary_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(cause)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
