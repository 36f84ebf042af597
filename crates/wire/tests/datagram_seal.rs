//! The seal of datagrams: only what a node with the key sealed is taken.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ryerouter_wire::peer::{DatagramSeal, SEAL_BYTES};
use yare::parameterized;

const KEY: &[u8] = b"sixteen bytes or more";
const OTHER_KEY: &[u8] = b"another key of enough bytes";

fn seal(keys: &[&[u8]]) -> DatagramSeal {
    DatagramSeal::new(keys).unwrap()
}

fn sealed(keys: &[&[u8]], datagram: &[u8]) -> Vec<u8> {
    let mut bytes = datagram.to_vec();
    seal(keys).seal(&mut bytes);
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_sealed_opens(datagram in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let bytes = sealed(&[KEY], &datagram);
        prop_assert_eq!(bytes.len(), datagram.len() + SEAL_BYTES);
        prop_assert_eq!(seal(&[KEY]).open(&bytes).unwrap(), &datagram[..]);
    }

    #[test]
    fn a_changed_byte_is_noticed(
        datagram in prop::collection::vec(any::<u8>(), 0..200),
        place in any::<prop::sample::Index>(),
        change in 1..=255_u8,
    ) {
        let mut bytes = sealed(&[KEY], &datagram);
        let place = place.index(bytes.len());
        let before = bytes[place];
        bytes[place] ^= change;
        // Upper and lower case of a digit of the code are the same code.
        prop_assume!(!before.eq_ignore_ascii_case(&bytes[place]) || place < datagram.len());
        prop_assert!(seal(&[KEY]).open(&bytes).is_err());
    }
}

#[parameterized(
    before_the_change = { &[KEY], &[KEY], true },
    added_on_the_receiver = { &[KEY], &[KEY, OTHER_KEY], true },
    put_first_on_the_sender = { &[OTHER_KEY, KEY], &[KEY, OTHER_KEY], true },
    taken_away = { &[KEY], &[OTHER_KEY], false },
)]
fn a_key_is_replaced_step_by_step(sender: &[&[u8]], receiver: &[&[u8]], opens: bool) {
    let bytes = sealed(sender, b"{}");
    assert_eq!(seal(receiver).open(&bytes).is_ok(), opens);
}

#[parameterized(
    empty = { b"" },
    short = { b"\n0123" },
    unsealed = { b"{\"g\":{\"f\":\"node-a\",\"k\":\"n\",\"c\":1,\"padding\":\"000000000000\"}}" },
)]
fn what_is_not_sealed_is_refused(datagram: &[u8]) {
    assert!(seal(&[KEY]).open(datagram).is_err());
}
