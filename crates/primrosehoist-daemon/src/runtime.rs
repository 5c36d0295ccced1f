//! Builds the runtimes of daemons once the operating system grants what they take.
//!
//! A runtime panics if the operating system refuses some of its descriptors or threads, so they are tried
//! out first.

use std::io;
use std::thread;

use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};

use crate::{descriptors, startup};

/// Builds a runtime on the current thread.
pub(crate) fn single() -> Runtime {
    build_with(|| {
        descriptors::probe()?;
        Builder::new_current_thread().enable_all().build()
    })
}

/// Builds a runtime with a thread for each processor.
pub(crate) fn parallel() -> Runtime {
    build_with(|| {
        probe_threads(thread::available_parallelism()?.get())?;
        descriptors::probe()?;
        Builder::new_multi_thread().enable_all().build()
    })
}

fn build_with<B>(build: B) -> Runtime
where
    B: Fn() -> io::Result<Runtime>,
{
    let build = || build().map_err(|error| format!("start the runtime: {error}"));
    startup::block_for(build, || {})
}

/// Checks that the process can run `count` more threads.
fn probe_threads(count: usize) -> io::Result<()> {
    let gate = Mutex::new(());
    let closed = gate.lock();
    thread::scope(|scope| {
        let start = |_| thread::Builder::new().spawn_scoped(scope, || drop(gate.lock()));
        let started = (0..count).map(start).collect::<io::Result<Vec<_>>>();
        drop(closed);
        started.map(drop)
    })
}
