//! Draws plots as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::Plot;

/// The width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 540);
/// The margin around a plot in pixels.
const MARGIN: u32 = 12;
/// The space for the labels of an axis in pixels.
const LABEL_AREA: u32 = 48;

/// Draws a plot to an SVG file.
pub fn draw(plot: &Plot, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (width, height) = extent(plot);
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN)
        .caption(&plot.title, ("sans-serif", 18))
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA + MARGIN)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc(&plot.x_label)
        .y_desc(&plot.y_label)
        .draw()?;
    for (index, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// The upper ends of both axes: at least 1, with 5 % of headroom above the highest point.
fn extent(plot: &Plot) -> (f64, f64) {
    let points = plot.series.iter().flat_map(|series| &series.points);
    points.fold((1.0, 1.0), |(width, height): (f64, f64), (x, y)| {
        (width.max(*x), height.max(*y * 1.05))
    })
}
