//! Indexes derived from the configuration: workspaces by API key and services by model.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::fleet::{Fleet, Kind, Workspace};
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use sha2::{Digest, Sha256};

/// A cache of the [`Index`] of the newest configuration.
#[derive(Debug, Default)]
pub(crate) struct IndexCache {
    newest: ArcSwapOption<Index>,
}

/// The indexes of one configuration.
#[derive(Debug)]
pub(crate) struct Index {
    fleet: Arc<Fleet>,
    /// Looked up by caller input, so it uses a hasher with random keys against collision attacks.
    workspaces: HashMap<String, name::Workspace>,
    models: Map<name::Half, BTreeMap<name::Model, name::Service>>,
}

impl IndexCache {
    /// Returns the index of `fleet`, rebuilt if the configuration changed.
    pub(crate) fn index(&self, fleet: &Arc<Fleet>) -> Arc<Index> {
        if let Some(index) = self.newest.load_full()
            && Arc::ptr_eq(&index.fleet, fleet)
        {
            return index;
        }
        let index = Arc::new(Index::new(fleet));
        self.newest.store(Some(Arc::clone(&index)));
        index
    }
}

impl Index {
    fn new(fleet: &Arc<Fleet>) -> Self {
        let mut workspaces = HashMap::new();
        for workspace in fleet.workspaces.values() {
            for digest in &workspace.key_digests {
                workspaces.insert(digest.clone(), workspace.name.clone());
            }
        }
        let mut models: Map<name::Half, BTreeMap<name::Model, name::Service>> = Map::default();
        for service in fleet.services.values() {
            if let Kind::Engine(model) = &service.kind {
                let half = models.entry(service.half.clone()).or_default();
                half.insert(model.clone(), service.name.clone());
            }
        }
        Self {
            fleet: Arc::clone(fleet),
            workspaces,
            models,
        }
    }

    /// Returns the workspace of the bearer key in `headers`.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing or belongs to no workspace.
    pub(crate) fn workspace(&self, headers: &HeaderMap) -> Result<&Workspace, Failure> {
        let unauthorized =
            || Failure::not_run(Reason::Unauthorized, "the key is missing or not valid");
        let value = headers.get(AUTHORIZATION).ok_or_else(unauthorized)?;
        let key = value
            .as_bytes()
            .strip_prefix(b"Bearer ")
            .ok_or_else(unauthorized)?;
        let digest = hex::encode(Sha256::digest(key));
        let name = self.workspaces.get(&digest).ok_or_else(unauthorized)?;
        self.fleet.workspaces.get(name).ok_or_else(unauthorized)
    }

    /// Returns the service of `half` that serves `model`.
    pub(crate) fn service(&self, half: &name::Half, model: &name::Model) -> Option<&name::Service> {
        self.models.get(half)?.get(model)
    }

    /// Returns the models that are served in `half`.
    pub(crate) fn models(&self, half: &name::Half) -> impl Iterator<Item = &name::Model> {
        self.models.get(half).into_iter().flat_map(BTreeMap::keys)
    }
}
