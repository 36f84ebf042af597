//! Client of the object API.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::http_caller::{HttpCaller, decode, request, unexpected_status};
use super::{Object, ObjectCondition, ObjectList, ObjectWatch, PlatformError, PlatformLimits};

/// Answer to a write: the version after it, or the version that stands in its way.
#[derive(Debug, Clone, Copy, Deserialize)]
struct WriteAnswer {
    version: u64,
}

/// Client of the object API.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    caller: HttpCaller,
    address: SocketAddr,
}

impl ObjectClient {
    /// A client of the object API at `address`.
    pub fn new(address: SocketAddr, limits: PlatformLimits) -> Self {
        Self {
            caller: HttpCaller::new(limits),
            address,
        }
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let request = self.request(Method::GET, &object_path(key), Bytes::new())?;
        let answer = self.caller.call(request).await?;
        match answer.status() {
            StatusCode::OK => decode(answer.body()).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_status(&answer)),
        }
    }

    /// Reads all objects whose keys start with `prefix`; the answer may be stale.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let path = format!("/objects?prefix={prefix}");
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let answer = self.caller.call(request).await?;
        match answer.status() {
            StatusCode::OK => decode(answer.body()),
            _ => Err(unexpected_status(&answer)),
        }
    }

    /// Writes an object if `condition` holds; returns its new version.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: ObjectCondition,
    ) -> Result<u64, PlatformError> {
        let body = serde_json::to_vec(value).map_err(|error| PlatformError::Malformed {
            detail: format!("value of {key} cannot be written: {error}"),
        })?;
        let mut request = self.request(Method::PUT, &object_path(key), Bytes::from(body))?;
        set_condition(&mut request, condition);
        let answer = self.caller.call(request).await?;
        write_answer(answer)
    }

    /// Deletes an object if it has this version.
    pub async fn delete(&self, key: &str, version: u64) -> Result<(), PlatformError> {
        let mut request = self.request(Method::DELETE, &object_path(key), Bytes::new())?;
        set_condition(&mut request, ObjectCondition::Version(version));
        let answer = self.caller.call(request).await?;
        if answer.status().is_success() {
            return Ok(());
        }
        write_answer(answer).map(|_| ())
    }

    /// Watches all objects whose keys start with `prefix` for changes at
    /// `revision` or later.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<ObjectWatch, PlatformError> {
        let path = format!("/watch?prefix={prefix}&from={revision}");
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let answer = self.caller.send(request).await?;
        match answer.status() {
            StatusCode::OK => Ok(ObjectWatch::new(answer.into_body(), self.caller.limits())),
            _ => Err(unexpected_status(&answer)),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        request(method, self.address, path, body)
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

fn set_condition(request: &mut Request<Full<Bytes>>, condition: ObjectCondition) {
    let headers = request.headers_mut();
    match condition {
        ObjectCondition::Absent => {
            headers.insert(header::IF_NONE_MATCH, header::HeaderValue::from_static("*"));
        }
        ObjectCondition::Version(version) => {
            headers.insert(header::IF_MATCH, header::HeaderValue::from(version));
        }
    }
}

fn write_answer(answer: Response<Bytes>) -> Result<u64, PlatformError> {
    match answer.status() {
        StatusCode::OK | StatusCode::CREATED => {
            decode::<WriteAnswer>(answer.body()).map(|written| written.version)
        }
        StatusCode::CONFLICT => {
            let current = decode::<WriteAnswer>(answer.body())?.version;
            Err(PlatformError::Conflict { current })
        }
        _ => Err(unexpected_status(&answer)),
    }
}
