//! Lists of keys and deletions of the key-value service.

mod support;

use flamingorock_standin::Store;
use support::any_port;
use support::web::Web;

fn start() -> (Store, Web) {
    let store = Store::start(any_port()).unwrap();
    let web = Web::new(store.address());
    (store, web)
}

/// Guards against a list with keys outside the prefix, deleted keys or another order, and against an
/// empty list where the service answers 404.
#[test]
fn keys_with_a_prefix_are_listed() {
    let (_store, web) = start();
    let list = "/v1/kv/fleet/history/?keys=true";
    assert_eq!(web.get(list), (404, Some(1), String::new()));
    for key in ["fleet/history/2/b", "fleet/config", "fleet/history/1/a", "fleet/historyx"] {
        assert_eq!(web.put(&format!("/v1/kv/{key}"), "v").0, 200);
    }
    let keys = r#"["fleet/history/1/a","fleet/history/2/b"]"#;
    assert_eq!(web.get(list), (200, Some(4), keys.to_owned()));
    assert_eq!(web.delete("/v1/kv/fleet/history/1/a").unwrap(), (200, "true".to_owned()));
    assert_eq!(web.get(list), (200, Some(6), r#"["fleet/history/2/b"]"#.to_owned()));
    web.set_fault("stale_reads=true");
    assert_eq!(web.get(list).2, r#"["fleet/history/1/a"]"#);
    assert_eq!(web.get(&format!("{list}&index=6")).0, 400);
}

/// Guards against a deletion that leaves the value or the old index usable, or that ignores a
/// condition.
#[test]
fn a_deleted_key_does_not_exist() {
    let (_store, web) = start();
    let key = "/v1/kv/fleet/config";
    assert_eq!(web.delete(key).unwrap(), (200, "true".to_owned()));
    assert_eq!(web.get(key), (404, Some(1), String::new()));
    web.put(key, "a");
    for query in ["cas=2", "recurse"] {
        assert_eq!(web.delete(&format!("{key}?{query}")).unwrap().0, 400);
    }
    assert_eq!(web.get(&format!("{key}?raw")).2, "a");
    assert_eq!(web.delete(key).unwrap(), (200, "true".to_owned()));
    assert_eq!(web.get(key), (404, Some(3), String::new()));
    assert_eq!(web.put(&format!("{key}?cas=2"), "b"), (200, "false".to_owned()));
    assert_eq!(web.put(&format!("{key}?cas=0"), "b"), (200, "true".to_owned()));
    assert_eq!(web.get(key).1, Some(4));
}

/// Guards against a lost answer whose deletion is lost as well, and against a deletion during an
/// outage.
#[test]
fn faults_apply_to_deletions() {
    let (_store, web) = start();
    let key = "/v1/kv/fleet/config";
    web.put(key, "a");
    web.set_fault("outage=errors");
    assert_eq!(web.delete(key).unwrap().0, 500);
    assert_eq!(web.get("/v1/kv/fleet/?keys=true").0, 500);
    web.set_fault("outage=false&lose_answers=1");
    assert_eq!(web.get(&format!("{key}?raw")).2, "a");
    assert!(web.delete(key).is_err());
    assert_eq!(web.get(key).0, 404);
}

/// Guards against lost answers of other keys than the one that a test is about.
#[test]
fn answers_are_lost_for_the_named_key_only() {
    let (_store, web) = start();
    web.set_fault("lose_answers=1&lose_answers_of=fleet/config");
    assert_eq!(web.put("/v1/kv/fleet/history/1/a", "a"), (200, "true".to_owned()));
    assert!(web.try_put("/v1/kv/fleet/config", b"a").is_err());
    assert_eq!(web.put("/v1/kv/fleet/config", "b"), (200, "true".to_owned()));
}
