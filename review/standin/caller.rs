//! Connections of callers that read slowly.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Bytes of a packet of an Ethernet link; that of the loopback holds 64 KiB.
const SEGMENT_BYTES: i32 = 1_460;

/// `sockaddr_in` of Linux.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects with a receive buffer of so many bytes and the packets of an ordinary link.
pub fn connect_with_window(address: SocketAddr, buffer_bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain calls of the C library with values that outlive them; the new descriptor is owned by the stream.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let size = size_of::<i32>() as u32;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, size);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, size);
        let address = raw(address);
        if connect(descriptor, &address, size_of::<Address>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn raw(address: SocketAddrV4) -> Address {
    Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    }
}
