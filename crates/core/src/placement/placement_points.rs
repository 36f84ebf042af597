//! The prefixes of a prompt that placement considers.

use super::PlacementPoint;
use crate::prompt::{PrefixBlock, PrefixChain};

/// Outermost points kept of a prompt with many levels; they decide where the prompt is placed.
const OUTER_POINTS: usize = 8;

/// Innermost points kept of a prompt with many levels; they show how much of the prompt is cached.
const INNER_POINTS: usize = 16;

/// Number of blocks in a long message before its first inner point. Each following point lies at
/// twice the distance.
const FIRST_INNER_BLOCKS: usize = 4;

/// The few prefixes of a prompt that placement considers, from the shortest: the ends of its
/// nesting levels and, for prompts that arrive as one message, points at doubling distances inside
/// long levels.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlacementPoints {
    points: Vec<PlacementPoint>,
    /// Number of points, from the first, that other prompts are likely to share.
    shared: usize,
}

impl PlacementPoints {
    /// The points of a chain.
    pub fn of(chain: &PrefixChain) -> Self {
        let mut points = Vec::new();
        let mut shared = 0;
        for level in chain
            .blocks
            .chunk_by(|left, right| left.level == right.level)
        {
            shared = points.len();
            push_inner_points(level, &mut points);
            points.extend(level.last().map(PlacementPoint::from));
        }
        if shared == 0 {
            // With a single level, everything but the whole prompt may be shared.
            shared = points.len().saturating_sub(1);
        }
        let dropped_count = points.len().saturating_sub(OUTER_POINTS + INNER_POINTS);
        if dropped_count > 0 {
            points.drain(OUTER_POINTS..OUTER_POINTS + dropped_count);
        }
        let shared = shared
            .saturating_sub(dropped_count)
            .max(shared.min(OUTER_POINTS));
        Self { points, shared }
    }

    /// All points.
    pub fn all(&self) -> &[PlacementPoint] {
        &self.points
    }

    /// The points that other prompts are likely to share: all before the innermost level, which is
    /// the question itself.
    pub fn shared(&self) -> &[PlacementPoint] {
        &self.points[..self.shared]
    }

    /// The longest prefix that other prompts are likely to share; the whole prompt if no prefix is;
    /// `None` without a prompt.
    pub fn deepest_shared(&self) -> Option<PlacementPoint> {
        self.shared().last().or(self.points.last()).copied()
    }
}

fn push_inner_points(level: &[PrefixBlock], points: &mut Vec<PlacementPoint>) {
    let mut blocks = FIRST_INNER_BLOCKS;
    while blocks < level.len() {
        points.push(PlacementPoint::from(&level[blocks - 1]));
        blocks *= 2;
    }
}
