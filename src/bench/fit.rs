//! Least-squares fit of a line through measured points.

/// A fitted line and its largest relative error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at x = 0.
    pub intercept: f64,
    /// Increase per unit of x.
    pub slope: f64,
    /// Largest deviation of a point from the line, relative to the largest absolute value.
    pub max_relative_error: f64,
}

/// Fits a line through at least two points.
///
/// ```
/// use goldcrestpitch::bench::fit_line;
/// let line = fit_line(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 1.0).abs() < 1e-9);
/// ```
pub fn fit_line(points: &[(f64, f64)]) -> LineFit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let max_deviation =
        points.iter().map(|p| (p.1 - intercept - slope * p.0).abs()).fold(0.0, f64::max);
    LineFit { intercept, slope, max_relative_error: max_deviation / largest }
}
