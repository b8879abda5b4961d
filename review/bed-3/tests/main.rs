//! Testbed of the review's scripts: `bed-3 CASE FOLDER`. Exits with 0 if the rule held, with 1 if it
//! was broken, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod added_route;
mod large_release;
mod proxy;
mod restarted_target;
mod route_name;
mod target;

use std::fmt::Write;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use standin::users::SETTINGS_VARIABLE;
use standin::users::boot_settings;
use standin::users::wire::RawMessage;
use standin::users::wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const TIME_LIMIT: Duration = Duration::from_secs(100);

/// An instance's process. Killed when dropped.
pub struct Instance {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Instance {
    /// Starts an instance with the command of the deploy file, in the folder of the project.
    pub fn start(name: &str, ip: IpAddr, store: SocketAddr, folder: &Path) -> io::Result<Instance> {
        let mut settings = boot_settings(name, ip, store);
        let bounds = &mut settings["terms"]["bounds"];
        for (key, value) in [
            ("stableWindow", "3000ms"),
            ("configApply", "2000ms"),
            ("rollbackSlack", "250ms"),
            ("maxSkew", "5000ms"),
            ("drain", "2000ms"),
            ("lossSlack", "200ms"),
            ("retryWindow", "10s"),
        ] {
            bounds[key] = value.into();
        }
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/sniperund")
            .arg("--users-platform")
            .env(SETTINGS_VARIABLE, path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Instance {
            child,
            front: SocketAddr::new(ip, standin::users::CALLERS_PORT),
            ready: SocketAddr::new(ip, standin::users::READY_PORT),
        })
    }

    /// Waits until the instance reports that it is ready.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            if is_ready(self.ready).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(io::Error::other("an instance was not ready in time"))
    }
}

/// Asks at the address `ready` of an instance, as the platform does.
pub async fn is_ready(ready: SocketAddr) -> bool {
    let text = "GET /sniperun/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let message = exchange(ready, text).await;
    message.is_ok_and(|message| message.head.starts_with("HTTP/1.1 200"))
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one request on a new connection and reads the answer.
pub async fn exchange(to: SocketAddr, text: &str) -> io::Result<RawMessage> {
    let call = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(text.as_bytes()).await?;
        let message = read_message(&mut stream, &mut Vec::new()).await?;
        message.ok_or_else(|| io::Error::other("closed"))
    };
    tokio::time::timeout(Duration::from_secs(6), call).await?
}

/// Loopback addresses of this run.
pub fn block_address(last: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, (high & 0x3f) | 0x40, low, last))
}

/// What was sent, answered and run, as text.
#[derive(Default)]
pub struct Record(String);

impl Record {
    pub fn line(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.0, "{text}");
    }
}

async fn run(case: &str, trouble: bool, scratch: &Path, record: &mut Record) -> io::Result<bool> {
    std::fs::create_dir_all(scratch)?;
    match case {
        "stale-helper" => large_release::run_stale_helper(trouble, scratch, record).await,
        "rejected-machine" => large_release::run_rejected_machine(trouble, scratch, record).await,
        "added-route" => added_route::run(trouble, scratch, record).await,
        "route-name" => route_name::run(trouble, scratch, record).await,
        "restarted-target" => restarted_target::run(trouble, scratch, record).await,
        _ => Err(io::Error::other("no such case")),
    }
}

async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => drop(terminate.recv().await),
        Err(_) => std::future::pending().await,
    }
}

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = arguments.get(2).map_or(".", String::as_str).to_owned();
    let scratch = std::env::temp_dir().join(format!("bed-3-{}", std::process::id()));
    let mut record = Record::default();
    let case = arguments.get(1).map_or("", String::as_str);
    // Instances are killed when the case is dropped.
    let result = tokio::select! {
        result = run(case, trouble, &scratch, &mut record) => result,
        _ = tokio::signal::ctrl_c() => Err(io::Error::other("interrupted")),
        () = terminated() => Err(io::Error::other("terminated")),
        () = tokio::time::sleep(TIME_LIMIT) => Err(io::Error::other("out of time")),
    };
    let (code, verdict) = match result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&verdict);
    println!("{verdict}");
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs in {}", scratch.display());
    }
    let _ = std::fs::write(Path::new(&folder).join("record.txt"), record.0);
    std::process::exit(code);
}
