//! Consistency of the result codes with their documentation.

use flamingorock_core::ResultCode;

/// Guards against result codes that are missing from the documentation or described wrongly.
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

/// Guards against two codes with the same number, and against a list that is not sorted.
#[test]
fn codes_are_in_ascending_order() {
    assert!(ResultCode::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number()));
}
