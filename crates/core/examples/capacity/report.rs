//! Output.

use crate::meter::median;

/// Prints the heading of a part.
pub fn heading(text: &str) {
    println!("\n## {text}\n");
}

/// Prints one figure with the range of its runs.
pub fn line(name: &str, unit: &str, values: &[f64]) {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let middle = median(values.to_vec());
    println!("{name:<62} {middle:>12.2} {unit:<10} [{least:.2}, {greatest:.2}]");
}
