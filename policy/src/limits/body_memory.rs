//! How much of an instance's memory the bodies of requests and responses may take.
//!
//! A request's body is admitted if the bytes that it needs at once fit. The last part of the limit
//! is left to small bodies, so that these are served while large ones are refused. Responses are
//! never refused, as their requests have run; while memory is scarce, each connection holds and
//! reads only little at a time, which slows both sides down to the slower one.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Share of a machine's memory that bodies may take, as a divisor.
pub const MEMORY_DIVISOR: u64 = 4;
/// Memory for bodies on machines whose memory limit is not known, in bytes: what 4,096 requests
/// in flight take at 64 KB each.
pub const DEFAULT_BODY_MEMORY_BYTES: u64 = 256 << 20;
/// Largest body that may use the last part of the limit, in bytes.
const SMALL_BODY_BYTES: u64 = 16 << 10;
/// Part of the limit that is left to small bodies, as a divisor.
const SMALL_PART_DIVISOR: u64 = 8;
/// Memory that a streamed body takes besides the bytes that are counted as they pass, in bytes: the
/// read buffer of its connection.
const STREAM_BYTES: u64 = 32 << 10;
/// Length from which the read buffers of a body's connection grow, in bytes.
const LONG_BODY_BYTES: u64 = 16 << 10;
/// Memory that the read buffers of a long body take, in bytes. 330 unread responses took 120 KB each
/// besides the bytes that were counted as they passed.
const LONG_BODY_BUFFER_BYTES: u64 = 128 << 10;
/// Part of the limit beyond which memory is scarce, as a divisor: of a machine of 160 MB, 40 long
/// bodies with full buffers. 260 MB and 600 callers that read nothing keep a process below 60 MB.
const SCARCE_DIVISOR: u64 = 8;
/// Bytes that a connection may hold while memory is scarce.
const SCARCE_CONNECTION_BYTES: u64 = 16 << 10;
/// Bytes that are read from a connection at once while memory is scarce.
const SCARCE_READ_BYTES: usize = 8 << 10;
/// Memory that the read buffers of a long body take while memory is scarce, in bytes: two reads.
const SCARCE_BUFFER_BYTES: u64 = 2 * SCARCE_READ_BYTES as u64;
/// Part of the limit that a socket may hold unsent, as a divisor, and its bounds. Bytes in flight
/// are not counted, so that throughput on long links is unchanged.
const UNSENT_DIVISOR: u64 = 64;
const MIN_UNSENT_BYTES: u64 = 128 << 10;
const MAX_UNSENT_BYTES: u64 = 1 << 20;

/// The bytes of bodies that an instance holds, over all its connections.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: u64,
    held_bytes: AtomicU64,
}

impl BodyMemory {
    /// Creates the count of an instance that may hold `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            held_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes that are held or reserved.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that may be held.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Reserves the memory of a body that is kept whole.
    ///
    /// Returns `None` if it does not fit.
    pub fn reserve_kept(self: &Arc<Self>, length: u64) -> Option<BodyReservation> {
        self.reserve(length, length)
    }

    /// Reserves the memory of a body that is streamed, of which a length may be declared.
    ///
    /// Returns `None` if it does not fit.
    pub fn reserve_streamed(self: &Arc<Self>, length: Option<u64>) -> Option<BodyReservation> {
        let length = length.unwrap_or(u64::MAX);
        self.reserve(length, length.min(STREAM_BYTES))
    }

    fn reserve(self: &Arc<Self>, length: u64, bytes: u64) -> Option<BodyReservation> {
        let limit_bytes = match length <= SMALL_BODY_BYTES {
            true => self.limit_bytes,
            false => self.limit_bytes - self.limit_bytes / SMALL_PART_DIVISOR,
        };
        let fits = |held_bytes: u64| {
            let held_bytes = held_bytes.saturating_add(bytes);
            (bytes == 0 || held_bytes <= limit_bytes).then_some(held_bytes)
        };
        self.held_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, fits)
            .ok()?;
        Some(BodyReservation {
            memory: self.clone(),
            bytes,
        })
    }

    /// Counts bytes that a connection holds.
    pub fn hold(&self, bytes: u64) {
        self.held_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Counts bytes that a connection does not hold any more.
    pub fn release(&self, bytes: u64) {
        self.held_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Memory that the read buffers of a body take of which `passed_bytes` were passed on.
    pub fn read_buffer_bytes(&self, passed_bytes: u64) -> u64 {
        match (passed_bytes > LONG_BODY_BYTES, self.is_scarce()) {
            (false, _) => 0,
            (true, false) => LONG_BODY_BUFFER_BYTES,
            (true, true) => SCARCE_BUFFER_BYTES,
        }
    }

    /// Whether a connection that holds `connection_bytes` may take more.
    pub fn may_take_more(&self, connection_bytes: u64) -> bool {
        connection_bytes < SCARCE_CONNECTION_BYTES || !self.is_scarce()
    }

    /// Bytes that may be read from a connection at once; `None` without a bound.
    pub fn read_limit_bytes(&self) -> Option<usize> {
        self.is_scarce().then_some(SCARCE_READ_BYTES)
    }

    /// Bytes that a socket may hold unsent.
    pub fn unsent_limit_bytes(&self) -> u64 {
        let part_bytes = self.limit_bytes / UNSENT_DIVISOR;
        part_bytes.clamp(MIN_UNSENT_BYTES, MAX_UNSENT_BYTES)
    }

    fn is_scarce(&self) -> bool {
        self.held_bytes() > self.limit_bytes / SCARCE_DIVISOR
    }
}

/// Memory that is reserved for a body until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}
