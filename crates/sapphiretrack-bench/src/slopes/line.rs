//! The points of a measurement and the least-squares line through them.

use serde::{Deserialize, Serialize};

/// The mean resource usage of a router at one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size, in the unit of [`Slope::of`].
    pub size: f64,
    /// CPU time per second, in microseconds.
    pub cpu_us_per_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: f64,
    /// Reads of the platform's table and objects per second; reads of the list of VMs are not
    /// counted.
    pub platform_reads_per_s: f64,
    /// Writes to the platform per second.
    pub platform_writes_per_s: f64,
}

/// The growth of a router's resource usage with the size of one quantity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// Always `slope`.
    pub kind: String,
    /// The quantity that is varied: the name of the measure.
    pub of: String,
    /// Added CPU time per second for each unit, in microseconds.
    pub cpu_us_per_s: f64,
    /// Added resident memory for each unit, in bytes.
    pub memory_bytes: f64,
    /// Added platform reads per second for each unit.
    pub platform_reads_per_s: f64,
    /// Added platform writes per second for each unit.
    pub platform_writes_per_s: f64,
    /// The measured points.
    pub points: Vec<Point>,
}

/// The slopes of the least-squares lines through points; 0 if all points have one size.
pub fn fit(of: &str, points: Vec<Point>) -> Slope {
    let slope = |value: fn(&Point) -> f64| least_squares_slope(&points, value);
    Slope {
        kind: String::from("slope"),
        of: of.to_owned(),
        cpu_us_per_s: slope(|point| point.cpu_us_per_s),
        memory_bytes: slope(|point| point.memory_bytes),
        platform_reads_per_s: slope(|point| point.platform_reads_per_s),
        platform_writes_per_s: slope(|point| point.platform_writes_per_s),
        points,
    }
}

fn least_squares_slope(points: &[Point], value: fn(&Point) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(value).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for point in points {
        covariance += (point.size - mean_size) * (value(point) - mean_value);
        variance += (point.size - mean_size).powi(2);
    }
    if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    }
}
