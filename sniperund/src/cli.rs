//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// An entry instance of sniperun.
///
/// Example: sniperund --settings examples/rodopi/smolyan-1.jsonc
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// file with the instance's settings, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}
