//! Connections whose target has responded before the whole body of the request was sent.
//!
//! The target may read on, so its connection stays open until the body has ended, and takes no other
//! request before that.

use std::sync::Arc;

use policy::routing::BodyInFlight;

use super::ProxyState;
use crate::targets::Connection;

/// Puts a connection back in the pool once the body of its request was sent.
pub(super) fn put_back_when_sent(
    proxy_state: &Arc<ProxyState>,
    connection: Connection,
    body_in_flight: Option<Arc<BodyInFlight>>,
) {
    if !connection.is_sending() {
        proxy_state.pool.put_back(connection);
        return;
    }
    let pool_owner = proxy_state.clone();
    proxy_state.background.spawn(async move {
        let sent = finish_sending(&connection).await;
        drop(body_in_flight);
        if sent {
            pool_owner.pool.put_back(connection);
        }
    });
}

/// Closes a connection once the body of its request was sent.
pub(super) fn close_when_sent(connection: Connection) {
    if connection.is_sending() {
        tokio::spawn(async move { finish_sending(&connection).await });
    }
}

async fn finish_sending(connection: &Connection) -> bool {
    let sent = connection.finish_sending().await;
    if let Err(error) = &sent {
        log::warn!(
            "event=body-cut-after-answer target={} reason=\"{error}\"",
            connection.address()
        );
    }
    sent.is_ok()
}
