//! Deterministic order of candidates.

use super::{PoolMember, PrefixWidth, rendezvous_score};

/// The order in which members of a pool are considered for a prompt.
///
/// From the outermost prefix inwards, each prefix keeps the members with the highest scores for it,
/// as many as its width, out of those kept before. A rarely requested prefix therefore stays on one
/// engine with all prompts below it, and a frequently requested one is spread over several engines;
/// the prompts below it share only these engines. Dropped members follow, the innermost set first,
/// so that a request that overflows finds the longest possible outer prefix there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateOrder {
    positions: Vec<usize>,
}

impl CandidateOrder {
    /// Orders the members at the positions `kept` for a prompt and keeps the best `limit`. `widths`
    /// are those of its prefixes, the outermost first; `key` orders the members within each set.
    pub fn new(
        members: &[PoolMember],
        mut kept: Vec<usize>,
        widths: &[PrefixWidth],
        key: u64,
        limit: usize,
    ) -> Self {
        let mut dropped_sets = Vec::new();
        for width in widths {
            if width.engines >= kept.len() {
                continue;
            }
            let rest = keep_highest(&mut kept, members, width.prefix.0, width.engines);
            dropped_sets.push(rest);
        }
        sort_highest(&mut kept, members, key, limit);
        let mut positions = kept;
        for mut dropped in dropped_sets.into_iter().rev() {
            if positions.len() >= limit {
                break;
            }
            sort_highest(&mut dropped, members, key, limit - positions.len());
            positions.extend(dropped);
        }
        Self { positions }
    }

    /// Positions among the members, best first.
    pub fn positions(&self) -> &[usize] {
        &self.positions
    }
}

/// Keeps the `count` positions that score highest for `key`; returns the others.
fn keep_highest(
    kept: &mut Vec<usize>,
    members: &[PoolMember],
    key: u64,
    count: usize,
) -> Vec<usize> {
    let mut scored = score(kept, members, key);
    scored.select_nth_unstable_by(count, |left, right| right.cmp(left));
    let rest = scored.split_off(count);
    *kept = scored.into_iter().map(|(_, position)| position).collect();
    rest.into_iter().map(|(_, position)| position).collect()
}

/// Sorts by score for `key`, highest first, and truncates to `limit`.
fn sort_highest(positions: &mut Vec<usize>, members: &[PoolMember], key: u64, limit: usize) {
    let mut scored = score(positions, members, key);
    if limit < scored.len() {
        scored.select_nth_unstable_by(limit, |left, right| right.cmp(left));
        scored.truncate(limit);
    }
    scored.sort_unstable_by(|left, right| right.cmp(left));
    *positions = scored.into_iter().map(|(_, position)| position).collect();
}

fn score(positions: &[usize], members: &[PoolMember], key: u64) -> Vec<(u64, usize)> {
    positions
        .iter()
        .map(|position| {
            let score = rendezvous_score(key, members[*position].name_hash);
            (score, *position)
        })
        .collect()
}
