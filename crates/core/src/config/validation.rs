//! Checks of a change before it is written.

use crate::catalog::Catalog;
use crate::identity::ResourceVersion;
use crate::timestamp::Timestamp;

use super::catalog_rules::catalog_faults;
use super::{
    Change, ChangeRefusal, ConfigReplica, Expectation, LogEntry, Mutation, ResourceReference,
    ValidationError,
};

const MAX_MUTATIONS: usize = 512;
const MAX_ID_LENGTH: usize = 128;

/// Checks `change` against the configuration in force at `replica`; gives the entry to write.
pub fn validate(
    replica: &ConfigReplica,
    change: &Change,
    now: Timestamp,
) -> Result<LogEntry, ChangeRefusal> {
    check_expectations(replica, change)?;
    let catalog = replica.catalog();
    let mut faults = change_faults(catalog, change);
    let entry = LogEntry {
        version: replica.version().next(),
        written_at: now,
        change: change.clone(),
    };
    let mut after = (**catalog).clone();
    entry.apply_to(&mut after);
    faults.extend(catalog_faults(&after));
    if faults.is_empty() {
        Ok(entry)
    } else {
        Err(ChangeRefusal::Invalid { faults })
    }
}

fn check_expectations(replica: &ConfigReplica, change: &Change) -> Result<(), ChangeRefusal> {
    for mutation in &change.mutations {
        let reference = mutation.reference();
        let actual = resource_version(replica.catalog(), &reference);
        if !expectation_holds(mutation.expected(), actual) {
            return Err(stale(replica, reference, mutation.expected(), actual));
        }
    }
    Ok(())
}

fn expectation_holds(expected: Expectation, actual: Option<ResourceVersion>) -> bool {
    match expected {
        Expectation::Any => true,
        Expectation::Absent => actual.is_none(),
        Expectation::Version(version) => actual == Some(version),
    }
}

fn stale(
    replica: &ConfigReplica,
    resource: ResourceReference,
    expected: Expectation,
    actual: Option<ResourceVersion>,
) -> ChangeRefusal {
    let last = match actual {
        Some(version) => replica.change_at(version).cloned(),
        None => replica.deletion_of(&resource),
    };
    ChangeRefusal::Stale {
        resource,
        expected,
        actual,
        author: last
            .as_ref()
            .map_or_else(|| "unknown".to_owned(), |change| change.author.clone()),
        change_id: last.map(|change| change.change_id),
    }
}

/// The version of a resource, if it exists.
pub fn resource_version(
    catalog: &Catalog,
    reference: &ResourceReference,
) -> Option<ResourceVersion> {
    match reference {
        ResourceReference::Tenant(name) => catalog.tenants.get(name).map(|tenant| tenant.version),
        ResourceReference::Pool(name) => catalog.pools.get(name).map(|pool| pool.version),
        ResourceReference::BackEnd(name) => catalog.back_ends.get(name).map(|found| found.version),
        ResourceReference::Stage(name) => catalog.stages.get(name).map(|stage| stage.version),
        ResourceReference::StageProgress(stage) => {
            let progress = catalog.stage_progress.get(stage);
            progress.map(|progress| progress.version)
        }
        ResourceReference::Rollout(pool) => {
            catalog.rollouts.get(pool).map(|rollout| rollout.version)
        }
        ResourceReference::ClaimRoster => {
            let roster = &catalog.claim_roster;
            (!roster.groups.is_empty()).then_some(roster.version)
        }
    }
}

fn change_faults(catalog: &Catalog, change: &Change) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    check_id(change, &mut faults);
    check_count(change, &mut faults);
    for (index, mutation) in change.mutations.iter().enumerate() {
        check_repeated(change, index, mutation, &mut faults);
        check_deletion(catalog, index, mutation, &mut faults);
    }
    faults
}

fn check_id(change: &Change, faults: &mut Vec<ValidationError>) {
    let length = change.change_id.as_str().len();
    if length == 0 || length > MAX_ID_LENGTH {
        faults.push(ValidationError::new(
            "change_id",
            &change.change_id,
            format!("must have 1 to {MAX_ID_LENGTH} bytes"),
        ));
    }
}

fn check_count(change: &Change, faults: &mut Vec<ValidationError>) {
    let count = change.mutations.len();
    if count == 0 || count > MAX_MUTATIONS {
        faults.push(ValidationError::new(
            "mutations",
            count,
            format!("a change has 1 to {MAX_MUTATIONS} mutations"),
        ));
    }
}

fn check_repeated(
    change: &Change,
    index: usize,
    mutation: &Mutation,
    faults: &mut Vec<ValidationError>,
) {
    let reference = mutation.reference();
    let earlier = change.mutations[..index]
        .iter()
        .any(|other| other.reference() == reference);
    if earlier {
        faults.push(ValidationError::new(
            format!("mutations[{index}]"),
            reference,
            "an earlier mutation of the same change is about the same resource",
        ));
    }
}

fn check_deletion(
    catalog: &Catalog,
    index: usize,
    mutation: &Mutation,
    faults: &mut Vec<ValidationError>,
) {
    let Mutation::Delete { reference, .. } = mutation else {
        return;
    };
    if *reference == ResourceReference::ClaimRoster {
        faults.push(ValidationError::new(
            format!("mutations[{index}].delete"),
            reference,
            "can't be deleted",
        ));
    } else if resource_version(catalog, reference).is_none() {
        faults.push(ValidationError::new(
            format!("mutations[{index}].delete"),
            reference,
            "does not exist",
        ));
    }
}
