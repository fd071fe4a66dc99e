//! Chart of latency against load.

use std::path::Path;

use plotters::prelude::*;

use siskinbend_routing::PolicyKind;

use super::Row;

/// Draws p99 time to first token against load, one line per policy.
///
/// # Errors
///
/// Returns a message if the file can't be written.
pub(super) fn draw(rows: &[Row], file: &Path) -> Result<(), String> {
    let explain = |e: &dyn std::fmt::Display| format!("can't write {}: {e}", file.display());
    let points = |policy: PolicyKind| {
        let steady = rows
            .iter()
            .filter(move |r| r.policy == policy && r.case.name == "steady");
        let seconds = |r: &Row| r.stats.first_token.value_at_quantile(0.99) as f64 / 1e6;
        steady
            .map(move |r| (f64::from(r.case.load), seconds(r)))
            .collect::<Vec<_>>()
    };
    let area = SVGBackend::new(file, (800, 500)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| explain(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(15)
        .caption(
            "p99 time to first token in s against load in % of capacity",
            ("sans-serif", 18),
        )
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(40.0..140.0, (0.1..20.0).log_scale())
        .map_err(|e| explain(&e))?;
    chart.configure_mesh().draw().map_err(|e| explain(&e))?;
    for (at, policy) in PolicyKind::ALL.into_iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(points(policy), color.stroke_width(2)))
            .map_err(|e| explain(&e))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .draw()
        .map_err(|e| explain(&e))?;
    area.present().map_err(|e| explain(&e))
}
