//! Tests with real proxy processes and stand-ins of the platform.

mod end_to_end;
mod failures;
mod hostile_input;
mod support;
