//! Failures of the demo job. Its whole run is `quickstart.sh`, which needs the other programs.

use std::path::Path;
use std::process::Command;
use std::{env, fs, process};

/// Guards against a job that fails without a failing exit code or a reason, and against a temporary
/// folder that stays behind.
#[test]
fn a_failed_start_is_reported_and_cleaned_up() {
    let name = format!("demo-{}", process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let (programs, temporary) = (folder.join("programs"), folder.join("tmp"));
    for folder in [&programs, &temporary] {
        fs::create_dir_all(folder).unwrap();
    }
    let output = Command::new(env!("CARGO_BIN_EXE_flamingorock-standin"))
        .arg("demo")
        .arg("--programs")
        .arg(&programs)
        .env("TMPDIR", &temporary)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("error: cannot start"), "{error}");
    assert!(error.contains("flamingorockd"), "{error}");
    assert_eq!(fs::read_dir(&temporary).unwrap().count(), 0, "the folder is removed");
    fs::remove_dir_all(&folder).unwrap();
}
