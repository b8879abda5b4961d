//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// An entry instance of sniperun.
///
/// Example: sniperund --settings examples/rodopi/smolyan-1.jsonc
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// file with the instance's settings, JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// run on the users' platform, which provides its own settings file
    #[argh(switch)]
    pub users_platform: bool,
    /// address at which other instances reach this one, if it differs from the
    /// listening address
    #[argh(option)]
    pub advertise_peers: Option<SocketAddr>,
}
