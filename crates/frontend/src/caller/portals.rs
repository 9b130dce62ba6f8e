//! Portals that a batch of extended messages has bound.

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
    named: Vec<(Box<[u8]>, PortalTarget)>,
}

impl Portals {
    pub(crate) fn get(&self, name: &[u8]) -> Option<&PortalTarget> {
        if name.is_empty() {
            return self.unnamed.as_ref();
        }
        self.named.iter().find(|(portal, _)| **portal == *name).map(|(_, target)| target)
    }

    pub(crate) fn insert(&mut self, name: &[u8], target: PortalTarget) {
        self.remove(name);
        if name.is_empty() {
            self.unnamed = Some(target);
        } else {
            self.named.push((name.into(), target));
        }
    }

    pub(crate) fn remove(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else {
            self.named.retain(|(portal, _)| **portal != *name);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.unnamed = None;
        self.named.clear();
    }
}
