//! Runs one stand-in or the demo job.

fn main() {}
