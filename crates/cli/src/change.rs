//! Differences between configurations.

mod change_kind;
mod key_change;

use core::fmt;

use flamingorock_config::{CanonicalSection, services_sections};
use flamingorock_core::configuration::Configuration;
use serde::Serialize;

pub use change_kind::ChangeKind;
pub use key_change::KeyChange;

/// A section of the service file that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Section, such as `rank ledger-commun/urgent`.
    pub section: String,
    /// How it differs.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// What leads from one configuration to another: the removed sections, then the others in the order
/// of the new document.
#[must_use]
pub fn compare(from: Option<&Configuration>, to: &Configuration) -> Vec<Change> {
    let from = from.map(services_sections).unwrap_or_default();
    let to = services_sections(to);
    let find = |list: &[CanonicalSection], name: &str| {
        list.iter().find(|section| section.name == name).cloned()
    };
    let removed = from.iter().filter(|section| find(&to, &section.name).is_none());
    let mut changes: Vec<Change> = removed
        .map(|section| Change { section: section.name.clone(), kind: ChangeKind::Removed })
        .collect();
    for section in &to {
        let kind = match find(&from, &section.name) {
            None => ChangeKind::Added,
            Some(old) if old == *section => continue,
            Some(old) => ChangeKind::Changed { keys: compare_keys(&old, section) },
        };
        changes.push(Change { section: section.name.clone(), kind });
    }
    changes
}

/// Sections of one kind have the same keys in the same order.
fn compare_keys(from: &CanonicalSection, to: &CanonicalSection) -> Vec<KeyChange> {
    let pairs = from.keys.iter().zip(&to.keys).filter(|(old, new)| old != new);
    pairs
        .map(|((_, old), (key, new))| KeyChange {
            key: (*key).to_owned(),
            from: old.clone(),
            to: new.clone(),
        })
        .collect()
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {}", self.section),
            ChangeKind::Removed => write!(f, "- {}", self.section),
            ChangeKind::Changed { keys } => {
                write!(f, "~ {}", self.section)?;
                keys.iter().try_for_each(|key| write!(f, "\n    {key}"))
            }
        }
    }
}
