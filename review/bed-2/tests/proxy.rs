//! A proxy between an instance and the store, on a link of limited speed.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// A link of limited speed towards the instance.
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

/// Starts a proxy on a link of a speed in Mbit/s; returns its address.
pub fn start_on_link(ip: &str, to: &str, mbps: u64) -> String {
    let listener = TcpListener::bind((ip, 0)).expect("the proxy cannot listen");
    let address = listener.local_addr().expect("no address").to_string();
    let link = Arc::new(Link {
        bytes_per_s: mbps * 1_000_000 / 8,
        free_from: Mutex::new(Instant::now()),
    });
    let to = to.to_owned();
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(store) = TcpStream::connect(&to) else {
                continue;
            };
            let _ = caller.set_nodelay(true);
            let _ = store.set_nodelay(true);
            if let (Ok(from), Ok(to)) = (caller.try_clone(), store.try_clone()) {
                std::thread::spawn(move || carry(from, to, None));
            }
            let link = link.clone();
            std::thread::spawn(move || carry(store, caller, Some(&*link)));
        }
    });
    address
}

/// Carries bytes in one direction until the channel ends.
fn carry(mut from: TcpStream, mut to: TcpStream, link: Option<&Link>) {
    let mut part = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut part) {
        if bytes == 0 {
            break;
        }
        if let Some(link) = link {
            link.pass(bytes);
        }
        if to.write_all(&part[..bytes]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
