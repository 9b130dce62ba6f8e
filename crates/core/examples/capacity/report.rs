//! Output of the measurements.

use crate::meter::median;

/// Prints the heading of a section.
pub fn heading(text: &str) {
    println!("\n## {text}\n");
}

/// Prints the median of the values of one figure with their minimum and maximum.
pub fn line(name: &str, unit: &str, values: &[f64]) {
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let median_value = median(values.to_vec());
    println!("{name:<62} {median_value:>12.2} {unit:<10} [{min:.2}, {max:.2}]");
}
