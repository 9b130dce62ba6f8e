//! Commands that talk to the admin ports of proxies.

mod burn;
mod command_report;
mod drain;
mod promote;
mod status;
mod value_text;

pub(crate) use burn::burn;
pub(crate) use drain::drain;
pub(crate) use promote::promote;
pub(crate) use status::status;
