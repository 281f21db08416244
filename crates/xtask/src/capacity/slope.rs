/// A quantity measured at several sizes, and so a row of the page's table.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What is measured, with its unit.
    pub quantity: &'static str,
    /// Modules that cause the cost.
    pub mechanism: &'static str,
    /// What the size is a number of, such as leafs.
    pub size: &'static str,
    /// Pairs of size and value, at least three.
    pub points: Vec<(f64, f64)>,
}

/// Straight line through the points of a slope.
#[derive(Debug, Clone, Copy)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Root mean square of the residuals, divided by the mean value.
    pub relative_error: f64,
}

impl Slope {
    /// Fits a line by least squares.
    #[must_use]
    pub fn fit(&self) -> Fit {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let residuals = self
            .points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2));
        let deviation = (residuals.sum::<f64>() / count).sqrt();
        Fit {
            base,
            slope,
            relative_error: if mean_y == 0.0 {
                0.0
            } else {
                deviation / mean_y.abs()
            },
        }
    }
}
