//! How many bytes a node may hold for its callers.

use super::Purpose;

const MIB: usize = 1_024 * 1_024;
/// Maximum size of an answer that is not a stream.
pub(crate) const MAX_WHOLE_ANSWER: usize = 8 * MIB;
/// What the process needs at least beside what it holds for callers: program, replica of the source, buffers of
/// connections, and the kernel's receive buffers of connections that are not read.
const MIN_OWN_BYTES: usize = 24 * MIB;
/// Part of the machine that is left for the same, as a divisor: the replica grows with the deployment.
const OWN_PART: usize = 4;
/// Part of the budget that long bodies leave to short ones, and all bodies to answers, as a divisor.
const RESERVED_PART: usize = 32;
/// Part of the machine that callers get at least, however small it is, as a divisor.
const MIN_PART: usize = 4;
/// Part of the budget that unread bytes of bodies which wait to be admitted may amount to, as a divisor.
const WAITING_PART: usize = 16;
/// What the kernel takes in on a connection from which nothing has been read: its initial receive window.
const UNREAD_BYTES: usize = 64 * 1_024;
/// Memory that is assumed where the machine's is not known.
const ASSUMED_MACHINE: usize = 512 * MIB;

/// How many bytes a node may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All but what [`Self::for_last_answer`] adds.
    pub total: usize,
    /// Bytes that only answers may use.
    pub for_answers: usize,
    /// Bytes that long bodies may not use.
    pub for_short_bodies: usize,
    /// Bytes on top for short answers and for a single long one, so that answers which hold memory while they wait for
    /// more end one after the other.
    pub for_last_answer: usize,
    /// Maximum number of bodies that wait to be admitted.
    pub max_waiting: usize,
}

impl MemoryLimits {
    /// The limits on a machine that lets the process use so many bytes.
    pub fn of_machine(bytes: usize) -> Self {
        let own = MIN_OWN_BYTES.max(bytes / OWN_PART);
        let left = bytes.saturating_sub(own + MAX_WHOLE_ANSWER);
        Self::of_total(left.max(bytes / MIN_PART))
    }

    /// The limits that belong to a total.
    pub fn of_total(total: usize) -> Self {
        Self {
            total,
            for_answers: total / RESERVED_PART,
            for_short_bodies: total / RESERVED_PART,
            for_last_answer: MAX_WHOLE_ANSWER,
            max_waiting: (total / WAITING_PART / UNREAD_BYTES).max(1),
        }
    }

    /// Up to how many bytes in all the budget may be filled for this purpose.
    pub fn level(&self, purpose: Purpose) -> usize {
        let for_bodies = self.total - self.for_answers;
        match purpose {
            Purpose::LongBody => for_bodies - self.for_short_bodies,
            Purpose::ShortBody => for_bodies,
            Purpose::LongAnswer => self.total,
            Purpose::ShortAnswer => self.total + self.for_last_answer,
        }
    }
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::of_machine(ASSUMED_MACHINE)
    }
}
