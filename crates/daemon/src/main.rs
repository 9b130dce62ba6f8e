//! The flamingorock proxy daemon.

fn main() {}
