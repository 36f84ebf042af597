//! The JSON-lines codec: what is written can be read, and nothing else is taken for a message.

use std::net::SocketAddr;

use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ryerouter_core::Timestamp;
use ryerouter_core::claim::{ClaimId, ClaimMessage, KeyDigest, VoteRequest};
use ryerouter_core::config::ConfigMessage;
use ryerouter_core::control::PeerMessage;
use ryerouter_core::identity::{BackEndName, ConfigVersion, Incarnation, NodeName};
use ryerouter_core::membership::{GossipKind, GossipMessage, LeavingRecord};
use ryerouter_wire::peer::{
    FREE_LINE_BYTES, JsonLineCodec, LineBudget, MAXIMUM_DATAGRAM_BYTES, PEER_PROTOCOL_VERSION,
    PeerCodecError, PeerHello, StreamLine, decode_datagram, encode_datagram,
};
use tokio_util::codec::{Decoder, Encoder};

fn name() -> impl Strategy<Value = String> {
    // Names come from operators, so quotes, line ends and other scripts must survive.
    "\\PC{1,20}|[a-z\"\\\\\n\r{}]{1,20}"
}

fn gossip() -> impl Strategy<Value = PeerMessage> {
    let leaving =
        (name(), any::<u64>(), any::<bool>()).prop_map(|(name, number, leaving)| LeavingRecord {
            back_end: BackEndName::new(name),
            incarnation: Incarnation(number),
            leaving,
        });
    let leaving = prop::collection::vec(leaving, 0..8);
    (name(), any::<u64>(), any::<u64>(), leaving).prop_map(|(from, sequence, version, leaving)| {
        PeerMessage::Gossip(GossipMessage {
            from: NodeName::new(from),
            kind: GossipKind::Acknowledge { sequence },
            config_version: ConfigVersion(version),
            leaving,
            machines: Vec::new(),
            members: Vec::new(),
        })
    })
}

fn claim() -> impl Strategy<Value = PeerMessage> {
    let numbers = (any::<u64>(), any::<u128>(), any::<u64>(), any::<u64>());
    (name(), numbers).prop_map(|(from, (claim, digest, epoch, time))| PeerMessage::Claim {
        from: NodeName::new(from),
        message: ClaimMessage::Ask(VoteRequest {
            claim: ClaimId(claim),
            digest: KeyDigest(digest),
            issued_at: (time % 2 == 0).then_some(Timestamp::from_micros(time)),
            epoch,
            valid_until: Timestamp::from_micros(time),
        }),
    })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let version = any::<u64>().prop_map(ConfigVersion);
    let config = prop_oneof![
        Just(ConfigMessage::Ask),
        version.clone().prop_map(ConfigMessage::Head),
        version.prop_map(ConfigMessage::Pull),
    ];
    prop_oneof![gossip(), claim(), config.prop_map(PeerMessage::Config)]
}

fn hello(name: String, port: u16) -> StreamLine {
    StreamLine::Hello(PeerHello {
        protocol: PEER_PROTOCOL_VERSION,
        name: NodeName::new(name),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    })
}

fn encode(lines: &[StreamLine]) -> BytesMut {
    let mut buffer = BytesMut::new();
    for line in lines {
        JsonLineCodec::default().encode(line, &mut buffer).unwrap();
    }
    buffer
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lines_survive_any_split(
        name in name(),
        port in any::<u16>(),
        messages in prop::collection::vec(message(), 0..6),
        piece in 1..64_usize,
    ) {
        let mut lines = vec![hello(name, port)];
        lines.extend(messages.into_iter().map(StreamLine::Message));
        let bytes = encode(&lines);

        let mut codec = JsonLineCodec::<StreamLine>::default();
        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for piece in bytes.chunks(piece) {
            buffer.extend_from_slice(piece);
            while let Some(line) = codec.decode(&mut buffer).unwrap() {
                read.push(line);
            }
        }
        prop_assert!(codec.decode_eof(&mut buffer).unwrap().is_none());
        prop_assert_eq!(read, lines);
    }

    #[test]
    fn datagrams_survive(message in message()) {
        match encode_datagram(&message) {
            Ok(bytes) => {
                prop_assert!(bytes.len() <= MAXIMUM_DATAGRAM_BYTES);
                prop_assert_eq!(decode_datagram(&bytes).unwrap(), message);
            }
            Err(error) => {
                let is_too_long = matches!(error, PeerCodecError::TooLong { .. });
                prop_assert!(is_too_long, "{}", error);
            }
        }
    }

    #[test]
    fn garbage_is_an_error_and_never_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut codec = JsonLineCodec::<StreamLine>::new(256);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = codec.decode_eof(&mut buffer);
        let _ = decode_datagram(&bytes);
    }

    #[test]
    fn a_cut_line_is_no_message(message in message(), cut in any::<prop::sample::Index>()) {
        let whole = encode(&[StreamLine::Message(message)]);
        let length = 1 + cut.index(whole.len() - 1);
        let mut buffer = BytesMut::from(&whole[..length]);
        let mut codec = JsonLineCodec::<StreamLine>::default();
        prop_assert!(codec.decode(&mut buffer).unwrap().is_none());
        prop_assert!(codec.decode_eof(&mut buffer).is_err());
    }
}

#[test]
fn a_line_that_is_too_long_is_neither_written_nor_read() {
    let mut codec = JsonLineCodec::<StreamLine>::new(16);
    let mut buffer = BytesMut::new();
    let written = codec.encode(&hello("a".to_owned(), 1), &mut buffer);
    assert!(matches!(
        written,
        Err(PeerCodecError::TooLong { limit: 16 })
    ));
    assert!(buffer.is_empty());

    let mut endless = BytesMut::from(&[b'a'; 64][..]);
    let read = codec.decode(&mut endless);
    assert!(matches!(read, Err(PeerCodecError::TooLong { limit: 16 })));
}

#[test]
fn incomplete_lines_of_all_streams_share_a_budget() {
    let budget = LineBudget::new(1_000);
    let new_codec = || JsonLineCodec::<StreamLine>::with_budget(1 << 20, budget.clone());
    let (mut first, mut second) = (new_codec(), new_codec());
    let begun = || BytesMut::from(&vec![b'"'; FREE_LINE_BYTES + 600][..]);

    assert!(matches!(first.decode(&mut begun()), Ok(None)));
    assert_eq!(budget.used(), 600);
    let refused = second.decode(&mut begun());
    assert!(matches!(
        refused,
        Err(PeerCodecError::NoRoom { limit: 1_000 })
    ));
    drop(second);
    assert_eq!(budget.used(), 600);

    // A line that is whole gives its memory back.
    let mut whole = encode(&[hello("a".to_owned(), 1)]);
    assert!(
        JsonLineCodec::<StreamLine>::default()
            .decode(&mut whole.clone())
            .unwrap()
            .is_some()
    );
    let mut third = new_codec();
    assert!(third.decode(&mut whole).unwrap().is_some());
    drop(first);
    assert_eq!(budget.used(), 0);
}
