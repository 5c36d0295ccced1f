//! HTTP/1.1 server connections.

use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::reply::Answer;

/// Serves the requests of one connection until either side closes it.
pub(crate) async fn serve<Handler, Handling>(socket: TcpStream, handler: Arc<Handler>)
where
    Handler: Fn(Request<Incoming>) -> Handling + Send + Sync + 'static,
    Handling: Future<Output = Answer> + Send + 'static,
{
    if let Err(error) = socket.set_nodelay(true) {
        log::info!("setting TCP_NODELAY: {error}");
    }
    let service = service_fn(move |request| handler(request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection ended: {error}");
    }
}
