//! Messages that are taken, and messages that are refused and counted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use peers::CodecError;
use peers::Counters;
use peers::Listener;
use peers::MAX_MESSAGE_BYTES;
use peers::Sender;
use peers::VERSION;
use policy::instance::Envelope;
use policy::instance::Message;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(30);

fn envelope(sequence: u64) -> Envelope {
    Envelope {
        from: "a".into(),
        incarnation: 1,
        note: 2,
        targets_changed: 0,
        view_age_ms: None,
        member_updates: Vec::new(),
        message: Message::Ping { sequence },
    }
}

async fn listener(counters: &Arc<Counters>) -> (Listener, mpsc::UnboundedReceiver<Envelope>) {
    let (told, heard) = mpsc::unbounded_channel();
    let handler = Arc::new(move |envelope| drop(told.send(envelope)));
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(address, 8, counters.clone(), handler).await;
    (listener.expect("a port is free"), heard)
}

#[tokio::test]
async fn messages_arrive_in_order() {
    let counters = Arc::new(Counters::default());
    let (listener, mut heard) = listener(&counters).await;
    let sender = Sender::new(Arc::new(Counters::default()));
    for sequence in 0..20 {
        sender.send(listener.address(), &envelope(sequence));
    }
    for sequence in 0..20 {
        let next = tokio::time::timeout(PATIENCE, heard.recv()).await;
        assert_eq!(next.expect("a message comes"), Some(envelope(sequence)));
    }
}

#[tokio::test]
async fn garbage_is_refused_and_others_are_still_served() {
    let counters = Arc::new(Counters::default());
    let (listener, mut heard) = listener(&counters).await;
    for garbage in [
        &b"\xff\xff\xff\xff"[..],
        &b"\x00\x00\x00\x04abcd"[..],
        &b"GET / HTTP/1.1\r\n\r\n"[..],
    ] {
        let mut stream = tokio::net::TcpStream::connect(listener.address())
            .await
            .expect("it listens");
        stream
            .write_all(garbage)
            .await
            .expect("it can be written to");
        stream.shutdown().await.expect("it can be ended");
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "the connection ends");
    }
    assert!(counters.refused.load(Ordering::Relaxed) >= 2);
    Sender::new(Arc::new(Counters::default())).send(listener.address(), &envelope(7));
    let next = tokio::time::timeout(PATIENCE, heard.recv()).await;
    assert_eq!(next.expect("a message comes"), Some(envelope(7)));
}

#[test]
fn other_versions_and_broken_messages_are_told_apart() {
    let bytes = peers::encode(&envelope(1)).expect("it fits");
    assert_eq!(peers::decode(VERSION, &bytes), Ok(envelope(1)));
    assert_eq!(peers::decode(VERSION + 1, &bytes), Err(CodecError::Version));
    assert_eq!(
        peers::decode(VERSION, &bytes[..bytes.len() - 1]),
        Err(CodecError::Garbled)
    );
    let longer = [bytes, vec![0]].concat();
    assert_eq!(peers::decode(VERSION, &longer), Err(CodecError::Garbled));
    let large = vec![0; MAX_MESSAGE_BYTES + 1];
    assert_eq!(peers::decode(VERSION, &large), Err(CodecError::Oversized));
}
