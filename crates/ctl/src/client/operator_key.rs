//! Key of an operator.

use tonic::Request;
use tonic::metadata::{Ascii, MetadataValue};

use crate::ctl_error::CtlError;

use super::read_file;

const METADATA_NAME: &str = "authorization";

/// Key of an operator. It comes from a file, as arguments are seen by other users of the machine.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    header: MetadataValue<Ascii>,
}

impl OperatorKey {
    /// Reads the key in `path`.
    pub fn read(path: &str) -> Result<Self, CtlError> {
        let text = read_file(path)?;
        let header = MetadataValue::try_from(format!("Bearer {}", text.trim()));
        let mut header = header
            .map_err(|_| CtlError::usage(format!("{path}: expected a key in one line of ASCII")))?;
        header.set_sensitive(true);
        Ok(Self { header })
    }

    /// Signs a request with the key.
    pub(super) fn sign<M>(&self, request: &mut Request<M>) {
        request
            .metadata_mut()
            .insert(METADATA_NAME, self.header.clone());
    }
}
