//! Handles messages from the control threads of other proxies.

use super::{configuration_changes, handover};
use crate::HostId;
use crate::control::Action;
use crate::control::tables::{Document, Tables};
use crate::message::ControlMessage;

pub(crate) fn run(tables: &mut Tables) {
    for (from, message) in core::mem::take(&mut tables.inputs.messages) {
        match message {
            ControlMessage::ConfigurationRequest => send_configuration(tables, from),
            ControlMessage::ConfigurationDocument { version, text } => {
                tables.configuration.fetch = None;
                configuration_changes::submit(tables, Document { version, text });
            }
            ControlMessage::TakeOver { database, from, from_epoch } => {
                handover::accept_offer(tables, database, from, from_epoch);
            }
        }
    }
}

fn send_configuration(tables: &mut Tables, to: HostId) {
    let Some(text) = tables.configuration.text.clone() else { return };
    let version = tables.configuration.current.version;
    let message = ControlMessage::ConfigurationDocument { version, text };
    tables.actions.push(Action::SendMessage { to, message });
}
