//! The answer to `GET /v1/models`.

use bytes::Bytes;
use serde::Serialize;

use crate::traffic::RoutingView;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// The models and adapters callers may name, in the OpenAI API's shape.
pub(super) fn model_list(view: &RoutingView) -> Bytes {
    let models = view.model_names().into_iter().map(|id| Model {
        id,
        object: "model",
        created: 0,
        owned_by: "ryerouter",
    });
    let list = ModelList {
        object: "list",
        data: models.collect(),
    };
    serde_json::to_vec(&list)
        .expect("a list of texts is always JSON")
        .into()
}
