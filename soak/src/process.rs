//! Process of an instance.

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
use standin::users::boot_settings;

/// `retrySlack` in the initial settings.
const INITIAL_RETRY_SLACK: u32 = 56;

/// Name, addresses and files of an instance.
#[derive(Clone, Debug)]
pub(crate) struct InstanceSpec {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    /// Address of the store, through the link of this instance.
    pub(crate) store_address: SocketAddr,
    /// Folder of the settings and the log.
    pub(crate) folder: PathBuf,
}

impl InstanceSpec {
    /// Returns the address at which the instance listens for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the address at which the load balancer checks readiness.
    pub(crate) fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Returns the address at which the instance listens for other instances.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEERS_PORT)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the settings file.
    pub(crate) fn write_settings(&self, retry_slack: u32) -> io::Result<()> {
        let mut document = boot_settings(&self.name, self.ip, self.store_address);
        document["terms"]["bounds"]["retrySlack"] = retry_slack.into();
        std::fs::write(self.settings_path(), document.to_string())
    }

    /// Returns the path of the log, to which all processes of the instance append.
    pub(crate) fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }
}

/// Process of an instance. Killed when dropped.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts an instance that advertises `advertised` as its address for peers.
    pub(crate) fn start(
        program: &Path,
        spec: &InstanceSpec,
        advertised: SocketAddr,
    ) -> io::Result<Self> {
        spec.write_settings(INITIAL_RETRY_SLACK)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(spec.log_path())?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .args(["--users-platform", "--advertise-peers"])
            .arg(advertised.to_string())
            .env(SETTINGS_VARIABLE, spec.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal, named without the `SIG` prefix.
    pub(crate) fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "cannot send SIG{name} to process {id}"
        )))
    }

    pub(crate) fn has_exited(&mut self) -> io::Result<bool> {
        self.child.try_wait().map(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited, which is fine here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
