//! State of the scripted server.

use std::collections::VecDeque;

use ryerouter_core::Timestamp;
use ryerouter_core::catalog::Catalog;
use ryerouter_core::config::{
    Change, ChangeAccepted, ChangeRefusal, Expectation, LogEntry, Mutation, Resource,
    ResourceReference,
};
use ryerouter_core::identity::{ChangeId, ResourceVersion};
use ryerouter_wire::generated::v1;
use ryerouter_wire::rpc::{RequestedChange, refusal_status, write_receipt};
use tonic::Status;

use super::Reaction;

/// State of the scripted server: a log of changes and what to do with the next writes.
#[derive(Debug, Default)]
pub struct ServerState {
    /// The configuration.
    pub catalog: Catalog,
    /// Accepted changes.
    pub log: Vec<LogEntry>,
    /// What to do with the next writes; those after the last are made and answered.
    pub script: VecDeque<Reaction>,
    /// Change ids of all writes that arrived.
    pub seen: Vec<String>,
    /// Keys shown by all calls.
    pub keys: Vec<String>,
    /// Configuration versions that further nodes lag behind, one for each status call.
    pub lags: VecDeque<u64>,
}

impl ServerState {
    /// Takes a write.
    pub fn write(&mut self, requested: RequestedChange) -> Result<v1::WriteReceipt, Status> {
        self.seen.push(requested.change.change_id.to_string());
        match self.script.pop_front() {
            None => self.accept(requested),
            Some(Reaction::LoseAnswer) => {
                self.accept(requested)?;
                Err(Status::unknown("answer of the object API lost"))
            }
            Some(Reaction::LoseRequest) => Err(Status::unknown("no answer of the object API")),
            Some(Reaction::Unavailable) => Err(Status::unavailable("object API down")),
            Some(Reaction::Denied) => Err(Status::permission_denied("needs the role editor")),
            Some(Reaction::ChangeFirst) => {
                self.change_back_ends_first();
                self.accept(requested)
            }
        }
    }

    fn accept(&mut self, requested: RequestedChange) -> Result<v1::WriteReceipt, Status> {
        let change = requested.change;
        let earlier = self
            .log
            .iter()
            .find(|entry| entry.change.change_id == change.change_id);
        let mut accepted = ChangeAccepted {
            version: self.catalog.version.next(),
            dry_run: requested.dry_run,
            repeated: false,
        };
        if let Some(earlier) = earlier {
            accepted.version = earlier.version;
            accepted.repeated = true;
            return Ok(write_receipt(&change.change_id, accepted));
        }
        for mutation in &change.mutations {
            self.check(mutation)?;
        }
        if !requested.dry_run {
            self.append(change.clone());
        }
        Ok(write_receipt(&change.change_id, accepted))
    }

    fn append(&mut self, change: Change) {
        let entry = LogEntry {
            version: self.catalog.version.next(),
            written_at: Timestamp::ZERO,
            change,
        };
        entry.apply_to(&mut self.catalog);
        self.log.push(entry);
    }

    fn check(&self, mutation: &Mutation) -> Result<(), Status> {
        let resource = mutation.reference();
        let actual = self.version_of(&resource);
        let holds = match mutation.expected() {
            Expectation::Any => true,
            Expectation::Absent => actual.is_none(),
            Expectation::Version(version) => actual == Some(version),
        };
        if holds {
            return Ok(());
        }
        let last = self.log.last();
        let refusal = ChangeRefusal::Stale {
            resource,
            expected: mutation.expected(),
            actual,
            author: last
                .map(|entry| entry.change.author.clone())
                .unwrap_or_default(),
            change_id: last.map(|entry| entry.change.change_id.clone()),
        };
        Err(refusal_status(&refusal))
    }

    fn version_of(&self, reference: &ResourceReference) -> Option<ResourceVersion> {
        let catalog = &self.catalog;
        match reference {
            ResourceReference::Tenant(name) => catalog.tenants.get(name).map(|found| found.version),
            ResourceReference::Pool(name) => catalog.pools.get(name).map(|found| found.version),
            ResourceReference::BackEnd(name) => {
                catalog.back_ends.get(name).map(|found| found.version)
            }
            ResourceReference::Stage(name) => catalog.stages.get(name).map(|found| found.version),
            _ => None,
        }
    }

    fn change_back_ends_first(&mut self) {
        let back_ends: Vec<_> = self.catalog.back_ends.values().cloned().collect();
        let put = |back_end| Mutation::Put {
            resource: Resource::BackEnd(back_end),
            expected: Expectation::Any,
        };
        self.append(Change {
            change_id: ChangeId::new("grace-1"),
            author: "grace".to_owned(),
            mutations: back_ends.into_iter().map(put).collect(),
        });
    }
}
