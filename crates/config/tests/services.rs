//! Tests of parsing and formatting service files.

use flamingorock_config::{parse_services, services_text};

const FULL: &str = include_str!("valid/services_full.ini");
const MINIMAL: &str = include_str!("valid/services_minimal.ini");

/// Guards against a key that is parsed into the wrong field or with the wrong unit.
#[test]
fn reads_every_key() {
    insta::assert_debug_snapshot!(parse_services(FULL, "full.ini", 7).expect("the text is valid"));
}

/// Guards against a default that differs from the documented one.
#[test]
fn fills_in_defaults() {
    let configuration = parse_services(MINIMAL, "minimal.ini", 1).expect("the text is valid");
    insta::assert_snapshot!(services_text(&configuration));
}

/// Guards against a canonical text that loses a key or changes a number.
#[test]
fn canonical_text_reads_back() {
    for text in [FULL, MINIMAL] {
        let configuration = parse_services(text, "a.ini", 3).expect("the text is valid");
        let canonical = services_text(&configuration);
        assert_eq!(parse_services(&canonical, "b.ini", 3).as_ref(), Ok(&configuration));
    }
}

/// Guards against a rounding error in `target_percent`, which is stored as a fraction and printed
/// as a percentage.
#[test]
fn every_target_percent_reads_back() {
    for ten_thousandths in 1..1_000_000u32 {
        if ten_thousandths % 997 != 0 {
            continue;
        }
        let percent = format!("{}.{:04}", ten_thousandths / 10_000, ten_thousandths % 10_000);
        let text = MINIMAL.replace("target_percent = 99", &format!("target_percent = {percent}"));
        let configuration = parse_services(&text, "a.ini", 1).expect("the text is valid");
        let canonical = services_text(&configuration);
        assert_eq!(parse_services(&canonical, "b.ini", 1).as_ref(), Ok(&configuration));
    }
}

/// Guards against instances that change their identity when their sections are reordered.
#[test]
fn order_of_instances_does_not_matter() {
    let sections: Vec<&str> = MINIMAL.split("\n\n").map(str::trim_end).collect();
    let (head, instances) = sections.split_at(sections.len() - 3);
    let mut moved: Vec<&str> = instances.to_vec();
    moved.reverse();
    let moved = [head, &moved].concat().join("\n\n");
    assert_ne!(moved, MINIMAL);
    assert_eq!(parse_services(&moved, "a.ini", 1), parse_services(MINIMAL, "a.ini", 1));
}

/// Guards against accepting a file that is too large for a value in the store.
#[test]
fn oversized_text_is_an_error() {
    let text = format!("{MINIMAL}\n;{}", "x".repeat(512 * 1024));
    let errors = parse_services(&text, "large.ini", 1).expect_err("the text is too long");
    assert_eq!(errors.0.len(), 1, "{errors}");
    assert_eq!(errors.0[0].allowed, "at most 524288 bytes");
}

/// Guards against two databases with the same `DatabaseId`. The two names have the same FNV-1a
/// hash.
#[test]
fn colliding_names_are_an_error() {
    let text =
        format!("{MINIMAL}\n[database costarring]\nservice = s\n[database liquid]\nservice = s\n");
    let errors = parse_services(&text, "collision.ini", 1).expect_err("the names collide");
    insta::assert_snapshot!(errors);
}

/// Guards against failing on CRLF line breaks or a byte order mark.
#[test]
fn carriage_returns_and_byte_order_mark_are_read() {
    let text = format!("\u{feff}{}", FULL.replace('\n', "\r\n"));
    assert_eq!(parse_services(&text, "a.ini", 1), parse_services(FULL, "a.ini", 1));
}
