//! Records on their way to the node that writes them to the store.

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    CONFIRMATION_TIMEOUT, Entry, Handovers, SILENCE_TIME, Shard, StreamId, Writer, first_of_shard,
};
use ryerouter_core::identity::PoolName;

const SHARD: Shard = Shard(3);
/// Hashes of the names of three nodes.
const NODES: [(u64, char); 3] = [(11, 'a'), (22, 'b'), (33, 'c')];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn entry() -> Entry {
    Entry {
        pool: PoolName::new("pool"),
        software: "v1".to_owned(),
    }
}

/// The nodes in the order in which they rank for the shard.
fn ranked() -> Vec<(u64, char)> {
    let ranked = first_of_shard(SHARD, NODES.map(|node| (node.0, node)), NODES.len());
    assert_eq!(ranked.len(), NODES.len());
    ranked
}

fn overdue_at(handovers: &mut Handovers<char>, now: Timestamp) -> Vec<StreamId> {
    let overdue = handovers.take_overdue(now);
    overdue.into_iter().map(|(stream, _)| stream).collect()
}

#[test]
fn first_nodes_do_not_depend_on_the_order_of_nodes() {
    let ranked = ranked();
    for count in 1..=NODES.len() {
        for offset in 0..NODES.len() {
            let mut nodes = NODES;
            nodes.rotate_left(offset);
            let first = first_of_shard(SHARD, nodes.map(|node| (node.0, node)), count);
            assert_eq!(first, ranked[..count]);
        }
    }
}

#[test]
fn record_goes_only_to_nodes_that_rank_before() {
    let ranked = ranked();
    let handovers = Handovers::default();
    for (rank, own) in ranked.iter().enumerate() {
        let others = NODES.into_iter().filter(|node| node != own);
        let writer = handovers.writer(SHARD, own.0, others, false, at(0));
        match rank {
            0 => assert_eq!(writer, Writer::Own),
            _ => assert_eq!(writer, Writer::Other(ranked[0].1)),
        }
    }
}

#[test]
fn node_that_has_just_started_does_not_take_itself_for_the_writer() {
    let handovers: Handovers<char> = Handovers::default();
    let writer = handovers.writer(SHARD, 11, [], true, at(0));
    assert_eq!(writer, Writer::Undecided);
}

#[test]
fn record_that_is_not_confirmed_goes_to_the_next_node() {
    let (mut handovers, first) = (Handovers::default(), ranked()[0].1);
    handovers.begin(StreamId(1), entry(), Some(first), at(0));
    assert_eq!(overdue_at(&mut handovers, at(399)), []);
    let late = at(0).after(CONFIRMATION_TIMEOUT);
    assert_eq!(overdue_at(&mut handovers, late), [StreamId(1)]);
    assert!(handovers.is_empty());
    let [_, second, third] = ranked()[..] else {
        panic!("three nodes");
    };
    let others = [ranked()[0], second];
    let next = handovers.writer(SHARD, third.0, others, false, late);
    assert_eq!(
        next,
        Writer::Other(second.1),
        "the first one is passed over"
    );
    let back = late.after(SILENCE_TIME);
    let next = handovers.writer(SHARD, third.0, others, false, back);
    assert_eq!(next, Writer::Other(first), "it is tried again");
}

#[test]
fn confirmed_record_is_not_handed_over_again() {
    let mut handovers = Handovers::default();
    handovers.begin(StreamId(1), entry(), Some('a'), at(0));
    handovers.begin(StreamId(2), entry(), Some('a'), at(0));
    handovers.confirm('a', &[StreamId(1)], at(1));
    assert_eq!(overdue_at(&mut handovers, at(1_000)), [StreamId(2)]);
}

#[test]
fn lost_datagram_does_not_rule_out_the_writer() {
    let mut handovers = Handovers::default();
    handovers.begin(StreamId(1), entry(), Some('a'), at(0));
    handovers.begin(StreamId(2), entry(), Some('a'), at(100));
    handovers.confirm('a', &[StreamId(2)], at(101));
    assert_eq!(overdue_at(&mut handovers, at(1_000)), [StreamId(1)]);
    assert!(!handovers.is_silent('a', at(1_000)));
}

#[test]
fn writer_that_confirms_again_is_chosen_again() {
    let mut handovers = Handovers::default();
    handovers.begin(StreamId(1), entry(), Some('a'), at(0));
    handovers.take_overdue(at(1_000));
    assert!(handovers.is_silent('a', at(1_000)));
    handovers.confirm('a', &[StreamId(1)], at(1_200));
    assert!(!handovers.is_silent('a', at(1_200)));
}

#[test]
fn record_waits_while_the_writer_is_undecided() {
    let mut handovers: Handovers<char> = Handovers::default();
    handovers.begin(StreamId(1), entry(), None, at(0));
    let late = at(0).after(CONFIRMATION_TIMEOUT);
    assert_eq!(overdue_at(&mut handovers, late), [StreamId(1)]);
    assert!(!handovers.is_silent('a', late));
}

#[test]
fn waiting_records_are_bounded() {
    let mut handovers = Handovers::default();
    let taken = (0..100_000).filter(|stream| {
        let stream = StreamId(*stream);
        handovers.begin(stream, entry(), Some('a'), at(0))
    });
    assert_eq!(taken.count(), handovers.len());
    assert!(handovers.len() <= 8_192, "{}", handovers.len());
}
