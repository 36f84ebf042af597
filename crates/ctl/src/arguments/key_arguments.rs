//! Options of `key`.

use gumdrop::Options;

/// Makes a key and its SHA-256, or hashes a key read from standard input. The hash goes into
/// `api_key_hashes` of a tenant or `key_sha256` of an operator; the key itself is stored nowhere.
#[derive(Debug, Clone, Options)]
pub struct KeyArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Hash a key.
    #[options(
        no_short,
        help = "hash the key on standard input instead of making one"
    )]
    pub hash: bool,
}
