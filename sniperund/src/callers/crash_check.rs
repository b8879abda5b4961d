//! Tells the crash of a target's process from the reset of one connection.
//!
//! A process that has ended has no listener, so its machine refuses new connections. A target that
//! resets connections still accepts them, and one behind a partition does not answer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use model::configuration::Target;
use policy::Input;
use policy::quarantine::Crash;
use policy::quarantine::Fingerprint;
use policy::routing::TargetLoad;
use policy::routing::TargetProcess;

use super::ProxyState;

/// A request that was sent to a target, whose connection may break.
#[derive(Clone, Debug)]
pub(super) struct CrashCheck {
    crash: Crash,
    address: SocketAddr,
    load: Arc<TargetLoad>,
}

impl CrashCheck {
    pub(super) fn new(fingerprint: Fingerprint, target: &Target, load: &Arc<TargetLoad>) -> Self {
        Self {
            crash: Crash {
                fingerprint,
                process: TargetProcess {
                    target: target.name.clone(),
                    incarnation: target.incarnation,
                },
            },
            address: target.address,
            load: load.clone(),
        }
    }

    /// Opens a connection to the target and reports a crash if it is refused. The end of a target
    /// that leaves is no crash.
    pub(super) fn start(self, proxy_state: &Arc<ProxyState>) {
        if self.load.is_leaving() || self.load.is_closed(proxy_state.clock.now_us()) {
            return;
        }
        let proxy_state = proxy_state.clone();
        tokio::spawn(async move {
            let result = match proxy_state.pool.open(self.address).await {
                Ok(connection) => {
                    proxy_state.pool.put_back(connection);
                    "accepted".to_owned()
                }
                Err(error) => {
                    if error.kind() == ErrorKind::ConnectionRefused {
                        proxy_state.control.send(Input::Crashed(self.crash.clone()));
                    }
                    error.kind().to_string()
                }
            };
            log::info!(
                "event=cut-checked request={} target={} connection=\"{result}\"",
                self.crash.fingerprint,
                self.crash.process.target
            );
        });
    }
}
