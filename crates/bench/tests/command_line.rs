//! Errors of the command line.

use clap::Parser;
use flamingorock_bench::Arguments;

/// Guards against accepting a value outside the bounds of a run, and against an error that does not
/// say what is allowed.
#[test]
fn values_out_of_bounds_are_refused() {
    let mut errors = Vec::new();
    for arguments in [
        ["--callers", "1,9000"],
        ["--callers", ""],
        ["--idle-callers", "0"],
        ["--load-ms", "60001"],
        ["--idle-ms", "1"],
        ["--statements", "7"],
        ["--durability", "all"],
    ] {
        let parsed = Arguments::try_parse_from([&["flamingorock-bench"], &arguments[..]].concat());
        let error = parsed.expect_err("the value is out of bounds").to_string();
        errors.push(error.lines().next().unwrap_or_default().to_owned());
    }
    insta::assert_snapshot!(errors.join("\n"));
}
