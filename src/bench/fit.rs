//! A least-squares line through measured points.

/// A fitted line with its largest relative error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub base: f64,
    /// Increase for each unit.
    pub slope: f64,
    /// Largest deviation of a point from the line, as a share of the largest value.
    pub error: f64,
}

/// Fits a line through at least two points.
///
/// ```
/// use goldcrestpitch::bench::fit;
/// let line = fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 1.0).abs() < 1e-9);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let base = mean_y - slope * mean_x;
    let largest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let off = points.iter().map(|p| (p.1 - base - slope * p.0).abs()).fold(0.0, f64::max);
    Fit { base, slope, error: off / largest }
}
