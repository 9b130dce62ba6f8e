//! CPU time that a view change takes in the traffic state machine.

use std::sync::Arc;

use flamingorock_core::traffic::Event;

use crate::fixture::{configuration, view};
use crate::meter::{repeat, timed};
use crate::report::{heading, line};
use crate::traffic_bench::{HOST, Load, OTHER_HOST, TrafficBench};

const VIEW_CHANGES: u64 = 50;

pub fn run() {
    heading("Traffic: CPU time of a view change that does not affect the thread");
    for (callers, in_flight, served) in
        [(0, 0, 2), (4_800, 0, 2), (4_800, 4_800, 2), (4_800, 0, 16), (4_800, 0, 156)]
    {
        let values = repeat(|| measure(callers, in_flight, served));
        let name = format!("{callers} callers, {in_flight} in flight, {served} of 780 served");
        line(&name, "us", &values);
    }
}

fn measure(callers: usize, in_flight: usize, served: usize) -> f64 {
    let owner = if in_flight > 0 { OTHER_HOST } else { HOST };
    let view = view(configuration(1, 780, 2), owner, served);
    let mut bench = TrafficBench::new(view.clone());
    let callers = bench.open_callers(callers);
    bench.holds = true;
    for &caller in callers.iter().take(in_flight) {
        bench.request(caller, Load::Write);
    }
    let views = (0..VIEW_CHANGES).map(|number| {
        let mut next = view.clone();
        next.sequence = 2 + number;
        Event::ViewChanged(Arc::new(next))
    });
    let views: Vec<Event> = views.collect();
    let cpu_us = timed(|| views.into_iter().for_each(|event| bench.feed(event)));
    cpu_us / VIEW_CHANGES as f64
}
