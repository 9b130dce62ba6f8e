//! Charts.

use plotters::prelude::*;

use super::burn_summary::duration_text;
use super::{BurnSummary, RankSummary};

const WIDTH: u32 = 900;
const ROW_HEIGHT: u32 = 60;
const MARGIN: u32 = 100;

/// Shades of the bars, the shortest window first; further windows have the last one.
const SHADES: [RGBColor; 2] = [RGBColor(196, 78, 82), RGBColor(76, 114, 176)];

/// An SVG chart of the burn rates: a bar for each rank and window, and a line at rate 1, where a
/// budget is spent exactly.
///
/// # Errors
///
/// The chart could not be drawn.
pub fn burn_svg(summary: &BurnSummary) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, summary).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(svg: &mut String, summary: &BurnSummary) -> Result<(), Box<dyn std::error::Error>> {
    let ranks: Vec<_> = summary.ranks().collect();
    let windows_s = summary.windows_s();
    let rows = u32::try_from(ranks.len().max(1))?;
    let rates = ranks.iter().flat_map(|(_, rank)| &rank.burn_rates);
    let highest = rates.fold(1.0f64, |highest, rate| highest.max(rate.burn_rate));
    let area = SVGBackend::with_string(svg, (WIDTH, MARGIN + ROW_HEIGHT * rows));
    let area = area.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate of the error budgets (1 = spent exactly)", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(220)
        .build_cartesian_2d(0.0..highest * 1.25, f64::from(rows)..0.0)?;
    chart.configure_mesh().disable_y_mesh().disable_y_axis().max_light_lines(1).draw()?;
    for (y, (service, rank)) in (0u32..).map(f64::from).zip(&ranks) {
        let (_, base) = chart.backend_coord(&(0.0, y + 0.5));
        let name = format!("{service}/{}", rank.rank);
        area.draw(&Text::new(name, (15, base - 8), ("sans-serif", 14)))?;
        chart.draw_series(bars(rank, &windows_s, y))?;
        chart.draw_series(labels(rank, &windows_s, y))?;
    }
    let line = [(1.0, 0.0), (1.0, f64::from(rows))];
    chart.draw_series([PathElement::new(line, BLACK.stroke_width(2))])?;
    area.present()?;
    Ok(())
}

/// Top and bottom of the bar of a window in the row that starts at `y`.
fn bar_rows(windows_s: &[u64], window_s: u64, y: f64) -> (f64, f64) {
    let count = u32::try_from(windows_s.len().max(1)).map_or(1.0, f64::from);
    let index = windows_s.iter().position(|window| *window == window_s).unwrap_or(0);
    let top = y + 0.1 + 0.8 * u32::try_from(index).map_or(0.0, f64::from) / count;
    (top, top + 0.8 / count)
}

fn bars(rank: &RankSummary, windows_s: &[u64], y: f64) -> Vec<Rectangle<(f64, f64)>> {
    let rates = rank.burn_rates.iter();
    rates
        .map(|rate| {
            let (top, bottom) = bar_rows(windows_s, rate.window_s, y);
            let index = windows_s.iter().position(|window| *window == rate.window_s);
            let shade = SHADES[index.unwrap_or(0).min(SHADES.len() - 1)];
            Rectangle::new([(0.0, top), (rate.burn_rate, bottom)], shade.filled())
        })
        .collect()
}

fn labels(rank: &RankSummary, windows_s: &[u64], y: f64) -> Vec<Text<'static, (f64, f64), String>> {
    let rates = rank.burn_rates.iter();
    rates
        .map(|rate| {
            let (top, _) = bar_rows(windows_s, rate.window_s, y);
            let text = format!("{:.2} over {}", rate.burn_rate, duration_text(rate.window_s));
            Text::new(text, (rate.burn_rate, top), ("sans-serif", 12).into_font())
        })
        .collect()
}
