//! What a note does to the objects of one kind.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Objects of one kind that are added, changed and withdrawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta<T> {
    /// Objects that do not exist yet.
    #[serde(default = "Vec::new")]
    pub add: Vec<T>,
    /// Objects that exist, in their new shape.
    #[serde(default = "Vec::new")]
    pub change: Vec<T>,
    /// Names of objects that go.
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
    /// Whether the delta does nothing.
    pub fn is_empty(&self) -> bool {
        self.add.is_empty() && self.change.is_empty() && self.withdraw.is_empty()
    }
}
