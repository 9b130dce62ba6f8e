//! Systems of the traffic machine: functions that run over its tables.
//!
//! A request passes through them in this order: [`route`] sends it to the owner of its database,
//! [`receive`] admits it there, [`dispatch`] executes it on a connection, [`handle_event`] records
//! the backend server's response, [`confirm`] releases the response, and [`deliver`] passes it to
//! the caller.

mod admission;
mod callers;
mod completion;
mod confirmation;
mod connecting;
mod delivery;
mod dispatching;
mod event_handling;
mod expiry;
mod finishing;
mod owner_loss;
mod probing;
mod quiescence;
mod receiving;
mod reconfiguration;
mod routing;

pub(crate) use callers::admit_caller;
pub(crate) use confirmation::confirm;
pub(crate) use connecting::connect;
pub(crate) use delivery::deliver;
pub(crate) use dispatching::dispatch;
pub(crate) use event_handling::handle_event;
pub(crate) use expiry::{detect_pause, expire, next_deadline_us};
pub(crate) use probing::probe;
pub(crate) use quiescence::report_quiescence;
pub(crate) use receiving::receive;
pub(crate) use routing::route;
