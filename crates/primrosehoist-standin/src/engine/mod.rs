//! A small model of an inference engine with continuous batching.

mod admin;
mod api;
mod cache;
mod chunk;
mod control;
mod job;
mod load;
mod model;
mod owner;
mod prompt;
mod record;
mod scheduler;
mod settings;
mod tally;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, mpsc};

use crate::listener::{self, Outage};

pub(crate) use settings::{HELP, options};

/// The engine as its connections and its scheduler share it.
#[derive(Debug)]
struct Engine {
    settings: Arc<settings::Settings>,
    model: Mutex<model::Model>,
    reports: Mutex<load::Reports>,
    /// Wakes the scheduler when there is work.
    work: Notify,
    outages: mpsc::UnboundedSender<Outage>,
}

impl Engine {
    fn model(&self) -> MutexGuard<'_, model::Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, load::Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses all memory and closes all connections for the time of a restart.
    fn crash(&self) {
        self.model().crash();
        let outage = Outage {
            duration: self.settings.crash_downtime,
        };
        if self.outages.send(outage).is_err() {
            log::debug!("crashed while stopping");
        }
    }
}

/// Serves until a signal ends it.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve(settings: settings::Settings) -> io::Result<()> {
    let settings = Arc::new(settings);
    let (outages, receiver) = mpsc::unbounded_channel();
    let engine = Arc::new(Engine {
        model: Mutex::new(model::Model::new(Arc::clone(&settings))),
        reports: Mutex::new(load::Reports::default()),
        settings: Arc::clone(&settings),
        work: Notify::new(),
        outages,
    });
    tokio::spawn(scheduler::run(Arc::clone(&engine)));
    tokio::spawn(load::sample(Arc::clone(&engine)));
    let handler = move |request| api::handle(Arc::clone(&engine), request);
    listener::serve(settings.listen, handler, receiver).await
}
