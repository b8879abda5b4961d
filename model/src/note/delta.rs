//! The changes that a note makes to the objects of one kind.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Objects of one kind to add, change and withdraw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta<T> {
    /// Objects to add; none of them may exist yet.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Existing objects in their new form, which replaces the old one entirely.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of objects to remove.
    #[serde(default)]
    pub withdraw: Vec<Arc<str>>,
}

impl<T> Default for Delta<T> {
    fn default() -> Self {
        Self {
            add: Vec::new(),
            change: Vec::new(),
            withdraw: Vec::new(),
        }
    }
}

impl<T> Delta<T> {
    /// Whether the delta contains no changes.
    pub fn is_empty(&self) -> bool {
        self.add.is_empty() && self.change.is_empty() && self.withdraw.is_empty()
    }
}
