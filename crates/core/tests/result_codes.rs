//! The table of result codes in the documentation.

use flamingorock_core::ResultCode;

/// Guards against a code that operators meet and the documentation does not list, or lists wrongly.
#[test]
fn documentation_lists_every_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/result-codes.md");
    let text = std::fs::read_to_string(path).expect("docs/result-codes.md is readable");
    let rows = text.lines().filter(|line| line.starts_with("| FR"));
    let documented: Vec<String> =
        rows.map(|row| row.split(" | ").take(4).collect::<Vec<_>>().join(" | ")).collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            let (number, class) = (code.number(), code.class());
            format!("| FR{number} | {} | {class} | {code}", code.sqlstate())
        })
        .collect();
    assert_eq!(documented, expected);
}

/// Guards against two codes with one number, or a list that misses one.
#[test]
fn codes_are_in_ascending_order() {
    assert!(ResultCode::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number()));
}
