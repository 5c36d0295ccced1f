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

use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{self, Instant};

use crate::listener::{self, Outage};

pub(crate) use settings::{HELP, options};

/// The engine state shared by its connections and its scheduler.
#[derive(Debug)]
struct Engine {
    settings: Arc<settings::Settings>,
    model: Mutex<model::Model>,
    reports: Mutex<load::Reports>,
    /// Wakes the scheduler when there is work.
    work: Notify,
    /// The time until which the engine is frozen.
    frozen_until: watch::Sender<Instant>,
    outages: mpsc::UnboundedSender<Outage>,
}

impl Engine {
    fn model(&self) -> MutexGuard<'_, model::Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, load::Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the engine is frozen.
    async fn wait_while_frozen(&self) {
        let mut changes = self.frozen_until.subscribe();
        loop {
            let until = *changes.borrow_and_update();
            if until <= Instant::now() {
                return;
            }
            tokio::select! {
                () = time::sleep_until(until) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Drops all requests, memory and connections, and stays down for the crash downtime.
    fn crash(&self) {
        let now = Instant::now();
        let mut model = self.model();
        if model.is_down(now) {
            return;
        }
        model.crash(now);
        drop(model);
        self.close();
    }

    /// Closes the listener, then all connections, for the crash downtime.
    fn close(&self) {
        let outage = Outage {
            duration: self.settings.crash_downtime,
        };
        if self.outages.send(outage).is_err() {
            log::debug!("crash during shutdown: the listener has stopped");
        }
    }
}

/// Serves requests.
///
/// # Errors
///
/// Fails as [`listener::serve`] does.
pub(crate) async fn serve(settings: settings::Settings) -> io::Result<()> {
    let settings = Arc::new(settings);
    let (outages, receiver) = mpsc::unbounded_channel();
    let engine = Arc::new(Engine {
        model: Mutex::new(model::Model::new(Arc::clone(&settings))),
        reports: Mutex::new(load::Reports::default()),
        settings: Arc::clone(&settings),
        work: Notify::new(),
        frozen_until: watch::Sender::new(Instant::now()),
        outages,
    });
    tokio::spawn(scheduler::run(Arc::clone(&engine)));
    tokio::spawn(load::sample(Arc::clone(&engine)));
    let handler = move |request| api::handle(Arc::clone(&engine), request);
    listener::serve(settings.listen, handler, receiver).await
}
