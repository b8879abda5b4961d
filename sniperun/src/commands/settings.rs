//! Commands on settings.

use std::path::Path;

use sniperund::Settings;

use super::Result;

/// Checks the settings file of an instance.
pub(super) fn check(path: &Path) -> Result<String> {
    let settings = Settings::load(path)?;
    Ok(format!(
        "{}: settings of instance {} are in order\n",
        path.display(),
        settings.id
    ))
}
