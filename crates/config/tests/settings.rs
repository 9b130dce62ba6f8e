//! Tests of parsing and formatting the settings of a process.

use std::path::Path;

use flamingorock_config::Settings;

const FULL: &str = include_str!("valid/settings_full.ini");
const MINIMAL: &str = include_str!("valid/settings_minimal.ini");

/// Guards against a key that is parsed into the wrong field, and against a comment that is parsed
/// as part of a value.
#[test]
fn reads_every_key() {
    insta::assert_debug_snapshot!(Settings::parse(FULL, "full.ini").expect("the text is valid"));
}

/// Guards against a default that differs from the documented one.
#[test]
fn fills_in_defaults() {
    insta::assert_snapshot!(Settings::parse(MINIMAL, "minimal.ini").expect("the text is valid"));
}

/// Guards against a canonical text that loses a setting.
#[test]
fn canonical_text_reads_back() {
    for text in [FULL, MINIMAL] {
        let settings = Settings::parse(text, "a.ini").expect("the text is valid");
        assert_eq!(Settings::parse(&settings.to_string(), "b.ini").as_ref(), Ok(&settings));
    }
}

/// Guards against leaking the admin key into logs through `Debug` or an error message.
#[test]
fn admin_key_is_not_shown() {
    let settings = Settings::parse(FULL, "full.ini").expect("the text is valid");
    assert!(!format!("{settings:?}").contains(settings.admin.key.reveal()));
    for wrong in ["key = too-short", "key too-short"] {
        let text = FULL.replace("key = CHANGE-ME-0123456789", wrong);
        let errors = Settings::parse(&text, "full.ini").expect_err("the key is not valid");
        assert!(!errors.to_string().contains("too-short"), "{errors}");
    }
}

/// Guards against a panic, or an error without the file name, if the file is missing.
#[test]
fn missing_file_is_an_error() {
    let errors = Settings::load(Path::new("no/such/file.ini")).expect_err("there is no file");
    insta::assert_snapshot!(errors);
}
