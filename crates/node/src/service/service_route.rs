//! Where a request to a plain service goes.

use hyper::Uri;
use ryerouter_core::identity::PoolName;

use crate::caller::CallerError;
use crate::traffic::RoutingView;

use super::PATH_PREFIX;

/// Where a request to a plain service goes.
#[derive(Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) pool: PoolName,
    /// Path and query at the back end.
    pub(crate) path: String,
}

impl ServiceRoute {
    pub(crate) fn parse(uri: &Uri, view: &RoutingView) -> Result<Self, CallerError> {
        let rest = uri.path().strip_prefix(PATH_PREFIX).unwrap_or_default();
        let (name, path) = match rest.find('/') {
            Some(slash) => rest.split_at(slash),
            None => (rest, "/"),
        };
        let pool = view.service(name);
        let pool = pool.ok_or_else(|| CallerError::UnknownService {
            pool: name.to_owned(),
        })?;
        let path = match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        Ok(Self {
            pool: pool.clone(),
            path,
        })
    }
}
