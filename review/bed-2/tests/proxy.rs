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

#[derive(Clone)]
pub struct Proxy {
    pub address: String,
    flows: Arc<Mutex<Vec<Arc<Flow>>>>,
}

impl Proxy {
    pub fn start(ip: &str, to: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the proxy cannot listen");
        let address = listener.local_addr().expect("no address").to_string();
        let proxy = Self {
            address,
            flows: Arc::default(),
        };
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
                    std::thread::spawn(move || carry(from, to, &flow));
                }
                std::thread::spawn(move || carry(store, caller, &flow));
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
fn carry(mut from: TcpStream, mut to: TcpStream, flow: &Flow) {
    let mut part = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut part) {
        if bytes == 0 {
            break;
        }
        if flow.is_silent.load(Ordering::Acquire) {
            continue;
        }
        *flow.used.lock().unwrap() = Instant::now();
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
