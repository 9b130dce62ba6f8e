//! Tables of text.

use std::time::{Duration, UNIX_EPOCH};

use comfy_table::{CellAlignment, Table, presets};

/// A table without lines. The columns from `first_number` on are aligned to the right.
pub(crate) fn table_text(header: &[String], rows: &[Vec<String>], first_number: usize) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header);
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
        if column.index >= first_number {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.trim_fmt()
}

/// A time in UTC.
pub(crate) fn time_text(unix_s: u64) -> String {
    // Year 9999, the last that the format has.
    const LAST_UNIX_S: u64 = 253_402_300_799;
    let time = UNIX_EPOCH + Duration::from_secs(unix_s.min(LAST_UNIX_S));
    humantime::format_rfc3339_seconds(time).to_string()
}
