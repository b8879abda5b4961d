//! Commands that run at most once: the key or ticket behind a request.

use std::sync::Arc;

use hyper::HeaderMap;
use model::Outcome;
use model::ResultCode;
use policy::command::ClaimAnswer;
use policy::command::ClaimState;
use policy::command::Ticket;

use super::Entry;
use super::headers::names;

const MAX_KEY_BYTES: usize = 200;

/// How a command is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CommandName {
    /// By a key of the caller's.
    Key(Arc<str>),
    /// By a ticket of an instance's.
    Ticket(Ticket),
}

impl CommandName {
    /// Reads the name off a request's headers.
    pub(super) fn read(headers: &HeaderMap) -> Result<Option<Self>, ResultCode> {
        let bad = ResultCode::BadCommandKey;
        let text = |name: &str| {
            let value = headers.get(name);
            value
                .map(|value| value.to_str().map_err(|_| bad))
                .transpose()
        };
        match (text(names::KEY)?, text(names::TICKET)?) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(bad),
            (Some(key), None) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(bad),
            (Some(key), None) => Ok(Some(Self::Key(key.into()))),
            (None, Some(ticket)) => Ok(Some(Self::Ticket(ticket.parse().map_err(|_| bad)?))),
        }
    }
}

/// Records what becomes of a command, whichever way its request ends.
pub(super) struct CommandRecord {
    entry: Arc<Entry>,
    kind: Option<Kind>,
}

enum Kind {
    Claim { key: Arc<str>, attempt: Arc<str> },
    Ticket(Ticket),
}

impl CommandRecord {
    /// For a request without a name.
    pub(super) fn none(entry: Arc<Entry>) -> Self {
        Self { entry, kind: None }
    }

    /// For a key that is about to be claimed.
    pub(super) fn claim(entry: Arc<Entry>, key: Arc<str>) -> Self {
        let attempt = entry.attempt_tag();
        Self {
            entry,
            kind: Some(Kind::Claim { key, attempt }),
        }
    }

    /// For a ticket that has begun.
    pub(super) fn ticket(entry: Arc<Entry>, ticket: Ticket) -> Self {
        Self {
            entry,
            kind: Some(Kind::Ticket(ticket)),
        }
    }

    /// Whether the command has a key or a ticket.
    pub(super) fn is_named(&self) -> bool {
        self.kind.is_some()
    }

    /// Whether a key must be claimed first.
    pub(super) fn claims_key(&self) -> bool {
        matches!(self.kind, Some(Kind::Claim { .. }))
    }

    /// Claims the key.
    pub(super) async fn make_claim(&mut self) -> ClaimAnswer {
        let Some(Kind::Claim { key, attempt }) = &self.kind else {
            return ClaimAnswer::Won;
        };
        let Some(claims) = &self.entry.claims else {
            return ClaimAnswer::Unavailable;
        };
        let answer = claims.claim(key, attempt).await;
        if matches!(answer, ClaimAnswer::Held(_) | ClaimAnswer::TooMany) {
            self.kind = None;
        }
        answer
    }

    /// Records the outcome.
    pub(super) fn finish(&mut self, outcome: Outcome) {
        let state = match outcome {
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Ran => ClaimState::Ran,
            Outcome::Unknown => ClaimState::Unknown,
        };
        match self.kind.take() {
            Some(Kind::Claim { key, attempt }) => {
                let Some(claims) = self.entry.claims.clone() else {
                    return;
                };
                self.entry.background.spawn(async move {
                    if !claims.finish(&key, &attempt, state).await {
                        log::warn!("event=claim-not-recorded key=\"{key}\" state={state:?}");
                    }
                });
            }
            Some(Kind::Ticket(ticket)) => self.entry.tickets.lock().finish(&ticket, state),
            None => {}
        }
    }
}

impl Drop for CommandRecord {
    fn drop(&mut self) {
        self.finish(Outcome::Unknown);
    }
}
