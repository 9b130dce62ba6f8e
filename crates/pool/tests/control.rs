//! Calls of the control machine to the store.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingorock_core::{Lsn, Position, Term};
use flamingorock_pool::control::{
    Action, Control, ControlConfig, Event, Heartbeat, MemberRecord, PeerMessage, PromotionRecord,
    PromotionState, StoreAnswer, StoreCall, StoreContent, StoreItem, StoreKey, StoreOutcome,
};
use flamingorock_pool::traffic::Report;
use flamingorock_pool::{
    Configuration, InstanceCallOutcome, InstanceCallResult, InstanceEntry, InstanceStatus, Permit,
    PoolView, PrimaryView, ReplicaSetConfig, ReplicationRole,
};

const MILLISECOND_US: u64 = 1_000;

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn peer_address() -> SocketAddr {
    ([127, 0, 0, 1], 7_440).into()
}

fn member(index: u64, revision: u64) -> StoreItem {
    let record = MemberRecord { peer_address: peer_address(), incarnation: revision };
    StoreItem {
        key: StoreKey::Member(bytes(&format!("proxy-{index}"))),
        revision,
        content: StoreContent::Member(record),
    }
}

/// A control machine and its calls to the store.
struct World {
    control: Control,
    now_us: u64,
}

impl World {
    fn new() -> Self {
        let config = ControlConfig {
            name: bytes("proxy-0"),
            peer_address: peer_address(),
            incarnation: 1,
            permit: Permit::default(),
            grace_us: 6_000 * MILLISECOND_US,
        };
        Self { control: Control::new(config, 0), now_us: 0 }
    }

    /// Ticks and returns the calls that mirror the store.
    fn mirror_calls(&mut self) -> Vec<StoreCall> {
        self.control.tick(self.now_us);
        let mut actions = Vec::new();
        self.control.take_actions(&mut actions);
        actions
            .into_iter()
            .filter_map(|action| match action {
                Action::Store { call, .. } => Some(call),
                _ => None,
            })
            .filter(|call| matches!(call, StoreCall::List { .. } | StoreCall::Watch { .. }))
            .collect()
    }

    fn answer(&mut self, call: StoreCall, outcome: StoreOutcome) {
        let answer = StoreAnswer { call, sent_us: self.now_us, outcome };
        self.control.push(Event::Store(Box::new(answer)));
    }

    fn report(&mut self, report: Report) {
        self.control.push(Event::Report(report));
    }

    /// Ticks and returns the messages to other proxies.
    fn messages(&mut self) -> Vec<PeerMessage> {
        self.control.tick(self.now_us);
        let mut actions = Vec::new();
        self.control.take_actions(&mut actions);
        let messages = actions.into_iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
        messages.collect()
    }

    /// Answers the first listing with a configuration and these items.
    fn list(&mut self, mut items: Vec<StoreItem>) {
        let list = self.mirror_calls().remove(0);
        let content = StoreContent::Configuration(configuration());
        items.push(StoreItem { key: StoreKey::Configuration, revision: 2, content });
        self.answer(list, StoreOutcome::Page { items, as_of: 40, next: None });
    }

    /// Ticks and returns the view that was published last.
    fn view(&mut self) -> Option<Arc<PoolView>> {
        self.control.tick(self.now_us);
        let mut actions = Vec::new();
        self.control.take_actions(&mut actions);
        let views = actions.into_iter().filter_map(|action| match action {
            Action::Publish(view) => Some(view),
            _ => None,
        });
        views.last()
    }

    /// Ticks and returns the ids of the instances in the view that was published last.
    fn published(&mut self) -> Vec<Bytes> {
        let view = self.view().unwrap_or_default();
        let instances = view.replica_sets.iter().flat_map(|set| set.instances.iter());
        instances.map(|instance| instance.id.clone()).collect()
    }
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        databases: Vec::new(),
        replica_sets: vec![ReplicaSetConfig {
            name: bytes("set"),
            connections_limit: 16,
            sync_replicas: 0,
        }],
        idle_transaction_us: 3_000 * MILLISECOND_US,
    }
}

fn instance(id: &str) -> StoreItem {
    let entry = InstanceEntry {
        id: bytes(id),
        started_unix_ms: 1,
        replica_set: bytes("set"),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: bytes("here"),
        slots: 2,
        is_leaving: false,
        reported_role: None,
    };
    let key = StoreKey::Instance(bytes(id));
    StoreItem { key, revision: 3, content: StoreContent::Instance(entry) }
}

/// Guards against a proxy that knows which instance leads and not where it is, because the store has
/// turned the proxy away since before the instance came (trouble-1 of jfc-mobile, 20.4 s to 24.6 s).
#[test]
fn proxy_without_the_store_hears_of_new_instances() {
    let mut teller = World::new();
    teller.list(vec![member(1, 4), instance("new")]);
    let mut lacking = World::new();
    lacking.list(Vec::new());
    lacking.mirror_calls();
    lacking.now_us = 2_500 * MILLISECOND_US;
    lacking.mirror_calls();
    let heartbeat = Heartbeat {
        from: bytes("proxy-1"),
        address: peer_address(),
        incarnation: 4,
        sequence: 1,
        echo: 0,
        configuration_version: 1,
        lacks_store: true,
        sets: Vec::new(),
    };
    teller.control.push(Event::Peer(PeerMessage::Heartbeat(heartbeat)));
    for message in teller.messages() {
        lacking.control.push(Event::Peer(message));
    }
    assert_eq!(lacking.published(), [bytes("new")]);
}

/// Guards against statements that wait for their timeout at a proxy that has no address of the primary
/// and no store to learn it from: their callers are sent to others at once.
#[test]
fn primary_without_an_address_is_elsewhere() {
    let mut world = World::new();
    world.list(Vec::new());
    world.mirror_calls();
    world.now_us = 2_500 * MILLISECOND_US;
    let state = PromotionState::Done { instance: bytes("new"), term: Term(2) };
    let record = PromotionRecord {
        fencing_token: 1,
        holder: bytes("proxy-1"),
        holder_incarnation: 4,
        state,
    };
    let replica_set = bytes("set");
    world.control.push(Event::Peer(PeerMessage::Record { replica_set, record }));
    let view = world.view().expect("the belief has changed");
    let expected = PrimaryView::ReachableByOthers { instance: bytes("new"), term: Term(2) };
    assert_eq!(view.replica_sets[0].primary, expected);
}

/// A set whose primary is congested, and what its two replicas say.
struct Congested {
    world: World,
    lag_ms: u64,
    received: u64,
}

impl Congested {
    const LAST: u64 = 50;

    fn new(lag_ms: u64, received: u64) -> Self {
        let mut world = World::new();
        let state = PromotionState::Done { instance: bytes("a"), term: Term(1) };
        let record = PromotionRecord {
            fencing_token: 1,
            holder: bytes("proxy-9"),
            holder_incarnation: 4,
            state,
        };
        let key = StoreKey::Promotion(bytes("set"));
        let promotion = StoreItem { key, revision: 9, content: StoreContent::Promotion(record) };
        world.list(vec![instance("a"), instance("b"), instance("c"), promotion]);
        let watch = world.mirror_calls().remove(0);
        // Past the rest after the last promotion, with the store in contact.
        world.now_us = 20_000 * MILLISECOND_US;
        world.answer(watch, StoreOutcome::Changes { items: Vec::new(), as_of: 41 });
        world.report(Report::PrimaryAlive {
            replica_set: bytes("set"),
            instance: bytes("a"),
            at_us: world.now_us,
            position: Some(Position::new(Term(1), Lsn(Self::LAST))),
        });
        world.report(Report::PrimaryOverloaded { replica_set: bytes("set"), term: Term(1) });
        Self { world, lag_ms, received }
    }

    /// Runs for a time. Questions to instances are answered, and the store takes every write. Returns
    /// the records that were written and the instances that were promoted.
    fn run(&mut self, span_ms: u64) -> Vec<String> {
        let mut told = Vec::new();
        for _ in 0..span_ms / 10 {
            self.world.now_us += 10 * MILLISECOND_US;
            self.world.control.tick(self.world.now_us);
            let mut actions = Vec::new();
            self.world.control.take_actions(&mut actions);
            for action in actions {
                self.perform(action, &mut told);
            }
        }
        told
    }

    fn perform(&mut self, action: Action, told: &mut Vec<String>) {
        match action {
            Action::Call(call) => {
                let status = InstanceStatus {
                    role: ReplicationRole::Replica,
                    term: Term(1),
                    received: Position::new(Term(1), Lsn(self.received)),
                    lag_ms: self.lag_ms,
                };
                let answer =
                    InstanceCallResult { call, outcome: InstanceCallOutcome::Status(status) };
                self.world.report(Report::InstanceCallResult(answer));
            }
            Action::Store { call, .. } => {
                if let StoreCall::WritePromotion { record, .. } = &call {
                    told.push(format!("{} {:?}", record.fencing_token, record.state));
                    self.world.answer(call, StoreOutcome::Written { revision: 60 });
                }
            }
            Action::Publish(view) => {
                if matches!(view.replica_sets[0].primary, PrimaryView::Replacing { .. }) {
                    self.world.report(Report::PrimaryQuiescent {
                        replica_set: bytes("set"),
                        term: Term(1),
                        position: Some(Position::new(Term(1), Lsn(Self::LAST))),
                    });
                }
            }
            Action::Promote { instance, .. } => told.push(format!("promote {instance:?}")),
            _ => {}
        }
    }
}

/// Guards against a primary that serves alone beside replicas that have received everything and lag by
/// many seconds, and against a replacement for a lag that passes by itself.
#[test]
fn primary_is_replaced_if_its_replicas_lag_far_behind() {
    let far = Congested::new(20_000, Congested::LAST).run(300);
    let short = Congested::new(1_000, Congested::LAST).run(300);
    insta::assert_snapshot!(format!("20 s: {far:#?}\n1 s: {short:#?}"));
}

/// Guards against acknowledged writes that are rolled back for the sake of a faster set: replicas that
/// have not received everything are not promoted, and the former primary goes on.
#[test]
fn congested_primary_goes_on_if_its_replicas_stop_receiving() {
    let mut congested = Congested::new(20_000, Congested::LAST);
    let mut told = congested.run(20);
    congested.received = Congested::LAST - 1;
    told.extend(congested.run(2_000));
    insta::assert_snapshot!(format!("{told:#?}"));
}

/// Guards against a start of a large fleet in which each record ends the watch of every proxy (14
/// watches a proxy in the first five seconds of jfc-mobile-grown).
#[test]
fn watches_of_a_large_fleet_are_batched() {
    let mut world = World::new();
    let list = world.mirror_calls().remove(0);
    let items = (1..37).map(|index| member(index, index)).collect();
    world.answer(list, StoreOutcome::Page { items, as_of: 40, next: None });
    let watch = world.mirror_calls().remove(0);
    world.answer(watch, StoreOutcome::Changes { items: vec![member(1, 41)], as_of: 41 });
    assert_eq!(world.mirror_calls(), []);
    world.now_us += 800 * MILLISECOND_US;
    assert_eq!(world.mirror_calls(), []);
    world.now_us += 200 * MILLISECOND_US;
    let calls = world.mirror_calls();
    assert!(matches!(calls[..], [StoreCall::Watch { after_revision: 41, .. }]), "{calls:?}");
}
