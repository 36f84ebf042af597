//! Requests that are refused before the dispatcher sees them.

use derive_more::{Display, Error};
use hyper::StatusCode;

/// Why a request is refused before the dispatcher sees it; nothing of it ran.
#[derive(Debug, Display, Error)]
pub(crate) enum CallerError {
    #[display("no API key: send it as 'Authorization: Bearer KEY'")]
    NoApiKey,
    #[display("the API key is not valid")]
    WrongApiKey,
    #[display("the router has no configuration yet")]
    NotConfigured,
    #[display("no such path: {path}")]
    UnknownPath { path: String },
    #[display("method {method} is not allowed here")]
    WrongMethod { method: String },
    #[display("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
    #[display("the body did not arrive in time")]
    BodyTimeout,
    #[display("the body broke off: {source}")]
    BodyBroken { source: hyper::Error },
    #[display("the router holds as many request bodies as it may")]
    BodiesFull,
    #[display("the body is not a JSON object: {source}")]
    InvalidJson { source: serde_json::Error },
    #[display("field '{field}': {reason}")]
    InvalidField { field: &'static str, reason: String },
    #[display("header '{name}': '{value}' {reason}")]
    InvalidHeader {
        name: &'static str,
        value: String,
        reason: &'static str,
    },
    #[display("the model '{model}' does not exist")]
    UnknownModel { model: String },
    #[display("the service '{pool}' does not exist")]
    UnknownService { pool: String },
}

impl CallerError {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NoApiKey | Self::WrongApiKey => StatusCode::UNAUTHORIZED,
            Self::UnknownPath { .. } | Self::UnknownModel { .. } | Self::UnknownService { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodiesFull | Self::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyBroken { .. }
            | Self::InvalidJson { .. }
            | Self::InvalidField { .. }
            | Self::InvalidHeader { .. } => StatusCode::BAD_REQUEST,
        }
    }

    /// The code in the error body, as the OpenAI API has them where it does.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::NoApiKey | Self::WrongApiKey => "invalid_api_key",
            Self::NotConfigured => "not_configured",
            Self::UnknownPath { .. } => "not_found",
            Self::UnknownModel { .. } => "model_not_found",
            Self::UnknownService { .. } => "service_not_found",
            Self::WrongMethod { .. } => "method_not_allowed",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::BodyBroken { .. } => "body_broken",
            Self::BodiesFull => "queue_full",
            Self::InvalidJson { .. } => "invalid_json",
            Self::InvalidField { .. } => "invalid_field",
            Self::InvalidHeader { .. } => "invalid_header",
        }
    }

    /// The field at fault, as error bodies name it.
    pub(crate) fn parameter(&self) -> Option<&'static str> {
        match self {
            Self::InvalidField { field, .. } => Some(field),
            Self::UnknownModel { .. } => Some("model"),
            _ => None,
        }
    }

    /// Whether the connection may hold the rest of a body that nobody will read.
    pub(crate) fn leaves_body_unread(&self) -> bool {
        matches!(
            self,
            Self::BodyTooLarge { .. } | Self::BodyTimeout | Self::BodiesFull
        )
    }
}
