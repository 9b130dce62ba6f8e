//! Portals that a batch of extended messages has bound.

use std::collections::HashMap;

use super::LocalStatement;

/// What runs a portal.
#[derive(Clone, Debug)]
pub(crate) enum PortalTarget {
    /// A backend server.
    Backend,
    /// The proxy.
    Local(LocalStatement),
}

/// Portals that the present batch has bound.
#[derive(Debug, Default)]
pub(crate) struct Portals {
    unnamed: Option<PortalTarget>,
    named: HashMap<Box<[u8]>, PortalTarget>,
}

impl Portals {
    pub(crate) fn get(&self, name: &[u8]) -> Option<&PortalTarget> {
        if name.is_empty() { self.unnamed.as_ref() } else { self.named.get(name) }
    }

    pub(crate) fn insert(&mut self, name: &[u8], target: PortalTarget) {
        if name.is_empty() {
            self.unnamed = Some(target);
        } else {
            self.named.insert(name.into(), target);
        }
    }

    pub(crate) fn remove(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else {
            self.named.remove(name);
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
