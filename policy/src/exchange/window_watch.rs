//! Tells a target that pauses while it reads a body from one that is dead or cut off.
//!
//! The system ends a connection on which nothing advances for the acknowledgement timeout, also if
//! the peer acknowledges each probe of its closed receive window. The watch looks at the
//! connection from time to time. While acknowledgements arrive although nothing advances, it moves
//! the system's timeout ahead in steps of about a second. The system sends a probe by the end of
//! its timeout at the latest, so probes stay about a second apart instead of backing off, and a peer
//! that dies during its pause is noticed within the acknowledgement timeout.

/// Time without an acknowledgement after which a peer counts as dead, in microseconds.
pub const ACK_TIMEOUT_US: u64 = 3_000_000;
/// Time between looks at a connection, in microseconds.
pub const WINDOW_CHECK_PERIOD_US: u64 = 250_000;
/// Time by which the system's timeout is ahead, in microseconds: short enough for two probes in
/// the acknowledgement timeout, as one may be lost, and long enough for a process that is
/// throttled for some tenths of a second.
const TIMEOUT_AHEAD_US: u64 = 1_250_000;

/// What the system knows of the sending side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendState {
    /// Bytes that the peer has acknowledged.
    pub acked_bytes: u64,
    /// Whether bytes wait for being sent or acknowledged.
    pub has_unacked: bool,
    /// Time since the last acknowledgement, in microseconds.
    pub since_ack_us: u64,
}

/// What follows a look at the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowStep {
    /// The system's timeout stays as it is.
    Keep,
    /// The system's timeout becomes this, in microseconds.
    SetTimeout(u64),
    /// The peer is dead.
    Dead,
}

/// Progress of the bytes that are sent on a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowWatch {
    acked_bytes: u64,
    stalled_since_us: Option<u64>,
    is_extended: bool,
}

impl WindowWatch {
    /// Looks at the connection.
    pub fn check(&mut self, now_us: u64, state: SendState) -> WindowStep {
        let has_advanced = state.acked_bytes != self.acked_bytes || !state.has_unacked;
        self.acked_bytes = state.acked_bytes;
        let stalled_since_us = match self.stalled_since_us {
            Some(since_us) if !has_advanced => since_us,
            _ => {
                self.stalled_since_us = Some(now_us);
                return match std::mem::take(&mut self.is_extended) {
                    true => WindowStep::SetTimeout(ACK_TIMEOUT_US),
                    false => WindowStep::Keep,
                };
            }
        };
        let stalled_us = now_us.saturating_sub(stalled_since_us);
        if state.since_ack_us >= ACK_TIMEOUT_US && self.is_extended {
            return WindowStep::Dead;
        }
        // An acknowledgement since then has let nothing advance.
        if state.since_ack_us < stalled_us || self.is_extended {
            self.is_extended = true;
            let timeout_us = stalled_us + TIMEOUT_AHEAD_US;
            return WindowStep::SetTimeout(timeout_us.max(ACK_TIMEOUT_US));
        }
        WindowStep::Keep
    }
}
