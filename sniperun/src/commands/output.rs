//! Output of a command.

/// Text that a command prints, and whether it reports errors.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Text for the standard output.
    pub text: String,
    /// Whether what was checked has errors.
    pub has_errors: bool,
}

impl From<String> for Output {
    fn from(text: String) -> Self {
        Self {
            text,
            has_errors: false,
        }
    }
}
