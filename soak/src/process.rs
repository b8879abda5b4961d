//! A real process of an instance.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use standin::users::CALLERS_PORT;
use standin::users::PEERS_PORT;
use standin::users::READY_PORT;
use standin::users::SETTINGS_VARIABLE;
use standin::users::boot;

/// `retrySlack` at the start.
const RETRY_RESERVE: u32 = 56;

/// Where an instance runs and what it runs between.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    /// Address of the store, as this instance reaches it.
    pub(crate) store: SocketAddr,
    /// Folder of its settings and log.
    pub(crate) folder: PathBuf,
}

impl Place {
    /// Where callers reach it.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Where the balancer asks for readiness.
    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Where it listens for other instances.
    pub(crate) fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the settings file.
    pub(crate) fn write_settings(&self, retry_reserve: u32) -> io::Result<()> {
        let mut document = boot(&self.name, self.ip, self.store);
        document["terms"]["bounds"]["retrySlack"] = retry_reserve.into();
        std::fs::write(self.settings(), document.to_string())
    }

    /// Its log, that of earlier processes included.
    pub(crate) fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }
}

/// A running process; it is killed when dropped.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts an instance, which others reach through `advertised`.
    pub(crate) fn start(program: &Path, place: &Place, advertised: SocketAddr) -> io::Result<Self> {
        place.write_settings(RETRY_RESERVE)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(place.log())?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .args(["--users-platform", "--advertise-peers"])
            .arg(advertised.to_string())
            .env(SETTINGS_VARIABLE, place.settings())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("process {id} takes no SIG{name}")))
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> io::Result<bool> {
        self.child.try_wait().map(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended cannot be killed, which is what is asked for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
