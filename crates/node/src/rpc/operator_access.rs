//! Who may call what.

use tonic::Status;
use tonic::metadata::MetadataMap;

use super::operator_key::hash_of;
use super::{Operator, OperatorKey, OperatorRole};

const AUTHORIZATION: &str = "authorization";
const SCHEME: &str = "Bearer ";

/// Who may call what.
#[derive(Debug, Clone)]
pub enum OperatorAccess {
    /// Everybody who reaches the address may do everything; for loopback and tests only.
    Open,
    /// Each call shows one of these keys.
    Keys(Vec<OperatorKey>),
}

impl OperatorAccess {
    /// The operator who makes a call, if the call shows a key whose role is at least `needed`.
    pub fn authorize(
        &self,
        metadata: &MetadataMap,
        needed: OperatorRole,
    ) -> Result<Operator, Status> {
        let operator = match self {
            Self::Open => Operator {
                name: None,
                role: OperatorRole::Administrator,
            },
            Self::Keys(keys) => identify(keys, metadata)?,
        };
        if operator.role < needed {
            let role = operator.role;
            return Err(Status::permission_denied(format!(
                "this call needs the role {needed}; the key has the role {role}"
            )));
        }
        Ok(operator)
    }
}

fn identify(keys: &[OperatorKey], metadata: &MetadataMap) -> Result<Operator, Status> {
    let shown = metadata
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .ok_or_else(|| {
            Status::unauthenticated("operator key missing: send `authorization: Bearer KEY`")
        })?;
    let hash = hash_of(shown);
    // Every key is compared, so the time does not tell which one is close.
    let mut found = None;
    for key in keys {
        if bool::from(key.matches(&hash)) {
            found = Some(key);
        }
    }
    found
        .map(OperatorKey::operator)
        .ok_or_else(|| Status::unauthenticated("operator key not known"))
}
