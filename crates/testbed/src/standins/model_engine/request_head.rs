//! What the headers of a request to an engine say.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::{Display, Error};
use hyper::HeaderMap;
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::{AttemptId, Incarnation, WeightsVersion};
use ryerouter_core::prompt::{BlockHash, PrefixBlock, PrefixChain};
use ryerouter_wire::engine_headers;

/// What the headers of a request to an engine say.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The attempt.
    pub attempt: AttemptId,
    /// The tenant.
    pub tenant: String,
    /// How urgent it is.
    pub priority: Priority,
    /// The incarnation the engine must have.
    pub incarnation: Option<Incarnation>,
    /// The weights it must serve.
    pub weights_version: Option<WeightsVersion>,
    /// Nested prefixes of the prompt.
    pub prefix: PrefixChain,
    /// Chunks the caller already has, when the request continues a broken answer.
    pub continue_from: Option<u32>,
    /// Kept KV cache to import.
    pub kv_import: Option<KvReference>,
    /// Prefix whose KV cache to keep.
    pub kv_export: Option<KvReference>,
}

/// A prefix in a KV store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvReference {
    /// The store.
    pub store: SocketAddr,
    /// The prefix.
    pub prefix: BlockHash,
    /// Its tokens.
    pub tokens: u32,
}

/// A header that cannot be read.
#[derive(Debug, Display, Error)]
#[display("header {name}: {value:?} cannot be read")]
pub struct BadHeader {
    name: &'static str,
    value: String,
}

impl RequestHead {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// A header cannot be read, or there is no attempt id.
    pub fn parse(headers: &HeaderMap) -> Result<Self, BadHeader> {
        let weights_version = number(headers, engine_headers::WEIGHTS_VERSION)?.map(WeightsVersion);
        Ok(Self {
            attempt: attempt_id(headers)?,
            tenant: text(headers, engine_headers::TENANT)
                .unwrap_or_default()
                .to_owned(),
            priority: match text(headers, engine_headers::PRIORITY) {
                Some("batch") => Priority::Batch,
                _ => Priority::Interactive,
            },
            incarnation: number(headers, engine_headers::ENGINE_INCARNATION)?.map(Incarnation),
            weights_version,
            prefix: prefix_chain(headers, weights_version)?,
            continue_from: number(headers, engine_headers::CONTINUE_FROM)?,
            kv_import: kv_reference(headers, engine_headers::KV_IMPORT)?,
            kv_export: kv_reference(headers, engine_headers::KV_EXPORT)?,
        })
    }
}

/// Reads an attempt id as the protocol writes it.
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    u128::from_str_radix(text, 16).ok().map(AttemptId)
}

fn attempt_id(headers: &HeaderMap) -> Result<AttemptId, BadHeader> {
    let name = engine_headers::ATTEMPT_ID;
    let value = text(headers, name).unwrap_or_default();
    parse_attempt(value).ok_or_else(|| bad(name, value))
}

fn prefix_chain(
    headers: &HeaderMap,
    weights_version: Option<WeightsVersion>,
) -> Result<PrefixChain, BadHeader> {
    let name = engine_headers::PREFIX_CHAIN;
    let value = text(headers, name).unwrap_or_default();
    let pairs = value.split(',').filter(|pair| !pair.is_empty());
    let blocks: Option<Vec<PrefixBlock>> = pairs.map(prefix_block).collect();
    let blocks = blocks.ok_or_else(|| bad(name, value))?;
    Ok(PrefixChain {
        weights_version,
        blocks,
    })
}

fn prefix_block(pair: &str) -> Option<PrefixBlock> {
    let (hash, tokens) = pair.split_once(':')?;
    Some(PrefixBlock {
        hash: block_hash(hash)?,
        end_tokens: tokens.parse().ok()?,
        level: 0,
    })
}

fn kv_reference(headers: &HeaderMap, name: &'static str) -> Result<Option<KvReference>, BadHeader> {
    let Some(value) = text(headers, name) else {
        return Ok(None);
    };
    let parsed = parse_kv_reference(value);
    parsed.map(Some).ok_or_else(|| bad(name, value))
}

fn parse_kv_reference(value: &str) -> Option<KvReference> {
    let mut parts = value.split('/');
    Some(KvReference {
        store: parts.next()?.parse().ok()?,
        prefix: block_hash(parts.next()?)?,
        tokens: parts.next()?.parse().ok()?,
    })
}

fn block_hash(text: &str) -> Option<BlockHash> {
    u64::from_str_radix(text, 16).ok().map(BlockHash)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<N: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<Option<N>, BadHeader> {
    let Some(value) = text(headers, name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| bad(name, value))
}

fn bad(name: &'static str, value: &str) -> BadHeader {
    BadHeader {
        name,
        value: value.to_owned(),
    }
}
