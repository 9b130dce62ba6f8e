//! Calls of the control machine to the store.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingorock_pool::Permit;
use flamingorock_pool::control::{
    Action, Control, ControlConfig, Event, MemberRecord, StoreAnswer, StoreCall, StoreContent,
    StoreItem, StoreKey, StoreOutcome,
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
