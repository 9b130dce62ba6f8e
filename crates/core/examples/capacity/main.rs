//! Measures CPU time and memory per caller, request, database and host, from which `docs/CAPACITY.md` is
//! derived.
//!
//! The real state machines run on virtual time. CPU time is that of the measuring thread; memory is what
//! the global allocator has allocated. Run all parts, or only `traffic`, `control`, `fleet` or `restart`,
//! with `cargo run --release -p flamingorock-core --example capacity [PART]`.

mod allocator;
mod control_cost;
mod control_memory;
mod fake_instances;
mod fixture;
mod fleet;
mod fleet_runs;
mod meter;
mod node_bench;
mod report;
mod restart_runs;
mod store;
mod traffic_bench;
mod traffic_cost;
mod traffic_memory;
mod view_cost;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("cores: {cores}; load averages at start: {}", load.trim());
    println!("every figure is the median of {} runs; [min, max]\n", meter::RUNS);
    let part = std::env::args().nth(1);
    let is_wanted = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if is_wanted("traffic") {
        traffic_memory::run();
        traffic_cost::run();
        view_cost::run();
    }
    if is_wanted("control") {
        control_memory::run();
        control_cost::run();
    }
    if is_wanted("fleet") {
        fleet_runs::run();
    }
    if is_wanted("restart") {
        restart_runs::run();
    }
}
