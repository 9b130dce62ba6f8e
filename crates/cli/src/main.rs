//! The operators' command line of flamingorock.

fn main() {}
