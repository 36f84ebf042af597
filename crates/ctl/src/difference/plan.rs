//! What must be written so that the configuration matches a file.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use ryerouter_core::catalog::Catalog;
use ryerouter_core::config::{Expectation, Mutation};

use crate::ctl_error::CtlError;
use crate::resource_file::ResourceFile;
use crate::resource_kind::ResourceKind;

use super::{ChangeAction, FieldDifference, KnownResource, ResourceDifference};

/// What must be written so that the configuration matches a file.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The writes, in an order in which each finds what it refers to.
    pub mutations: Vec<Mutation>,
    /// The same for people.
    pub differences: Vec<ResourceDifference>,
}

impl Plan {
    /// Compares `file` with the configuration in force. With `prune` what the file lacks is
    /// deleted.
    pub fn new(file: &ResourceFile, catalog: &Catalog, prune: bool) -> Result<Self, CtlError> {
        let mut plan = Self::default();
        let mut current: BTreeMap<(ResourceKind, String), KnownResource> =
            KnownResource::all(catalog)
                .into_iter()
                .map(|resource| (resource.write_order(), resource))
                .collect();
        let mut wanted = file.resources(catalog)?;
        wanted.sort_by_key(KnownResource::write_order);
        for resource in wanted {
            let in_force = current.remove(&resource.write_order());
            plan.put(resource, in_force)?;
        }
        if prune {
            plan.delete(current.into_values().collect());
        }
        Ok(plan)
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.mutations.is_empty()
    }

    fn put(
        &mut self,
        wanted: KnownResource,
        in_force: Option<KnownResource>,
    ) -> Result<(), CtlError> {
        let Some(in_force) = in_force else {
            self.add(ChangeAction::Create, &wanted, Vec::new());
            self.mutations.push(Mutation::Put {
                resource: wanted.resource,
                expected: Expectation::Absent,
            });
            return Ok(());
        };
        let fields = FieldDifference::between(&in_force.document()?, &wanted.document()?);
        if fields.is_empty() {
            return Ok(());
        }
        self.add(ChangeAction::Update, &wanted, fields);
        self.mutations.push(Mutation::Put {
            resource: wanted.resource,
            expected: Expectation::Version(in_force.version),
        });
        Ok(())
    }

    fn delete(&mut self, mut others: Vec<KnownResource>) {
        // What refers to others goes first.
        others.sort_by_key(|resource| Reverse(resource.write_order()));
        for resource in others {
            self.add(ChangeAction::Delete, &resource, Vec::new());
            self.mutations.push(Mutation::Delete {
                reference: resource.resource.reference(),
                expected: Expectation::Version(resource.version),
            });
        }
    }

    fn add(
        &mut self,
        action: ChangeAction,
        resource: &KnownResource,
        fields: Vec<FieldDifference>,
    ) {
        self.differences.push(ResourceDifference {
            action,
            kind: resource.kind.to_string(),
            name: resource.name.clone(),
            fields,
        });
    }
}
