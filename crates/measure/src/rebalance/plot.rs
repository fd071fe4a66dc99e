//! Draws skew against bytes.

use std::error::Error;
use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::Color;

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (800, 500);
/// Least value on the axis of MiB, whose scale is logarithmic and has no zero.
const LEAST_MIB: f64 = 1.0;

/// A policy on a trace.
pub struct Point {
    /// Name of the policy.
    pub policy: &'static str,
    /// Bytes loaded.
    pub bytes: u64,
    /// Mean skew.
    pub skew: f64,
}

/// Writes an SVG file with one series a policy.
///
/// # Errors
///
/// Returns the error of the file or the drawing.
pub fn draw(path: &Path, points: &[Point]) -> Result<(), Box<dyn Error>> {
    let mib = |p: &Point| (p.bytes as f64 / f64::from(1u32 << 20)).max(LEAST_MIB);
    let right = points.iter().map(mib).fold(LEAST_MIB, f64::max) * 2.0;
    let top = points.iter().map(|p| p.skew).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d((LEAST_MIB..right).log_scale(), 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("loaded (MiB, 1 for none)")
        .y_desc("mean step-time skew")
        .draw()?;
    let mut names: Vec<&str> = points.iter().map(|p| p.policy).collect();
    names.sort_unstable();
    names.dedup();
    for (index, name) in names.into_iter().enumerate() {
        let style = Palette99::pick(index).filled();
        let own = points.iter().filter(|p| p.policy == name);
        chart
            .draw_series(own.map(|p| Circle::new((mib(p), p.skew), 4, style)))?
            .label(name)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
