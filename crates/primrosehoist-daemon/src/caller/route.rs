//! Routing of requests by method and path.

use http::{Method, Request};
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::name;

/// The target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Route {
    /// A completion, with the path, which is the same at the engine.
    Completion(String),
    /// The list of models.
    Models,
    /// A call to a plain service, with the path and query for the upstream.
    Service(name::Service, String),
}

impl<B> TryFrom<&Request<B>> for Route {
    type Error = Failure;

    fn try_from(request: &Request<B>) -> Result<Self, Failure> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                Ok(Self::Completion(path.to_owned()))
            }
            (&Method::GET, "/v1/models") => Ok(Self::Models),
            (_, path) => match path.strip_prefix("/services/") {
                Some(rest) => service_route(rest, request.uri().query()),
                None => Err(Failure::not_run(Reason::NotFound, "no such path")),
            },
        }
    }
}

fn service_route(rest: &str, query: Option<&str>) -> Result<Route, Failure> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name::Service::try_from(service)
        .map_err(|_source| Failure::not_run(Reason::NotFound, "no such service"))?;
    let path = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(Route::Service(service, path))
}
