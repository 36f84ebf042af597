//! Text identifiers.

use super::macros::text_identifier;

text_identifier!(/// Name of a tenant.
    TenantName);
text_identifier!(/// Name of a pool of back ends that serve the same thing.
    PoolName);
text_identifier!(/// Name of one back end: an engine or a plain service process.
    BackEndName);
text_identifier!(/// Name of a model as callers write it.
    ModelName);
text_identifier!(/// Name of an adapter (fine-tuned delta) of a model.
    AdapterName);
text_identifier!(/// Name of a migration stage.
    StageName);
text_identifier!(/// Name of a data centre.
    DataCentreName);
text_identifier!(/// Name of a zone, a failure domain within a region.
    ZoneName);
text_identifier!(/// Name of a region.
    RegionName);
text_identifier!(/// Name of a router process.
    NodeName);
text_identifier!(/// Identifies a request from its caller to its log lines.
    RequestId);
text_identifier!(/// A caller's key under which a request runs at most once.
    IdempotencyKey);
text_identifier!(/// Identifies one change of configuration, so that a lost answer can be settled.
    ChangeId);
