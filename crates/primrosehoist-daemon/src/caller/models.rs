//! The list of models, in the format of the OpenAI API.

use primrosehoist::state::fleet::Workspace;
use serde::Serialize;

use super::index::Index;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

/// Returns the models available to `workspace`, as JSON.
pub(crate) fn list(index: &Index, workspace: &Workspace) -> Vec<u8> {
    let models = index.models(&workspace.half).map(|model| Model {
        id: model.as_str(),
        object: "model",
        created: 0,
        owned_by: workspace.half.as_str(),
    });
    let list = List {
        object: "list",
        data: models.collect(),
    };
    serde_json::to_vec(&list).unwrap_or_default()
}
