//! Least-squares line through measured points.

/// A line with its quality.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Change of the value for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Share of the variance that the line explains, 1 for a perfect line.
    pub quality: f64,
}

/// Fits a line through points of size and value.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    #[expect(clippy::cast_precision_loss, reason = "there are few points")]
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (size, value) = (mean(|p| p.0), mean(|p| p.1));
    let cross: f64 = points.iter().map(|p| (p.0 - size) * (p.1 - value)).sum();
    let spread: f64 = points.iter().map(|p| (p.0 - size).powi(2)).sum();
    let total: f64 = points.iter().map(|p| (p.1 - value).powi(2)).sum();
    let slope = if spread > 0.0 { cross / spread } else { 0.0 };
    let intercept = value - slope * size;
    let rest: f64 = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).powi(2))
        .sum();
    let quality = if total > 0.0 { 1.0 - rest / total } else { 1.0 };
    Fit {
        slope,
        intercept,
        quality,
    }
}
