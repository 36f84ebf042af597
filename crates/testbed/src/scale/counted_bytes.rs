//! Bytes on the wire.

/// IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADERS: u64 = 28;
/// IPv4 and TCP headers of a segment without options.
const SEGMENT_HEADERS: u64 = 40;
/// Bytes of data in a full segment.
const SEGMENT_DATA: u64 = 1_460;
/// Segments that open and close a connection. Each message counts as a connection of its own,
/// which is more than a node spends that keeps connections.
const CONNECTION_SEGMENTS: u64 = 7;

/// Bytes of a datagram with a line of `length` bytes.
pub fn datagram_bytes(length: usize) -> u64 {
    length as u64 + DATAGRAM_HEADERS
}

/// Bytes of a stream that carries a line of `length` bytes, acknowledgements included.
pub fn stream_bytes(length: usize) -> u64 {
    let data = length as u64 + 1;
    let segments = data.div_ceil(SEGMENT_DATA);
    let acknowledgements = segments.div_ceil(2);
    data + (segments + acknowledgements + CONNECTION_SEGMENTS) * SEGMENT_HEADERS
}
