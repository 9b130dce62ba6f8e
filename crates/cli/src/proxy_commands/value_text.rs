//! Text form of JSON values.

use serde_json::{Map, Value};

use crate::table::table_text;

/// Text form of a status: one line for each plain field, and a table for each list of objects.
pub(super) fn value_text(value: &Value) -> String {
    let Value::Object(fields) = value else { return format!("  {}", cell(value)) };
    let plain = fields.iter().filter(|(_, value)| rows(value).is_none());
    let lines: Vec<_> = plain.map(|(name, value)| format!("  {name}: {}", cell(value))).collect();
    let tables = fields.iter().filter_map(|(name, value)| {
        let table = objects_table(&rows(value)?);
        let indented: Vec<_> = table.lines().map(|line| format!("    {line}")).collect();
        Some(format!("  {name}:\n{}", indented.join("\n")))
    });
    lines.into_iter().chain(tables).collect::<Vec<_>>().join("\n")
}

/// The objects of a list that has nothing else in it.
fn rows(value: &Value) -> Option<Vec<&Map<String, Value>>> {
    let list = value.as_array().filter(|list| !list.is_empty())?;
    list.iter().map(Value::as_object).collect()
}

/// A table with a column for each field of any of the objects.
fn objects_table(objects: &[&Map<String, Value>]) -> String {
    let mut names: Vec<&String> = Vec::new();
    for name in objects.iter().flat_map(|object| object.keys()) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    let header: Vec<String> = names.iter().map(|name| name.to_uppercase()).collect();
    let rows: Vec<Vec<String>> = objects
        .iter()
        .map(|object| {
            names.iter().map(|name| object.get(*name).map(cell).unwrap_or_default()).collect()
        })
        .collect();
    table_text(&header, &rows, header.len())
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name}={}", cell(value)));
            fields.collect::<Vec<_>>().join(" ")
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}
