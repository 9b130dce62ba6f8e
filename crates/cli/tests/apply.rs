//! `apply` and the commands that read what it wrote, against a store that can lose answers.

#[path = "../../platform/tests/support/mod.rs"]
mod support;

use flamingorock_cli::{
    ApplyReport, ApplyRequest, Failure, StoreClient, apply, get, history, plan,
};
use flamingorock_platform::{Keys, StoredConfiguration};
use support::{Fault, MemoryStore};

const BASE: &str = include_str!("files/services.ini");
const KEY: &str = "fleet/config";

/// A service file that differs from [`BASE`] in one number.
fn changed(worth: u32) -> String {
    BASE.replace("worth = 1", &format!("worth = {worth}"))
}

fn client() -> StoreClient<MemoryStore> {
    let mut client = StoreClient::new(MemoryStore::default(), Keys::new("fleet"), 1_000);
    client.pause_ms = 0;
    client
}

fn run(
    client: &StoreClient<MemoryStore>,
    apply_id: &str,
    text: &str,
    expect_version: Option<u64>,
) -> Result<ApplyReport, Failure> {
    let request = ApplyRequest {
        text,
        file: "services.ini",
        expect_version,
        apply_id: apply_id.to_owned(),
        applied_by: format!("operator-{apply_id}"),
        applied_at_unix_s: 1_800_000_000,
    };
    apply(client, &request)
}

fn show(result: &Result<ApplyReport, Failure>) -> String {
    match result {
        Ok(report) => report.to_string(),
        Err(failure) => format!("{:?}: {failure}", failure.exit_status()),
    }
}

/// A document of another operator as the store holds it.
fn foreign(version: u64, apply_id: &str) -> Vec<u8> {
    let document = StoredConfiguration {
        version,
        apply_id: apply_id.to_owned(),
        applied_by: "rival".to_owned(),
        applied_at_unix_s: 1_800_000_060,
        text: changed(77),
    };
    serde_json::to_vec(&document).expect("JSON")
}

/// The kept form of [`foreign`].
fn foreign_record(version: u64, apply_id: &str, previous: &str) -> (String, Vec<u8>) {
    let mut value: serde_json::Value =
        serde_json::from_slice(&foreign(version, apply_id)).expect("JSON");
    value["previous_apply_id"] = previous.into();
    (format!("fleet/history/{version}/{apply_id}"), value.to_string().into_bytes())
}

/// Guards against an apply that reports something else than what it did, and against one that writes
/// a new version for the same configuration.
#[test]
fn plan_apply_get_and_history_agree() {
    let client = client();
    let mut log = Vec::new();
    log.push(plan(&client, BASE, "services.ini").expect("a valid file").to_string());
    log.push(show(&run(&client, "a", BASE, None)));
    log.push(show(&run(&client, "b", &format!("; a comment\n{BASE}"), None)));
    log.push(plan(&client, &changed(2), "services.ini").expect("a valid file").to_string());
    log.push(show(&run(&client, "c", &changed(2), Some(1))));
    log.push(show(&run(&client, "d", &changed(3), Some(1))));
    log.push(show(&run(&client, "e", "[service s]", None)));
    log.push(get(&client, None, true).expect("a document").text[..11].to_owned());
    log.push(format!("{:?}", get(&client, Some(1), false).map(|document| document.apply_id)));
    log.push(format!("{:?}", get(&client, Some(9), false)));
    log.push(history(&client).expect("a history").to_string());
    log.push(client.store.keys().join("\n"));
    insta::assert_snapshot!(log.join("\n----\n"));
}

/// Guards against a plan that misses a removed section or hides a changed key.
#[test]
fn plan_lists_all_changes() {
    let client = client();
    run(&client, "a", BASE, None).expect("the store works");
    let text = BASE
        .replace("ranks = only", "ranks = urgent, only")
        .replace("[instance d/c]", "[instance d/z]")
        .replace(
            "slots = 2\nconnections = 4\n\n[instance d/b]",
            "slots = 3\nconnections = 5\n\n[instance d/b]",
        );
    let rank = BASE.split("\n\n").nth(1).expect("the rank's section");
    let text = format!("{text}\n{}\n", rank.replace("s/only", "s/urgent"));
    let report = plan(&client, &text, "services.ini").expect("a valid file");
    let json = serde_json::to_string_pretty(&report).expect("JSON");
    insta::assert_snapshot!(format!("{report}\n{json}"));
}

/// Guards against a lost race that is reported as an error or as done, and against an operator who is
/// not told who won.
#[test]
fn lost_race_names_the_winner() {
    let client = client();
    run(&client, "a", BASE, None).expect("the store works");
    let steal = Fault::WriteBefore(KEY.to_owned(), foreign(2, "rival"));
    client.store.fail_writes([Fault::None, steal]);
    let result = run(&client, "b", &changed(2), None);
    let json = serde_json::to_string_pretty(&result.clone().expect_err("lost")).expect("JSON");
    let keys = client.store.keys().join("\n");
    insta::assert_snapshot!(format!("{}\n{json}\n{keys}", show(&result)));
}

/// Guards against a lost answer that is reported before it is resolved: the operator would apply
/// again although the first apply took effect, or trust one that did not.
#[test]
fn lost_answers_are_resolved() {
    let lost = || Fault::LoseResponse;
    let rival = || (KEY.to_owned(), foreign(2, "rival"));
    let (key, value) = rival();
    let cases: Vec<(&str, Vec<Fault>, usize)> = vec![
        ("answer to the kept document lost", vec![lost()], 0),
        ("answer lost", vec![Fault::None, lost()], 0),
        ("request lost, then repeated", vec![Fault::None, Fault::LoseRequest], 0),
        (
            "request lost twice, then answer lost",
            vec![Fault::None, Fault::LoseRequest, Fault::LoseRequest, lost()],
            0,
        ),
        (
            "request lost, then another operator wins",
            vec![Fault::None, Fault::LoseRequest, Fault::WriteBefore(key, value)],
            0,
        ),
        (
            "every request lost",
            vec![
                Fault::None,
                Fault::LoseRequest,
                Fault::LoseRequest,
                Fault::LoseRequest,
                Fault::LoseRequest,
                Fault::LoseRequest,
            ],
            0,
        ),
        (
            "answer lost, then the store is down",
            vec![Fault::None, lost(), lost(), lost(), lost(), lost()],
            9,
        ),
        ("store is down at the kept document", vec![Fault::Unreachable], 0),
        ("store is down at the document", vec![Fault::None, Fault::Unreachable], 0),
    ];
    let mut log = Vec::new();
    for (name, faults, failing_reads) in cases {
        let client = client();
        run(&client, "a", BASE, None).expect("the store works");
        client.store.fail_writes(faults);
        client.store.fail_reads_after(1, failing_reads);
        let result = run(&client, "b", &changed(2), None);
        client.store.fail_reads_after(0, 0);
        let in_force = get(&client, None, true).expect("a document");
        let (version, apply_id) = (in_force.version, in_force.apply_id);
        log.push(format!("{name}:\n{}\nin force: {version} {apply_id}", show(&result)));
    }
    insta::assert_snapshot!(log.join("\n\n"));
}

/// Guards against an apply that is reported as lost because a later one has replaced it before the
/// outcome was read back.
#[test]
fn replaced_apply_counts_as_applied() {
    let mut log = Vec::new();
    for (name, previous) in [("after ours", "b"), ("after another", "other")] {
        let client = client();
        run(&client, "a", BASE, None).expect("the store works");
        let (key, value) = foreign_record(3, "later", previous);
        client.store.put(&key, &value);
        let (key, value) = foreign_record(2, "other", "a");
        client.store.put(&key, &value);
        let after = Fault::LoseResponseWriteAfter(KEY.to_owned(), foreign(3, "later"));
        client.store.fail_writes([Fault::None, after]);
        log.push(format!("{name}: {}", show(&run(&client, "b", &changed(2), None))));
    }
    insta::assert_snapshot!(log.join("\n\n"));
}

/// Guards against a history that loses a version that was in force, or shows one that was not.
#[test]
fn fifty_versions_are_kept() {
    let client = client();
    for version in 1..=60 {
        run(&client, &format!("id-{version}"), &changed(version), None).expect("the store works");
    }
    let (key, value) = foreign_record(40, "loser", "id-39");
    client.store.put(&key, &value);
    let versions: Vec<u64> = history(&client)
        .expect("a history")
        .versions
        .iter()
        .inspect(|line| assert_eq!(line.apply_id, format!("id-{}", line.version)))
        .map(|line| line.version)
        .collect();
    assert_eq!(versions, (11..=60).rev().collect::<Vec<_>>());
}
