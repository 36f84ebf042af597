//! Election of the few nodes that read the platform.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::NodeName;

use super::{MemberRecord, MembershipTable, Proximity};

/// How many nodes of each zone read the object API and the machine list.
pub const READERS_PER_ZONE: usize = 2;

const READER_SEED: u64 = 0x0072_6561_6465_7273;

/// Whether `own` is one of its zone's readers: those with the lowest hash among the zone's live
/// nodes. Nodes that disagree for a while on who lives only make for a reader more or less.
pub fn is_reader(own: &MemberRecord, table: &MembershipTable) -> bool {
    let neighbours = table.ring_names(Proximity::Zone);
    count_before(&own.name, neighbours) < READERS_PER_ZONE
}

/// Whether `own` comes first of all live nodes; it does what one node is enough for.
pub fn is_first(own: &MemberRecord, table: &MembershipTable) -> bool {
    Proximity::ALL
        .into_iter()
        .all(|proximity| count_before(&own.name, table.ring_names(proximity)) == 0)
}

fn count_before(own: &NodeName, others: &[NodeName]) -> usize {
    let own_rank = rank(own);
    others.iter().filter(|other| rank(other) < own_rank).count()
}

fn rank(name: &NodeName) -> (u64, &str) {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), READER_SEED);
    (hash, name.as_str())
}
