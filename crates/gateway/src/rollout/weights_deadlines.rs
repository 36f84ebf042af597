//! Until when older weights may be used.

use std::collections::HashMap;
use std::time::Duration;

use ryerouter_core::Timestamp;

/// Versions of one model that are remembered.
const MOST_REMEMBERED: usize = 64;

/// How the time at which a version was named is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PublicationTime {
    /// It was there when this process first looked, so it was named at some time before; the
    /// earliest that matters is taken.
    Assumed(Timestamp),
    /// Some process saw it come.
    Seen(Timestamp),
    /// Some process learned of it late: it had not been named yet at the first moment, and it had
    /// been at the second.
    Between(Timestamp, Timestamp),
}

impl PublicationTime {
    /// The moment, seen or assumed.
    pub fn time(self) -> Timestamp {
        match self {
            Self::Assumed(at) | Self::Seen(at) | Self::Between(at, _) => at,
        }
    }

    /// When it was not named yet, and when it was; `None` where that is assumed.
    fn span(self) -> Option<(Timestamp, Timestamp)> {
        match self {
            Self::Assumed(_) => None,
            Self::Seen(at) => Some((at, at)),
            Self::Between(after, by) => Some((after, by)),
        }
    }

    /// The better knowledge of both: what was seen before what is assumed, the earlier before the
    /// later.
    fn better(self, other: Self) -> Self {
        match (self.span(), other.span()) {
            (Some(left), Some(right)) => {
                let by = left.1.min(right.1);
                // What another node tells arrives a moment later than it was true, so with each exchange
                // the first moment moves on a little, but never past the second.
                Self::Between(left.0.max(right.0).min(by), by)
            }
            (Some(_), None) => self,
            (None, Some(_)) => other,
            (None, None) => Self::Assumed(self.time().min(other.time())),
        }
    }
}

/// Which versions of weights were named, and until when older ones may still be used.
#[derive(Debug)]
pub struct WeightsDeadlines {
    grace: Duration,
    /// Orders could not be given or heard of before this time, so for requests every grace begins
    /// there again.
    extended_from: Option<Timestamp>,
    /// By model, the versions in rising order.
    named: HashMap<String, Vec<(u64, PublicationTime)>>,
}

impl WeightsDeadlines {
    /// Older weights may be used for `grace` after a newer version was named.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            extended_from: None,
            named: HashMap::new(),
        }
    }

    /// A version was named; `true` when it is the newest.
    pub fn note(&mut self, model: &str, version: u64, at: PublicationTime) -> bool {
        let named = self.named.entry(model.to_owned()).or_default();
        let newest = named.last().map_or(0, |(newest, _)| *newest);
        match named.binary_search_by_key(&version, |(known, _)| *known) {
            Ok(index) => named[index].1 = named[index].1.better(at),
            Err(index) => named.insert(index, (version, at)),
        }
        if named.len() > MOST_REMEMBERED {
            named.remove(0);
        }
        version > newest
    }

    /// The source was in trouble until now: nobody can be expected to have moved. Requests may begin
    /// on older weights for longer, but engines must load as soon as before.
    pub fn extend_from(&mut self, at: Timestamp) {
        self.extended_from = self.extended_from.max(Some(at));
    }

    /// The newest version of each model.
    pub fn newest(&self) -> impl Iterator<Item = (&str, u64)> {
        self.named
            .iter()
            .filter_map(|(model, named)| Some((model.as_str(), named.last()?.0)))
    }

    /// Versions that were seen to come within the last `age`: model, version, and between which
    /// moments.
    pub fn seen_within(
        &self,
        age: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (&str, u64, (Timestamp, Timestamp))> {
        let all = self
            .named
            .iter()
            .flat_map(|(model, named)| named.iter().map(move |entry| (model.as_str(), entry)));
        all.filter_map(move |(model, (version, at))| {
            let span = at.span().filter(|(_, by)| now.since(*by) < age)?;
            Some((model, *version, span))
        })
    }

    /// When the first version after `version` was named; `None` while it is the newest.
    pub fn replaced_at(&self, model: &str, version: u64) -> Option<Timestamp> {
        let named = self.named.get(model)?;
        let next = named.iter().find(|(known, _)| *known > version)?;
        Some(next.1.time())
    }

    /// When engines must have loaded a newer version than `version`; `None` while it is the newest.
    ///
    /// Troubles of the source don't move this time. They may repeat without end, and nodes see
    /// different ones, while all nodes agree on when a version was named.
    pub fn load_deadline(&self, model: &str, version: u64) -> Option<Timestamp> {
        let replaced_at = self.replaced_at(model, version)?;
        Some(replaced_at.after(self.grace))
    }

    /// When requests may no longer begin on `version`; `None` while it is the newest.
    pub fn until(&self, model: &str, version: u64) -> Option<Timestamp> {
        let replaced_at = self.replaced_at(model, version)?;
        let begin = Some(replaced_at).max(self.extended_from);
        begin.map(|begin| begin.after(self.grace))
    }

    /// Whether requests may begin on `version` at `at`.
    pub fn allows(&self, model: &str, version: u64, at: Timestamp) -> bool {
        self.until(model, version).is_none_or(|until| at < until)
    }
}
