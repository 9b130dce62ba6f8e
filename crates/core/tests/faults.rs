//! Faults against the whole of both machines, on virtual time.

mod world;

use world::{Fault, Settings, World};

/// Guards against a harness that proves nothing: without faults everything must be served.
#[test]
fn without_faults_nothing_is_refused() {
    let mut world = World::new(Settings::default());
    world.run_until(10_000_000);
    world.finish(5_000_000);
    assert_eq!(world.history.violations, Vec::<String>::new());
}
