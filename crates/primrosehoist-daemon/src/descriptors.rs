//! The limit on the descriptors of the process, and the kernel's table of them.

use std::io;
use std::os::unix::net::UnixStream;

use rustix::io::fcntl_dupfd_cloexec;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// The most descriptors that a daemon makes use of.
const DESCRIPTORS_MAX: u64 = 8192;

/// More pairs of descriptors than a runtime opens when it is built. It panics if there are too few.
const START_PAIRS: usize = 8;

/// Checks that the process can open as many descriptors as a start needs.
///
/// # Errors
///
/// Returns the error of the operating system if it cannot.
pub(crate) fn probe() -> io::Result<()> {
    let pairs = (0..START_PAIRS).map(|_| UnixStream::pair());
    pairs.collect::<io::Result<Vec<_>>>().map(drop)
}

/// Raises the limit on the descriptors of the process as far as it is allowed and useful, and makes the
/// kernel's table of them as large. Returns the limit.
///
/// The kernel enlarges the table when it is full. In a process with several threads it then waits for all
/// processors, which stops the thread for seconds on a busy host. So this must be called before a thread
/// is started.
pub(crate) fn reserve() -> usize {
    let limit = getrlimit(Resource::Nofile);
    let hard = limit.maximum.unwrap_or(DESCRIPTORS_MAX);
    let soft = limit.current.unwrap_or(DESCRIPTORS_MAX);
    let wanted = soft.max(hard.min(DESCRIPTORS_MAX));
    let raised = Rlimit {
        current: Some(wanted),
        maximum: limit.maximum,
    };
    let is_raised = wanted > soft && setrlimit(Resource::Nofile, raised).is_ok();
    let limit = if is_raised { wanted } else { soft };
    let last = limit.min(DESCRIPTORS_MAX).saturating_sub(1);
    // The copy is closed at once, and the table stays as large. Without one, the daemon only starts smaller.
    drop(fcntl_dupfd_cloexec(io::stdin(), last as i32));
    usize::try_from(limit).unwrap_or(usize::MAX)
}
