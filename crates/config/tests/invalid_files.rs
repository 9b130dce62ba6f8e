//! Guards against accepting an invalid file, and against errors without a location, the invalid
//! input or the allowed input: a snapshot holds the errors of each file in `tests/invalid`.

use std::path::Path;

use flamingorock_config::{Settings, parse_services};

fn settings_file(path: &Path, text: String) -> datatest_stable::Result<()> {
    let errors = Settings::parse(&text, &file_name(path)).expect_err("the file is invalid");
    insta::assert_snapshot!(snapshot_name("settings", path), errors);
    Ok(())
}

fn service_file(path: &Path, text: String) -> datatest_stable::Result<()> {
    let errors = parse_services(&text, &file_name(path), 1).expect_err("the file is invalid");
    insta::assert_snapshot!(snapshot_name("services", path), errors);
    Ok(())
}

fn file_name(path: &Path) -> String {
    path.file_name().expect("a file has a name").to_string_lossy().into_owned()
}

fn snapshot_name(kind: &str, path: &Path) -> String {
    format!("{kind}_{}", path.file_stem().expect("a file has a name").to_string_lossy())
}

datatest_stable::harness! {
    { test = settings_file, root = "tests/invalid/settings", pattern = r"\.ini$" },
    { test = service_file, root = "tests/invalid/services", pattern = r"\.ini$" },
}
