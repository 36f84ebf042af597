//! Which records of streams a node writes to the store.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Entry, Journal, MAX_SEGMENT_STREAMS, SEGMENTS, STORED_RETENTION, Segment, Shard, StoredSegment,
    StreamId,
};
use ryerouter_core::identity::PoolName;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

fn entry(software: &str) -> Entry {
    Entry {
        pool: PoolName::new("pool"),
        software: software.to_owned(),
    }
}

fn note_all(journal: &mut Journal, ids: std::ops::Range<u64>, now: Timestamp) {
    for id in ids {
        journal.note(StreamId(id), entry("v1"), now);
    }
}

fn stored(index: u8, ids: std::ops::Range<u64>, revision: u64) -> StoredSegment {
    let streams = ids.map(|id| (StreamId(id), entry("v2")));
    StoredSegment {
        segment: Segment {
            index,
            streams: streams.collect(),
        },
        revision,
    }
}

#[test]
fn stream_is_written_once_and_again_until_the_store_has_taken_it() {
    let mut journal = Journal::default();
    assert_eq!(journal.begin_write(at(0)), None);
    note_all(&mut journal, 0..2, at(0));
    let (first, revision) = journal.begin_write(at(0)).expect("segment");
    assert_eq!((first.streams.len(), revision), (2, None));
    journal.fail_write();
    note_all(&mut journal, 0..3, at(10));
    let (second, _) = journal.begin_write(at(10)).expect("segment");
    assert_eq!(second.streams.len(), 3);
    journal.end_write(7);
    assert_eq!(journal.begin_write(at(20)), None);
    note_all(&mut journal, 0..4, at(20));
    let (third, revision) = journal.begin_write(at(20)).expect("segment");
    assert_eq!((third.streams.len(), revision), (4, Some(7)));
}

#[test]
fn old_records_are_dropped() {
    let mut journal = Journal::default();
    note_all(&mut journal, 0..2, at(0));
    journal.begin_write(at(0));
    journal.end_write(1);
    let later = at(0).after(STORED_RETENTION);
    note_all(&mut journal, 2..3, later);
    let (segment, _) = journal.begin_write(later).expect("segment");
    assert_eq!(
        segment.streams.keys().copied().collect::<Vec<_>>(),
        [StreamId(2)]
    );
}

/// What another node has written in the same segment is not overwritten.
#[test]
fn records_of_another_writer_are_kept() {
    let mut journal = Journal::default();
    note_all(&mut journal, 0..2, at(0));
    journal.begin_write(at(0));
    journal.resolve_conflict(Some(stored(0, 10..12, 5)), at(1));
    let (segment, revision) = journal.begin_write(at(2)).expect("segment");
    assert_eq!(revision, Some(5));
    let versions: Vec<_> = segment
        .streams
        .values()
        .map(|entry| &entry.software)
        .collect();
    assert_eq!(versions, ["v1", "v1", "v2", "v2"]);
}

/// A node that takes a shard over goes on in the segment that was written last.
#[test]
fn shard_is_taken_over_where_its_last_writer_ended() {
    let mut journal = Journal::default();
    let found = vec![stored(3, 0..2, 40), stored(4, 2..3, 50), stored(5, 3..4, 9)];
    journal.resume_after(found, at(0));
    note_all(&mut journal, 7..8, at(0));
    let (segment, revision) = journal.begin_write(at(0)).expect("segment");
    assert_eq!((segment.index, revision), (4, Some(50)));
    assert_eq!(segment.streams.len(), 2);
}

/// Neither the number of objects nor their size grows with the streams.
#[test]
fn segments_are_bounded_and_overwritten_in_turn() {
    let mut journal = Journal::default();
    let mut held: BTreeMap<u8, (usize, u64)> = BTreeMap::new();
    let (mut revision, mut writes) = (0, 0);
    for round in 0..200_u64 {
        note_all(
            &mut journal,
            round * 500..(round + 1) * 500,
            at(round * 100),
        );
        while let Some((segment, expected)) = journal.begin_write(at(round * 100)) {
            writes += 1;
            assert!(writes < 2_000, "writes without end");
            assert!(segment.streams.len() <= MAX_SEGMENT_STREAMS);
            assert_eq!(held.get(&segment.index).map(|held| held.1), expected);
            revision += 1;
            held.insert(segment.index, (segment.streams.len(), revision));
            journal.end_write(revision);
        }
    }
    assert!(held.len() <= usize::from(SEGMENTS));
    let streams: usize = held.values().map(|held| held.0).sum();
    assert!(
        streams >= usize::from(SEGMENTS) * MAX_SEGMENT_STREAMS / 2,
        "{streams}"
    );
}

/// A full segment of another writer is passed by, and the journal comes to an end with it.
#[test]
fn full_segments_of_another_writer_are_overwritten_at_last() {
    let mut journal = Journal::default();
    note_all(&mut journal, 0..10, at(0));
    let full = MAX_SEGMENT_STREAMS as u64;
    let mut conflicts = 0;
    while let Some((segment, revision)) = journal.begin_write(at(0)) {
        match revision {
            Some(_) => journal.end_write(1_000),
            None => {
                conflicts += 1;
                assert!(conflicts <= usize::from(SEGMENTS));
                let found = stored(segment.index, 1_000..1_000 + full, 9);
                journal.resolve_conflict(Some(found), at(0));
            }
        }
    }
    assert_eq!(journal.unwritten(), 0);
}

/// While the store takes nothing, what waits for it is bounded.
#[test]
fn unwritten_records_are_bounded() {
    let mut journal = Journal::default();
    note_all(&mut journal, 0..100_000, at(0));
    assert!(journal.unwritten() <= 8_192, "{}", journal.unwritten());
    let (segment, _) = journal.begin_write(at(0)).expect("segment");
    assert!(segment.streams.len() <= MAX_SEGMENT_STREAMS);
}

#[test]
fn shards_share_the_streams_evenly() {
    let mut of_shard: BTreeMap<Shard, usize> = BTreeMap::new();
    for number in 0..16_000 {
        let id = StreamId::new(None, &PoolName::new("pool"), &format!("r{number}"));
        *of_shard.entry(id.shard()).or_default() += 1;
    }
    assert_eq!(of_shard.len(), usize::from(Shard::COUNT));
    assert!(of_shard.values().all(|count| (800..1_200).contains(count)));
}
