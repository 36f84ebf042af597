//! Decides at which version a stream goes on.

use derive_more::Display;

use super::Knowledge;
use crate::release::SoftwareVersion;

/// The versions of a pool as a node sees them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outlook {
    /// Versions that may have streams under way.
    pub versions: Vec<SoftwareVersion>,
    /// Whether there is certainly no other one: the list of engines is whole and was confirmed lately, and the node has
    /// heard what served before it started.
    pub is_certain: bool,
    /// Whether the node knows which versions served before it started. A version that has left since may have streams
    /// under way, and where all nodes were killed nobody remembers it.
    pub knows_past: bool,
    /// Whether no node that this one can't hear may serve other versions: its list is current, or it still hears every
    /// zone that it heard when the list was.
    pub is_whole: bool,
    /// The only version that can have begun the stream, as the store has confirmed since the caller came back: it holds
    /// this one alone, and no other one gets streams before the store holds it.
    pub only_recorded: Option<SoftwareVersion>,
}

/// What other nodes answered.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Answers {
    /// What they know about the stream.
    pub knowledge: Knowledge,
    /// Versions of the pool that they have seen.
    pub versions: Vec<SoftwareVersion>,
    /// Number of nodes that answered.
    pub count: usize,
    /// Whether one of them knows which versions served before it started.
    pub know_past: bool,
    /// Whether no node that one of them can't hear may serve other versions.
    pub are_whole: bool,
    /// Whether there is any other node that could answer.
    pub has_peers: bool,
}

/// Where an interrupted stream goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// At engines of this version.
    Continue(SoftwareVersion),
    /// Other nodes may know.
    Ask,
    /// Nowhere.
    Refuse(Unresolved),
}

/// Why the version of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Unresolved {
    /// No node that answered has a record.
    #[display("no record")]
    NoRecord,
    /// There is one version, but another one may have served before all nodes that answered were started.
    #[display("former versions not known")]
    PastUnknown,
    /// There is one version, but nodes that are not heard may serve another one.
    #[display("cut off from other nodes")]
    CutOff,
    /// Streams of different versions were begun under the same id.
    #[display("several streams with this id")]
    Ambiguous,
}

/// Decides by what the node itself knows.
pub fn decide(knowledge: Knowledge, outlook: &Outlook) -> Decision {
    let only = only(&outlook.versions).filter(|_| outlook.is_certain);
    match (knowledge, only) {
        (Knowledge::Began(software), _) => Decision::Continue(software),
        (_, Some(only)) => Decision::Continue(only.clone()),
        (Knowledge::Ambiguous, None) => Decision::Refuse(Unresolved::Ambiguous),
        (Knowledge::Unknown, None) => Decision::Ask,
    }
}

/// Decides once other nodes have answered, or have had the time to.
///
/// Without any record the stream goes on only if no node has seen a second version, one of them knows what served
/// before it started, and one can tell that nobody else serves: while the store is away no list is confirmed, which alone
/// is no reason to refuse, but a zone that is cut off agrees as well. What the store has just confirmed is proof alone.
pub fn decide_with_answers(outlook: &Outlook, answers: &Answers) -> Decision {
    let mut versions = outlook.versions.clone();
    versions.extend(answers.versions.iter().cloned());
    versions.sort_unstable();
    versions.dedup();
    let is_agreed = answers.count > 0 || !answers.has_peers;
    let knows_past = outlook.knows_past || answers.know_past;
    let is_whole = outlook.is_whole || answers.are_whole;
    let only = only(&versions).filter(|_| is_agreed);
    if answers.knowledge == Knowledge::Unknown
        && let Some(software) = &outlook.only_recorded
    {
        return Decision::Continue(software.clone());
    }
    match (&answers.knowledge, only) {
        (Knowledge::Began(software), _) => Decision::Continue(software.clone()),
        (_, Some(only)) if knows_past && is_whole => Decision::Continue(only.clone()),
        (Knowledge::Unknown, Some(_)) if knows_past => Decision::Refuse(Unresolved::CutOff),
        (Knowledge::Unknown, Some(_)) => Decision::Refuse(Unresolved::PastUnknown),
        (Knowledge::Ambiguous, Some(_)) => Decision::Refuse(Unresolved::Ambiguous),
        (Knowledge::Ambiguous, None) => Decision::Refuse(Unresolved::Ambiguous),
        (Knowledge::Unknown, None) => Decision::Refuse(Unresolved::NoRecord),
    }
}

fn only(versions: &[SoftwareVersion]) -> Option<&SoftwareVersion> {
    match versions {
        [only] => Some(only),
        _ => None,
    }
}
