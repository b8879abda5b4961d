//! Commands that run at most once, identified by an idempotency key or a ticket.

use std::sync::Arc;

use hyper::HeaderMap;
use model::Outcome;
use model::ResultCode;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::command::Ticket;

use super::ProxyState;
use super::headers::names;

const MAX_KEY_BYTES: usize = 200;

/// The identifier by which a repeated command is recognised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CommandId {
    /// An idempotency key chosen by the caller.
    Key(Arc<str>),
    /// A ticket issued by an instance.
    Ticket(Ticket),
}

impl CommandId {
    /// Reads the key or ticket from a request's headers; `None` if it has neither.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BadCommandKey`] if the key or ticket is invalid or both are present.
    pub(super) fn read(headers: &HeaderMap) -> Result<Option<Self>, ResultCode> {
        let invalid = ResultCode::BadCommandKey;
        let text = |name: &str| {
            let value = headers.get(name);
            value
                .map(|value| value.to_str().map_err(|_| invalid))
                .transpose()
        };
        match (text(names::KEY)?, text(names::TICKET)?) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(invalid),
            (Some(key), None) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(invalid),
            (Some(key), None) => Ok(Some(Self::Key(key.into()))),
            (None, Some(ticket)) => Ok(Some(Self::Ticket(ticket.parse().map_err(|_| invalid)?))),
        }
    }
}

/// Records the outcome of a command; if it is dropped before that, the outcome is recorded as
/// unknown.
pub(super) struct CommandRecord {
    proxy_state: Arc<ProxyState>,
    kind: Option<CommandKind>,
}

enum CommandKind {
    Claim { key: Arc<str>, attempt: Arc<str> },
    Ticket(Ticket),
}

impl CommandRecord {
    /// Creates a record for a request without key or ticket.
    pub(super) fn none(proxy_state: Arc<ProxyState>) -> Self {
        Self {
            proxy_state,
            kind: None,
        }
    }

    /// Creates a record for a key that is yet to be claimed.
    pub(super) fn claim(proxy_state: Arc<ProxyState>, key: Arc<str>) -> Self {
        let attempt = proxy_state.next_attempt_tag();
        Self {
            proxy_state,
            kind: Some(CommandKind::Claim { key, attempt }),
        }
    }

    /// Creates a record for a ticket whose command has begun.
    pub(super) fn ticket(proxy_state: Arc<ProxyState>, ticket: Ticket) -> Self {
        Self {
            proxy_state,
            kind: Some(CommandKind::Ticket(ticket)),
        }
    }

    /// Whether the command has a key or a ticket.
    pub(super) fn has_id(&self) -> bool {
        self.kind.is_some()
    }

    /// Whether a key must be claimed before the command is sent.
    pub(super) fn claims_key(&self) -> bool {
        matches!(self.kind, Some(CommandKind::Claim { .. }))
    }

    /// Claims the key, if the command has one. If another attempt holds the key or too many
    /// claims are in flight, the record is cleared, so that no outcome is recorded for the key.
    pub(super) async fn try_claim(&mut self) -> ClaimAnswer {
        let Some(CommandKind::Claim { key, attempt }) = &self.kind else {
            return ClaimAnswer::Won;
        };
        let Some(claims) = &self.proxy_state.claims else {
            return ClaimAnswer::Unavailable;
        };
        let answer = claims.claim(key, attempt).await;
        if matches!(answer, ClaimAnswer::Held(_) | ClaimAnswer::TooMany) {
            self.kind = None;
        }
        answer
    }

    /// Records the outcome, once; later calls have no effect.
    pub(super) fn finish(&mut self, outcome: Outcome) {
        let state = match outcome {
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Ran => ClaimState::Ran,
            Outcome::Unknown => ClaimState::Unknown,
        };
        match self.kind.take() {
            Some(CommandKind::Claim { key, attempt }) => {
                let Some(claims) = self.proxy_state.claims.clone() else {
                    return;
                };
                self.proxy_state.background.spawn(async move {
                    if !claims.finish(&key, &attempt, state).await {
                        log::warn!("event=claim-not-recorded key=\"{key}\" state={state:?}");
                    }
                });
            }
            Some(CommandKind::Ticket(ticket)) => {
                self.proxy_state.tickets.lock().finish(&ticket, state)
            }
            None => {}
        }
    }
}

impl Drop for CommandRecord {
    fn drop(&mut self) {
        self.finish(Outcome::Unknown);
    }
}
