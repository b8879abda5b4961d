//! Proxies of the testbed: the store link of one instance, and the path from one instance to a target.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use standin::users::wire::RawMessage;
use standin::users::wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// How the store treats the calls of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    Serves,
    /// Answers 429 to each call.
    Refuses,
}

/// Link between one instance and the store.
pub struct StoreLink {
    pub address: SocketAddr,
    state: Arc<StoreLinkState>,
}

struct StoreLinkState {
    store: SocketAddr,
    /// Addresses under which this instance reaches the targets.
    addresses: HashMap<String, String>,
    treatment: Mutex<Treatment>,
    changed: Notify,
}

impl StoreLink {
    /// Starts a link that shows the instance other addresses of the targets.
    pub async fn start(
        store: SocketAddr,
        addresses: HashMap<String, String>,
    ) -> io::Result<StoreLink> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(StoreLinkState {
            store,
            addresses,
            treatment: Mutex::new(Treatment::Serves),
            changed: Notify::new(),
        });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                tokio::spawn(async move {
                    let _ = state.serve(stream).await;
                });
            }
        });
        Ok(StoreLink { address, state })
    }

    /// Sets how the store treats this instance from now on, waiting watches included.
    pub fn set_treatment(&self, treatment: Treatment) {
        *self.state.treatment.lock().unwrap() = treatment;
        self.state.changed.notify_waiters();
    }
}

impl StoreLinkState {
    async fn serve(&self, mut near: TcpStream) -> io::Result<()> {
        let mut far = TcpStream::connect(self.store).await?;
        let (mut near_bytes, mut far_bytes) = (Vec::new(), Vec::new());
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let treatment = *self.treatment.lock().unwrap();
            let call = async {
                let Some(request) = read_message(&mut near, &mut near_bytes).await? else {
                    return Ok::<_, io::Error>(None);
                };
                if treatment == Treatment::Refuses {
                    return Ok(Some(refusal()));
                }
                far.write_all(&bytes_of(&request)).await?;
                read_message(&mut far, &mut far_bytes).await
            };
            let response = tokio::select! {
                response = call => response?,
                // A watch that is waiting may be cut.
                () = &mut changed => return near.set_zero_linger(),
            };
            let Some(response) = response else {
                return Ok(());
            };
            near.write_all(&bytes_of(&self.rewrite(response))).await?;
        }
    }

    /// Replaces the addresses of targets in the items and the events of a response.
    fn rewrite(&self, message: RawMessage) -> RawMessage {
        if self.addresses.is_empty() {
            return message;
        }
        let Ok(mut body) = serde_json::from_slice::<Value>(&message.body) else {
            return message;
        };
        self.rewrite_item(&mut body);
        for list in ["items", "events"] {
            for item in body[list].as_array_mut().into_iter().flatten() {
                self.rewrite_item(item);
            }
        }
        let body = body.to_string().into_bytes();
        let lines = message.head.lines();
        let lines = lines.filter(|line| !line.to_ascii_lowercase().starts_with("content-length:"));
        let head: Vec<&str> = lines.collect();
        let head = format!("{}\r\ncontent-length: {}", head.join("\r\n"), body.len());
        RawMessage { head, body }
    }

    fn rewrite_item(&self, item: &mut Value) {
        let Some(bytes) = item["value"]
            .as_str()
            .and_then(|text| STANDARD.decode(text).ok())
        else {
            return;
        };
        let Ok(mut value) = serde_json::from_slice::<Value>(&bytes) else {
            return;
        };
        let address = value["address"]
            .as_str()
            .and_then(|text| self.addresses.get(text));
        if let Some(address) = address {
            value["address"] = address.as_str().into();
            item["value"] = STANDARD.encode(value.to_string()).into();
        }
    }
}

fn refusal() -> RawMessage {
    RawMessage {
        head: "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0".to_owned(),
        body: Vec::new(),
    }
}

fn bytes_of(message: &RawMessage) -> Vec<u8> {
    let mut bytes = message.head.clone().into_bytes();
    bytes.extend_from_slice(b"\r\n\r\n");
    bytes.extend_from_slice(&message.body);
    bytes
}

/// Path from one instance to one target. While it is cut, its connections are reset and new ones
/// are refused.
pub struct Path {
    pub address: SocketAddr,
    target: SocketAddr,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Path {
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Path> {
        let path = Path {
            address,
            target,
            task: Mutex::new(None),
        };
        path.mend().await?;
        Ok(path)
    }

    pub fn cut(&self) {
        if let Some(task) = self.task.lock().unwrap().take() {
            task.abort();
        }
    }

    pub async fn mend(&self) -> io::Result<()> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(64)?;
        let target = self.target;
        let task = tokio::spawn(async move {
            // Dropped with this task, and its connections with it.
            let mut connections = JoinSet::new();
            while let Ok((mut near, _)) = listener.accept().await {
                let Ok(mut far) = TcpStream::connect(target).await else {
                    continue;
                };
                let _ = near.set_zero_linger();
                connections.spawn(async move {
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                });
            }
        });
        *self.task.lock().unwrap() = Some(task);
        Ok(())
    }
}
