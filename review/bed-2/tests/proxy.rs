//! A proxy in the channels between the instances and the store, which can let channels go silent.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// One channel.
struct Flow {
    used: Mutex<Instant>,
    is_silent: AtomicBool,
    is_open: AtomicBool,
}

/// A link of limited speed towards the instances.
struct Link {
    bytes_per_s: u64,
    free_from: Mutex<Instant>,
}

impl Link {
    /// Waits until the bytes have passed.
    fn pass(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        let until = {
            let mut free_from = self.free_from.lock().unwrap();
            *free_from = (*free_from).max(Instant::now()) + time;
            *free_from
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

#[derive(Clone)]
pub struct Proxy {
    pub address: String,
    flows: Arc<Mutex<Vec<Arc<Flow>>>>,
    link: Option<Arc<Link>>,
}

impl Proxy {
    pub fn start(ip: &str, to: &str) -> Self {
        Self::start_with(ip, to, None)
    }

    /// Starts a proxy on a link of a speed in Mbit/s.
    pub fn start_on_link(ip: &str, to: &str, mbps: u64) -> Self {
        let link = Link {
            bytes_per_s: mbps * 1_000_000 / 8,
            free_from: Mutex::new(Instant::now()),
        };
        Self::start_with(ip, to, Some(Arc::new(link)))
    }

    fn start_with(ip: &str, to: &str, link: Option<Arc<Link>>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the proxy cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let proxy = Self {
            address,
            flows: Arc::default(),
            link,
        };
        let link = proxy.link.clone();
        let (flows, to) = (proxy.flows.clone(), to.to_owned());
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(store) = TcpStream::connect(&to) else {
                    continue;
                };
                let flow = Arc::new(Flow {
                    used: Mutex::new(Instant::now()),
                    is_silent: AtomicBool::new(false),
                    is_open: AtomicBool::new(true),
                });
                flows.lock().unwrap().push(flow.clone());
                let _ = caller.set_nodelay(true);
                let _ = store.set_nodelay(true);
                if let (Ok(from), Ok(to)) = (caller.try_clone(), store.try_clone()) {
                    let flow = flow.clone();
                    std::thread::spawn(move || carry(from, to, &flow, None));
                }
                let link = link.clone();
                std::thread::spawn(move || carry(store, caller, &flow, link.as_deref()));
            }
        });
        proxy
    }

    /// Lets all open channels go silent for good that carried nothing for a time. New ones work.
    /// Returns how many went silent, and how many stay.
    pub fn silence_idle(&self, idle: Duration) -> (usize, usize) {
        let mut flows = self.flows.lock().unwrap();
        flows.retain(|flow| flow.is_open.load(Ordering::Acquire));
        let is_idle = |flow: &&Arc<Flow>| flow.used.lock().unwrap().elapsed() >= idle;
        let idle: Vec<_> = flows.iter().filter(is_idle).cloned().collect();
        let silenced = idle
            .iter()
            .filter(|flow| !flow.is_silent.swap(true, Ordering::AcqRel));
        let silenced = silenced.count();
        let is_silent = |flow: &&Arc<Flow>| flow.is_silent.load(Ordering::Acquire);
        let silent = flows.iter().filter(is_silent).count();
        (silenced, flows.len() - silent)
    }
}

/// Carries bytes in one direction until the channel ends. What comes on a silent one is dropped.
fn carry(mut from: TcpStream, mut to: TcpStream, flow: &Flow, link: Option<&Link>) {
    let mut part = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut part) {
        if bytes == 0 {
            break;
        }
        if flow.is_silent.load(Ordering::Acquire) {
            continue;
        }
        *flow.used.lock().unwrap() = Instant::now();
        if let Some(link) = link {
            link.pass(bytes);
        }
        if to.write_all(&part[..bytes]).is_err() {
            break;
        }
    }
    // The end of a silent channel reaches nobody either.
    flow.is_open.store(false, Ordering::Release);
    if !flow.is_silent.load(Ordering::Acquire) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
