//! What the system knows of the sending side of a connection.

use std::io;
use std::mem;
use std::os::fd::AsRawFd;

use nix::libc;
use policy::exchange::SendState;
use tokio::net::TcpStream;

const MICROS_PER_MILLI: u64 = 1_000;

/// Reads the state from the system.
///
/// # Errors
///
/// Returns the error of the system call.
pub(super) fn read_send_state(stream: &TcpStream) -> io::Result<SendState> {
    // SAFETY: the structure consists of integers, for which zeros are valid.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the socket is open as long as `stream` is borrowed, and the system writes at most
    // `length` bytes to `info`.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(SendState {
        acked_bytes: info.tcpi_bytes_acked,
        has_unacked: info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0,
        since_ack_us: u64::from(info.tcpi_last_ack_recv) * MICROS_PER_MILLI,
    })
}
