//! Which records of streams a node writes to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Entry, Journal, MAX_SEGMENT_STREAMS, MAX_WRITES, SEGMENTS, STORED_RETENTION, Segment, Shard,
    StoredSegment, StreamId,
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

/// Begins a write: its number, what is written, and the revision that it replaces.
fn begin(journal: &mut Journal, now: Timestamp) -> Option<(u64, Segment, Option<u64>)> {
    let write = journal.begin_write(now)?;
    Some((write.number, write.segment, write.replaces))
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
    let (number, first, revision) = begin(&mut journal, at(0)).expect("segment");
    assert_eq!((first.streams.len(), revision), (2, None));
    journal.fail_write(number);
    note_all(&mut journal, 0..3, at(10));
    let (number, second, _) = begin(&mut journal, at(10)).expect("segment");
    assert_eq!(second.streams.len(), 3);
    journal.end_write(number, 7);
    assert_eq!(journal.begin_write(at(20)), None);
    note_all(&mut journal, 0..4, at(20));
    let (_, third, revision) = begin(&mut journal, at(20)).expect("segment");
    assert_eq!((third.streams.len(), revision), (4, Some(7)));
}

#[test]
fn old_records_are_dropped() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 1);
    let later = at(0).after(STORED_RETENTION);
    note_all(&mut journal, 2..3, later);
    let (_, segment, _) = begin(&mut journal, later).expect("segment");
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
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 4);
    note_all(&mut journal, 2..3, at(1));
    let (number, ..) = begin(&mut journal, at(1)).expect("segment");
    journal.resolve_conflict(number, Some(stored(0, 10..12, 5)));
    let (_, segment, revision) = begin(&mut journal, at(2)).expect("segment");
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
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 4);
    note_all(&mut journal, 2..3, at(1));
    let (number, _, revision) = begin(&mut journal, at(1)).expect("segment");
    assert_eq!(revision, Some(4));
    journal.resolve_conflict(number, None);
    assert!(journal.needs_position());
    journal.begin_after(&[]);
    let (_, segment, revision) = begin(&mut journal, at(2)).expect("segment");
    assert_eq!((segment.streams.len(), revision), (3, None));
}

/// A store that came back from a copy may lack every segment, whatever revisions it gives out.
#[test]
fn written_records_are_not_believed_to_be_in_a_copy() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 4);
    note_all(&mut journal, 2..3, at(29_000));
    let (number, ..) = begin(&mut journal, at(29_000)).expect("segment");
    journal.rewrite(at(30_500));
    // The write that was under way tells nothing about the copy.
    journal.end_write(number, 5);
    assert!(journal.needs_position());
    journal.begin_after(&[stored(0, 10..12, 3)]);
    let (_, segment, revision) = begin(&mut journal, at(30_500)).expect("segment");
    assert_eq!((segment.index, revision), (1, None));
    let streams: Vec<_> = segment.streams.into_iter().map(|(id, _)| id).collect();
    assert_eq!(streams, [StreamId(2)], "the others are too old");
}

/// A node that takes a shard over begins after the segment that was written last, once it knows which that is.
#[test]
fn shard_is_taken_over_after_its_last_segment() {
    let mut journal = Journal::default();
    note_all(&mut journal, 7..8, at(0));
    assert!(journal.needs_position());
    let found = [stored(3, 0..2, 40), stored(4, 2..3, 50), stored(5, 3..4, 9)];
    journal.begin_after(&found);
    assert!(!journal.needs_position());
    let (_, segment, revision) = begin(&mut journal, at(0)).expect("segment");
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
    let (_, segment, revision) = begin(&mut journal, at(0)).expect("segment");
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
        while let Some((number, segment, expected)) = begin(&mut journal, at(round * 100)) {
            writes += 1;
            assert!(writes < 2_000, "writes without end");
            assert!(segment.streams.len() <= MAX_SEGMENT_STREAMS);
            assert_eq!(held.get(&segment.index).map(|held| held.1), expected);
            revision += 1;
            held.insert(segment.index, (segment.streams.len(), revision));
            journal.end_write(number, revision);
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
    while let Some((number, segment, revision)) = begin(&mut journal, at(0)) {
        match revision {
            Some(revision) => journal.end_write(number, revision + 1_000),
            None => {
                conflicts += 1;
                assert!(conflicts <= u64::from(SEGMENTS));
                journal.resolve_conflict(number, Some(stored(segment.index, 0..1, conflicts)));
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
    let (_, segment, _) = begin(&mut journal, at(0)).expect("segment");
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

/// A write that hangs does not hold up the streams that begin meanwhile, and neither of the two is lost with it.
#[test]
fn write_under_way_holds_up_others() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (hanging, first, _) = begin(&mut journal, at(0)).expect("segment");
    assert_eq!(begin(&mut journal, at(10)), None, "nothing new");
    note_all(&mut journal, 2..3, at(20));
    let (number, second, revision) = begin(&mut journal, at(20)).expect("segment");
    assert_ne!(first.index, second.index);
    assert_eq!((second.streams.len(), revision), (3, None));
    journal.end_write(number, 7);
    assert_eq!(journal.unwritten(), 0);
    journal.fail_write(hanging);
    assert_eq!(begin(&mut journal, at(2_000)), None, "all are written");
}

#[test]
fn writes_under_way_are_bounded() {
    let mut journal = journal();
    let mut begun = Vec::new();
    for round in 0..100 {
        note_all(&mut journal, round * 50..(round + 1) * 50, at(round * 300));
        begun.extend(begin(&mut journal, at(round * 300)));
    }
    assert_eq!(begun.len(), MAX_WRITES);
    let indexes: BTreeSet<_> = begun.iter().map(|(_, segment, _)| segment.index).collect();
    assert_eq!(indexes.len(), MAX_WRITES);
}

/// Streams that a segment has no room for are written beside it, each once while the writes are prompt.
#[test]
fn backlog_waits_for_the_first_of_its_segments() {
    let mut journal = journal();
    note_all(&mut journal, 0..3_000, at(0));
    let mut written = BTreeSet::new();
    let mut numbers = Vec::new();
    while let Some((number, segment, _)) = begin(&mut journal, at(0)) {
        numbers.push(number);
        written.extend(segment.streams.into_iter().map(|(id, _)| id));
    }
    assert_eq!((numbers.len(), written.len()), (3, 3_000));
    for number in numbers.into_iter().rev() {
        journal.end_write(number, 10 + number);
    }
    assert_eq!(journal.unwritten(), 0);
}

/// A write whose answer was lost is found in the store, and its segment is written on at the revision that it has there.
#[test]
fn write_without_an_answer_is_in_conflict_with_the_next_one() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, carried_out, _) = begin(&mut journal, at(0)).expect("segment");
    journal.fail_write(number);
    assert!(journal.needs_position());
    journal.begin_after(&[StoredSegment {
        segment: carried_out.clone(),
        revision: 5,
    }]);
    assert_eq!(journal.unwritten(), 0);
    note_all(&mut journal, 2..3, at(10));
    let (_, segment, revision) = begin(&mut journal, at(10)).expect("segment");
    assert_eq!((segment.index, revision), (carried_out.index, Some(5)));
    assert_eq!(segment.streams.len(), 3);
}

/// A write that was not carried out until now may be later, so the next one is not on the same revision.
#[test]
fn late_write_is_in_conflict_with_the_next_one() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, late, _) = begin(&mut journal, at(0)).expect("segment");
    journal.fail_write(number);
    let (number, second, _) = begin(&mut journal, at(0)).expect("segment");
    assert_ne!(late.index, second.index);
    journal.fail_write(number);
    journal.begin_after(&[]);
    let (_, third, _) = begin(&mut journal, at(0)).expect("segment");
    assert!(![late.index, second.index].contains(&third.index));
    assert_eq!(third.streams.len(), 2);
}

/// Another writer may have been told of the same streams, and of others.
#[test]
fn segment_of_another_writer_is_taken_for_a_write_without_an_answer() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, mut held, _) = begin(&mut journal, at(0)).expect("segment");
    journal.fail_write(number);
    held.streams.insert((StreamId(9), entry("v1")));
    let index = held.index;
    journal.begin_after(&[StoredSegment {
        segment: held,
        revision: 5,
    }]);
    assert_eq!(journal.unwritten(), 0);
    note_all(&mut journal, 2..3, at(10));
    let (_, segment, revision) = begin(&mut journal, at(10)).expect("segment");
    assert_ne!(segment.index, index);
    assert_eq!(revision, None);
}

/// What the store holds is not known at the start: until it is, nothing is overwritten.
#[test]
fn write_before_a_reading_replaces_a_segment() {
    let mut journal = Journal::default();
    note_all(&mut journal, 0..2, at(0));
    let (number, first, revision) = begin(&mut journal, at(0)).expect("segment");
    assert_eq!((first.streams.len(), revision), (2, None));
    journal.resolve_conflict(number, Some(stored(first.index, 10..12, 5)));
    let (number, second, revision) = begin(&mut journal, at(0)).expect("segment");
    assert_ne!(first.index, second.index);
    assert_eq!(revision, None);
    assert!(journal.needs_position());
    let found = [0, 1, first.index].map(|index| stored(index, 10..12, 5 + u64::from(index)));
    journal.begin_after(&found);
    journal.end_write(number, 90);
    note_all(&mut journal, 2..3, at(100));
    let (_, third, revision) = begin(&mut journal, at(100)).expect("segment");
    assert_eq!((third.index, revision), (second.index, Some(90)));
    assert_eq!(third.streams.len(), 3);
}

/// A segment that is gone from the store is made anew at once, without a revision.
#[test]
fn segment_that_is_gone_waits_for_a_reading() {
    let mut journal = journal();
    note_all(&mut journal, 0..2, at(0));
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 4);
    note_all(&mut journal, 2..3, at(1));
    let (number, ..) = begin(&mut journal, at(1)).expect("segment");
    journal.resolve_conflict(number, None);
    let (_, segment, revision) = begin(&mut journal, at(2)).expect("segment");
    assert_eq!((segment.streams.len(), revision), (3, None));
}

/// An id that was used for streams of two versions is stored with both, so that it can't be taken for one of them.
#[test]
fn second_version_of_an_id_is_not_stored() {
    let mut journal = journal();
    let id = StreamId(1);
    journal.note(id, entry("v1"), at(0));
    let (number, ..) = begin(&mut journal, at(0)).expect("segment");
    journal.end_write(number, 1);
    journal.note(id, entry("v2"), at(1));
    journal.note(id, entry("v1"), at(2));
    let (_, segment, _) = begin(&mut journal, at(2)).expect("segment");
    let expected = [(id, entry("v1")), (id, entry("v2"))];
    assert_eq!(segment.streams.into_iter().collect::<Vec<_>>(), expected);
}
