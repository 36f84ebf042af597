//! Files for TLS.

use super::TlsFiles;
use super::checked_values::CheckedValues;

/// Files for TLS; a listener without any speaks plain text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TlsSettings {
    /// For callers.
    pub callers: Option<TlsFiles>,
    /// For other nodes; mutual.
    pub peers: Option<TlsFiles>,
    /// For operators.
    pub rpc: Option<TlsFiles>,
}

impl TlsSettings {
    pub(crate) fn read(values: &mut CheckedValues) -> Self {
        let callers = read_files(values, "tls.callers");
        let peers = read_files(values, "tls.peers");
        let rpc = read_files(values, "tls.rpc");
        if peers
            .as_ref()
            .is_some_and(|files| files.authority.is_none())
        {
            let reason = "is required with tls.peers.certificate_file: nodes check each other";
            values.add_fault("tls.peers.authority_file", "(none)", reason);
        }
        Self {
            callers,
            peers,
            rpc,
        }
    }
}

fn read_files(values: &mut CheckedValues, table: &str) -> Option<TlsFiles> {
    let authority = values.file(&format!("{table}.authority_file"));
    let certificate_path = format!("{table}.certificate_file");
    let key_path = format!("{table}.key_file");
    match (values.file(&certificate_path), values.file(&key_path)) {
        (Some(certificate), Some(key)) => Some(TlsFiles {
            certificate,
            key,
            authority,
        }),
        (Some(_), None) => {
            let reason = format!("is required with {certificate_path}");
            values.add_fault(&key_path, "(none)", &reason);
            None
        }
        (None, Some(_)) => {
            let reason = format!("is required with {key_path}");
            values.add_fault(&certificate_path, "(none)", &reason);
            None
        }
        (None, None) => {
            if let Some(authority) = authority {
                let reason = format!("has no effect without {certificate_path}");
                let field = format!("{table}.authority_file");
                values.add_fault(&field, authority.display(), &reason);
            }
            None
        }
    }
}
