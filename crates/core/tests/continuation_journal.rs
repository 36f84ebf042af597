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

/// A journal in a store that holds nothing.
fn journal() -> Journal {
    let mut journal = Journal::default();
    journal.begin_after(&[]);
    journal
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
    let mut journal = journal();
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
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    journal.begin_write(at(0));
    journal.end_write(1);
    let later = at(0).after(STORED_RETENTION);
    note_all(&mut journal, 2..3, later);
    let (segment, _) = journal.begin_write(later).expect("segment");
    assert_eq!(
        segment
            .streams
            .iter()
            .map(|(id, _)| *id)
            .collect::<Vec<_>>(),
        [StreamId(2)]
    );
}

/// Two nodes may take themselves for the writer of a shard; neither overwrites what the other has written.
#[test]
fn segment_of_another_writer_is_left_alone() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    journal.begin_write(at(0));
    journal.end_write(4);
    note_all(&mut journal, 2..3, at(1));
    journal.begin_write(at(1));
    journal.resolve_conflict(Some(stored(0, 10..12, 5)));
    let (segment, revision) = journal.begin_write(at(2)).expect("segment");
    assert_eq!((segment.index, revision), (1, None));
    let versions: Vec<_> = segment
        .streams
        .iter()
        .map(|(_, entry)| &entry.software)
        .collect();
    assert_eq!(versions, ["v1"; 3], "what was overwritten is written again");
}

/// A segment that a store lacks after its return from a copy is made anew, with all that it held.
#[test]
fn lost_segment_is_written_again() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    journal.begin_write(at(0));
    journal.end_write(4);
    note_all(&mut journal, 2..3, at(1));
    assert_eq!(journal.begin_write(at(1)).expect("segment").1, Some(4));
    journal.resolve_conflict(None);
    assert!(journal.needs_position());
    assert_eq!(
        journal.begin_write(at(2)),
        None,
        "what the store holds is not known"
    );
    journal.begin_after(&[]);
    let (segment, revision) = journal.begin_write(at(2)).expect("segment");
    assert_eq!((segment.streams.len(), revision), (3, None));
}

/// A node that takes a shard over begins after the segment that was written last, once it knows which that is.
#[test]
fn shard_is_taken_over_after_its_last_segment() {
    let mut journal = Journal::default();
    note_all(&mut journal, 7..8, at(0));
    assert!(journal.needs_position());
    assert_eq!(journal.begin_write(at(0)), None);
    let found = [stored(3, 0..2, 40), stored(4, 2..3, 50), stored(5, 3..4, 9)];
    journal.begin_after(&found);
    assert!(!journal.needs_position());
    let (segment, revision) = journal.begin_write(at(0)).expect("segment");
    assert_eq!(
        (segment.index, revision, segment.streams.len()),
        (6, None, 1)
    );
}

/// Where all segments are in use, the one that was written the longest ago gives way.
#[test]
fn oldest_segment_is_overwritten() {
    let mut journal = Journal::default();
    let found =
        (0..SEGMENTS).map(|index| stored(index, 0..1, 100 + u64::from((index + 7) % SEGMENTS)));
    journal.begin_after(&found.collect::<Vec<_>>());
    note_all(&mut journal, 7..8, at(0));
    let (segment, revision) = journal.begin_write(at(0)).expect("segment");
    assert_eq!((segment.index, revision), (SEGMENTS - 7, Some(100)));
}

/// Neither the number of objects nor their size grows with the streams.
#[test]
fn segments_are_bounded_and_overwritten_in_turn() {
    let mut journal = journal();
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

/// Conflicts come to an end, whatever others write.
#[test]
fn writer_finds_a_segment_among_those_of_others() {
    let mut journal = journal();
    note_all(&mut journal, 0..10, at(0));
    let mut conflicts = 0;
    while let Some((segment, revision)) = journal.begin_write(at(0)) {
        match revision {
            Some(revision) => journal.end_write(revision + 1_000),
            None => {
                conflicts += 1;
                assert!(conflicts <= u64::from(SEGMENTS));
                journal.resolve_conflict(Some(stored(segment.index, 0..1, conflicts)));
            }
        }
    }
    assert_eq!(journal.unwritten(), 0);
}

/// While the store takes nothing, what waits for it is bounded.
#[test]
fn unwritten_records_are_bounded() {
    let mut journal = journal();
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
    assert!(
        of_shard
            .values()
            .all(|count| (1_800..2_200).contains(count))
    );
}

/// An id that was used for streams of two versions is stored with both, so that it can't be taken for one of them.
#[test]
fn second_version_of_an_id_is_not_stored() {
    let mut journal = journal();
    let id = StreamId(1);
    journal.note(id, entry("v1"), at(0));
    journal.begin_write(at(0));
    journal.end_write(1);
    journal.note(id, entry("v2"), at(1));
    journal.note(id, entry("v1"), at(2));
    let (segment, _) = journal.begin_write(at(2)).expect("segment");
    let expected = [(id, entry("v1")), (id, entry("v2"))];
    assert_eq!(segment.streams.into_iter().collect::<Vec<_>>(), expected);
}
