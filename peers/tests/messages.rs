//! Tests that messages are delivered and that malformed messages are refused.

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

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

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
    let (envelope_sender, received) = mpsc::unbounded_channel();
    let handler = Arc::new(move |envelope| drop(envelope_sender.send(envelope)));
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(address, 8, counters.clone(), handler).await;
    (listener.expect("a port is free"), received)
}

#[tokio::test]
async fn messages_arrive_in_order() {
    let counters = Arc::new(Counters::default());
    let (listener, mut received) = listener(&counters).await;
    let sender = Sender::new(Arc::new(Counters::default()));
    for sequence in 0..20 {
        sender.send(listener.address(), &envelope(sequence));
    }
    for sequence in 0..20 {
        let next = tokio::time::timeout(RECEIVE_TIMEOUT, received.recv()).await;
        assert_eq!(next.expect("a message arrives"), Some(envelope(sequence)));
    }
}

#[tokio::test]
async fn malformed_input_is_refused_and_the_listener_keeps_serving() {
    let counters = Arc::new(Counters::default());
    let (listener, mut received) = listener(&counters).await;
    for garbage in [
        &b"\xff\xff\xff\xff"[..],
        &b"\x00\x00\x00\x04abcd"[..],
        &b"GET / HTTP/1.1\r\n\r\n"[..],
    ] {
        let mut stream = tokio::net::TcpStream::connect(listener.address())
            .await
            .expect("the listener accepts connections");
        stream
            .write_all(garbage)
            .await
            .expect("the connection is writable");
        stream
            .shutdown()
            .await
            .expect("the connection can be shut down");
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(RECEIVE_TIMEOUT, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "the listener closes the connection");
    }
    assert!(counters.refused.load(Ordering::Relaxed) >= 2);
    Sender::new(Arc::new(Counters::default())).send(listener.address(), &envelope(7));
    let next = tokio::time::timeout(RECEIVE_TIMEOUT, received.recv()).await;
    assert_eq!(next.expect("a message arrives"), Some(envelope(7)));
}

#[test]
fn decoding_distinguishes_other_versions_and_malformed_messages() {
    let bytes = peers::encode(&envelope(1)).expect("the message fits");
    assert_eq!(peers::decode(VERSION, &bytes), Ok(envelope(1)));
    assert_eq!(peers::decode(VERSION + 1, &bytes), Err(CodecError::Version));
    assert_eq!(
        peers::decode(VERSION, &bytes[..bytes.len() - 1]),
        Err(CodecError::Malformed)
    );
    let longer = [bytes, vec![0]].concat();
    assert_eq!(peers::decode(VERSION, &longer), Err(CodecError::Malformed));
    let large = vec![0; MAX_MESSAGE_BYTES + 1];
    assert_eq!(peers::decode(VERSION, &large), Err(CodecError::Oversized));
}
