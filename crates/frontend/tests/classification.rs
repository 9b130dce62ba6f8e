//! Classification of statements: each file holds one text per line, its snapshot the results.

use std::path::Path;

use flamingorock_frontend::{Classification, RankList, classify};

/// Guards against a statement that is routed to a replica, repeated, or run without a reset of the
/// connection although its text does not prove that this is safe. In a file, `\n` stands for a line
/// break.
fn classify_lines(path: &Path, text: String) -> datatest_stable::Result<()> {
    let ranks = RankList::new(["urgent", "normal", "background"], 1);
    let mut results = String::new();
    for line in text.lines().filter(|line| !line.starts_with("##")) {
        let sql = line.replace("\\n", "\n");
        let result = match classify(sql.as_bytes(), &ranks) {
            Classification::Routed(kind) => format!("{kind:?}"),
            Classification::Local(statement) => format!("proxy: {statement:?}"),
            Classification::LocalSeveral(statements) => format!("proxy: {statements:?}"),
            Classification::Refused(refusal) => {
                format!("refused: {:?}, {}", refusal.code, refusal.detail)
            }
        };
        results += &format!("{line}\n    {result}\n");
    }
    let name = path.file_stem().and_then(|stem| stem.to_str()).ok_or("file without a name")?;
    insta::assert_snapshot!(name, results);
    Ok(())
}

datatest_stable::harness! {
    { test = classify_lines, root = "tests/classification", pattern = r"\.sql$" },
}
