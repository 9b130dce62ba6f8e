//! Tests that `docs/settings.md` and the example files match the code.

use std::collections::BTreeMap;

use flamingorock_config::{ConfigErrors, Settings, parse_services, services_text};

const PAGE: &str = include_str!("../../../docs/settings.md");
const SETTINGS: &str = include_str!("valid/settings_minimal.ini");
const SERVICES: &str = include_str!("valid/services_minimal.ini");

/// A row of a table in `docs/settings.md`, which documents one key.
struct Row {
    section: String,
    key: String,
    allowed: String,
    default: String,
}

/// Parses the rows of all tables. The section comes from the heading above the table.
fn parse_rows() -> Vec<Row> {
    let mut section = String::new();
    let mut rows = Vec::new();
    for line in PAGE.lines() {
        if let Some(heading) = line.strip_prefix("### `[") {
            section = heading.trim_end_matches("]`").to_owned();
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if let [_, key, _, allowed, default, _, _] = cells[..]
            && key.starts_with('`')
        {
            let plain = |text: &str| text.trim_matches('`').to_owned();
            let (key, default) = (plain(key), plain(default));
            rows.push(Row { section: section.clone(), key, allowed: allowed.to_owned(), default });
        }
    }
    rows
}

/// Maps a heading such as `service SERVICE` to a section of the minimal files.
fn section_in_file(heading: &str) -> &str {
    match heading {
        "service SERVICE" => "service s",
        "rank SERVICE/RANK" => "rank s/only",
        "database DATABASE" => "database d",
        "instance DATABASE/INSTANCE" => "instance d/a",
        other => other,
    }
}

/// Parses a canonical text into values by section and key.
fn values(text: &str) -> BTreeMap<(String, String), String> {
    let mut section = String::new();
    let mut values = BTreeMap::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = name.trim_end_matches(']').to_owned();
        } else if let Some((key, value)) = line.split_once(" = ") {
            values.insert((section.clone(), key.to_owned()), value.to_owned());
        }
    }
    values
}

/// Replaces the value of a key by `?!`, which is invalid for every key.
fn with_invalid_value(text: &str, section: &str, key: &str) -> String {
    let (mut lines, mut current, mut replaced) = (Vec::new(), "", false);
    for line in text.lines() {
        let in_section = current == section;
        if let Some(name) = line.strip_prefix('[') {
            current = name.trim_end_matches(']');
        }
        let wrong = format!("{key} = ?!");
        if in_section && line.split(" = ").next() == Some(key) {
            lines.push(wrong);
            replaced = true;
        } else {
            lines.push(line.to_owned());
        }
    }
    assert!(replaced, "[{section}] {key} is not in the canonical text");
    lines.join("\n")
}

fn errors_of(text: &str) -> ConfigErrors {
    match Settings::parse(text, "a.ini") {
        Err(errors) if text.contains("[host]") => errors,
        _ => parse_services(text, "a.ini", 1).expect_err("a value is wrong"),
    }
}

/// Guards against documented allowed values or defaults that differ from the code, and against keys
/// that `docs/settings.md` does not document.
#[test]
fn page_agrees_with_the_code() {
    let settings = Settings::parse(SETTINGS, "a.ini").expect("a valid file").to_string();
    let services = parse_services(SERVICES, "a.ini", 1).expect("a valid file");
    let services = services_text(&services);
    let mut undocumented = values(&settings);
    undocumented.extend(values(&services));
    undocumented.retain(|(section, _), _| section != "instance d/b" && section != "instance d/c");
    for row in parse_rows() {
        let section = section_in_file(&row.section);
        let value = undocumented.remove(&(section.to_owned(), row.key.clone()));
        let text = if settings.contains(&format!("[{section}]")) { &settings } else { &services };
        let errors = errors_of(&with_invalid_value(text, section, &row.key));
        let error = errors.0.iter().find(|error| error.key.as_deref() == Some(&row.key));
        let allowed = &error.expect("an error of the key").allowed;
        assert_eq!(*allowed, row.allowed, "[{section}] {}", row.key);
        let given = format!("\n{} = ", row.key);
        if row.default == "required" {
            let source = if text == &settings { SETTINGS } else { SERVICES };
            assert!(source.contains(&given), "[{section}] {} has a default", row.key);
        } else {
            assert_eq!(value.as_ref(), Some(&row.default), "[{section}] {}", row.key);
        }
    }
    assert!(undocumented.is_empty(), "keys that the page leaves out: {undocumented:?}");
}

/// Guards against example files that are invalid or differ in size from the fleets of the users.
#[test]
fn examples_are_valid() {
    let examples = [
        ("jardinet.ini", include_str!("../../../examples/jardinet.ini"), 2, 16),
        ("kooperatifi.ini", include_str!("../../../examples/kooperatifi.ini"), 5, 50),
    ];
    let mut texts = Vec::new();
    for (name, text, slots, connections) in examples {
        let configuration = parse_services(text, name, 1).expect("a valid file");
        assert_eq!(configuration.databases.len(), 3, "{name}");
        for database in &configuration.databases {
            assert_eq!(database.instances.len(), 3, "{name}");
            for instance in &database.instances {
                assert_eq!((instance.slots, instance.connections), (slots, connections), "{name}");
            }
        }
        for service in &configuration.services {
            assert_eq!(service.ranks.len(), 3, "{name}");
        }
        texts.push(services_text(&configuration));
    }
    insta::assert_snapshot!(texts.join("\n"));
}
