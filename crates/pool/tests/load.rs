//! How work waits, is refused and is placed at the worst load.

mod traffic_support;

use std::sync::Arc;

use flamingorock_core::TransactionStatus::{Idle, Open};
use flamingorock_pool::ErrorCode;
use flamingorock_pool::traffic::Event;
use traffic_support::{
    MILLISECOND_US, OWN, STALE, STRICT, World, bytes, configuration, held, position, serving,
};

/// Guards against urgent work that waits behind a flood of less urgent work at the primary.
#[test]
fn urgent_statement_passes_a_flood() {
    let mut world = World::new();
    let flood: Vec<_> = (0..20).map(|_| world.session(OWN)).collect();
    for session in &flood {
        world.query(*session, "WRITE 1 x");
    }
    let urgent = world.session(STRICT);
    world.query(urgent, "WRITE 2 x");
    world.connect_all(position(1, 10));
    world.complete("a", Idle, position(1, 11));
    let sent: Vec<_> =
        world.transcript.lines().filter(|line| line.contains("a <- Forward")).collect();
    assert_eq!(sent.len(), 2, "{}", world.transcript);
    assert!(sent[1].contains("WRITE 2"), "{}", world.transcript);
}

/// Guards against a statement that is held until its timeout although the primary will not be back by
/// then: it is refused at once, with the time of the return.
#[test]
fn statement_is_refused_at_once_if_the_primary_returns_too_late() {
    let mut world = World::new();
    let expected_us = world.now_us + 1_200 * MILLISECOND_US;
    world.publish(held(false, expected_us));
    let session = world.session(STRICT);
    world.query(session, "READ 1");
    insta::assert_snapshot!(world.replies());
}

/// Guards against a refusal of what the next primary can still serve in time.
#[test]
fn statement_waits_for_a_primary_that_returns_in_time() {
    let mut world = World::new();
    let expected_us = world.now_us + 300 * MILLISECOND_US;
    world.publish(held(false, expected_us));
    let session = world.session(STRICT);
    world.query(session, "READ 1");
    world.advance(300 * MILLISECOND_US);
    world.answer_probes(position(1, 10));
    world.publish(serving("b", 2));
    assert!(world.runs_at("b"), "{}", world.transcript);
}

/// Guards against two thousand refusals at a proxy that is cut off with its callers: sessions between
/// operations are closed, so that their callers reach another proxy.
#[test]
fn isolated_proxy_sends_its_callers_elsewhere() {
    let mut world = World::expiring(200 * MILLISECOND_US);
    let idle = world.session(STRICT);
    let _ = idle;
    let busy = world.session(STRICT);
    world.query(busy, "BEGIN");
    world.advance(250 * MILLISECOND_US);
    world.session(STRICT);
    insta::assert_snapshot!(world.replies());
}

/// Guards against the loss of an instance being concluded from a connection that it reset because it
/// has no place for it, as after a loss of power of all proxies.
#[test]
fn reset_before_acceptance_is_no_loss() {
    let mut world = World::new();
    let connection = world.opened.iter().find(|row| row.instance == "a").map(|row| row.key);
    world.lose(connection.expect("a connection of a"));
    let opened = world.opened.iter().find(|row| row.instance == "a").map(|row| row.key);
    let connection = opened.expect("a new connection of a");
    world.machine.push(Event::Connected { connection });
    world.tick();
    world.lose(connection);
    world.reports.retain(|report| {
        matches!(report, flamingorock_pool::traffic::Report::PrimaryUnreachable { .. })
    });
    assert_eq!(world.reports, []);
}

/// Guards against reads that wait for replicas that are far behind while the primary is free.
#[test]
fn stale_read_uses_the_primary_if_replicas_are_behind() {
    let mut world = World::new();
    // The primary's log moves on, the replicas' logs do not.
    let writer = world.session(STRICT);
    for number in 11..31 {
        world.query(writer, "WRITE 1 x");
        world.complete("a", Idle, position(1, number));
        world.advance(100 * MILLISECOND_US);
        world.answer_probes(position(1, 10));
    }
    let session = world.session(STALE);
    world.query(session, "READ 1");
    assert!(world.runs_at("a"), "{}", world.transcript);
}

/// Guards against a configuration that does not reach a request in the queue.
#[test]
fn queued_request_follows_a_new_configuration() {
    let mut world = World::new();
    let expected_us = world.now_us + 300 * MILLISECOND_US;
    world.publish(held(false, expected_us));
    let session = world.session(STRICT);
    world.query(session, "READ 1");
    let mut next = configuration(2);
    next.databases.retain(|rule| rule.name != bytes(STRICT));
    world.publish_with(held(false, expected_us), Arc::new(next));
    insta::assert_snapshot!(world.replies());
}

/// Guards against a flood of the same refusal: an instance without room is left alone for a moment.
#[test]
fn instance_without_room_is_left_alone_for_a_moment() {
    let mut world = World::new();
    let session = world.session(STRICT);
    world.query(session, "WRITE 1 x");
    world.fail("a", ErrorCode::Busy, Idle, position(1, 10));
    assert!(!world.runs_at("a"), "{}", world.transcript);
    world.advance(20 * MILLISECOND_US);
    assert!(world.runs_at("a"), "{}", world.transcript);
}

/// Guards against a fleet whose idle connections fill an instance: after a loss of power the dead ones
/// count for three seconds, and the proxies that are back find no place (trouble-1 of
/// jfc-mobile-grown: 37 proxies, 46 places).
#[test]
fn idle_fleet_leaves_half_of_a_crowded_instance_free() {
    const PROXIES: u32 = 37;
    const PLACES: u32 = 46;
    let mut rules = configuration(1);
    rules.replica_sets[0].connections_limit = PLACES;
    let rules = Arc::new(rules);
    let mut held = [0; 3];
    for index in 0..PROXIES {
        let name = format!("edge-{}-{index}", ["curepipe", "mahebourg"][index as usize % 2]);
        let mut world = World::of_fleet(&name, PROXIES, 3_600_000 * MILLISECOND_US);
        world.publish_with(serving("a", 1), Arc::clone(&rules));
        for _ in 0..50 {
            world.advance(100 * MILLISECOND_US);
            world.connect_new(position(1, 10));
            world.answer_probes(position(1, 10));
        }
        for (count, instance) in held.iter_mut().zip(["a", "b", "c"]) {
            *count += world.opened.iter().filter(|row| row.instance == instance).count();
        }
    }
    assert!(held.iter().all(|count| *count <= PLACES as usize / 2), "{held:?}");
    assert!(held.iter().all(|count| *count > 0), "{held:?}");
}

/// Guards against proxies that start first after a loss of power and take the places that the dead have
/// left, so that the others find none for three seconds (trouble-1 of jfc-mobile, 35.4 s to 37 s).
#[test]
fn proxy_takes_one_place_at_an_instance_after_its_start() {
    let mut world = World::started_before(0, "proxy", 5, 3_600_000 * MILLISECOND_US);
    let sessions: Vec<_> = (0..8).map(|_| world.session(STRICT)).collect();
    for session in &sessions {
        world.query(*session, "WRITE 1 x");
    }
    let places = |world: &World| world.opened.iter().filter(|row| row.instance == "a").count();
    assert_eq!(places(&world), 1, "{}", world.transcript);
    world.advance(3_000 * MILLISECOND_US);
    world.connect_new(position(1, 10));
    for _ in 0..2 {
        let session = world.session(STRICT);
        world.query(session, "WRITE 1 x");
    }
    assert!(places(&world) > 1, "{}", world.transcript);
}

/// Guards against a proxy that starves at one connection after its start although an instance has places
/// for many (trouble-2 of armut-mahzen: ten for each of five proxies).
#[test]
fn proxy_takes_a_third_of_its_share_after_its_start() {
    let mut world = World::started_before(0, "proxy", 5, 3_600_000 * MILLISECOND_US);
    let mut rules = configuration(1);
    rules.replica_sets[0].connections_limit = 50;
    world.publish_with(serving("a", 1), Arc::new(rules));
    for _ in 0..8 {
        let session = world.session(STRICT);
        world.query(session, "BEGIN");
        world.query(session, "WRITE 1 x");
        world.connect_new(position(1, 10));
        while world.runs_at("a") {
            world.complete("a", Open, position(1, 10));
        }
    }
    let places = world.opened.iter().filter(|row| row.instance == "a").count();
    assert_eq!(places, 3, "{}", world.transcript);
}

/// Guards against statements that wait for their timeout behind a queue that is longer than it (inc-8b76
/// on jfc-mobile: 464 refusals after their timeouts).
#[test]
fn statement_is_refused_at_once_if_the_queue_outlasts_its_timeout() {
    const ANSWER_MS: u64 = 100;
    let mut world = World::new();
    let first = world.session(OWN);
    for number in 0..5 {
        world.query(first, "WRITE 1 x");
        world.advance(ANSWER_MS * MILLISECOND_US);
        world.answer_probes(position(1, 10));
        world.complete("a", Idle, position(1, 11 + number));
    }
    world.transcript.clear();
    for _ in 0..12 {
        let session = world.session(OWN);
        world.query(session, "WRITE 1 x");
    }
    insta::assert_snapshot!(world.replies());
}
