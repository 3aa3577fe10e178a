//! Points of a measurement and the line through them.

use serde::{Deserialize, Serialize};

/// What a router spent at one size, as the mean over the routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size: of what, the slope says.
    pub size: f64,
    /// Processor time in a second.
    pub cpu_us_per_s: f64,
    /// Resident memory.
    pub memory_bytes: f64,
    /// Reads of the platform's table and objects in a second; those of the list of VMs come on top.
    pub platform_reads_per_s: f64,
    /// Writes of the platform in a second.
    pub platform_writes_per_s: f64,
}

/// What a router spends by the size of one thing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// Always `slope`.
    pub kind: String,
    /// What grows.
    pub of: String,
    /// Processor time in a second for one more.
    pub cpu_us_per_s: f64,
    /// Memory for one more.
    pub memory_bytes: f64,
    /// Platform reads in a second for one more.
    pub platform_reads_per_s: f64,
    /// Platform writes in a second for one more.
    pub platform_writes_per_s: f64,
    /// What was measured.
    pub points: Vec<Point>,
}

/// The slopes of the least-squares lines through points of at least two sizes.
pub fn fit(of: &str, points: Vec<Point>) -> Slope {
    let by = |value: fn(&Point) -> f64| slope_of(&points, value);
    Slope {
        kind: String::from("slope"),
        of: of.to_owned(),
        cpu_us_per_s: by(|point| point.cpu_us_per_s),
        memory_bytes: by(|point| point.memory_bytes),
        platform_reads_per_s: by(|point| point.platform_reads_per_s),
        platform_writes_per_s: by(|point| point.platform_writes_per_s),
        points,
    }
}

fn slope_of(points: &[Point], value: fn(&Point) -> f64) -> f64 {
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
