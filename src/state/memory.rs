//! The shares of a daemon's memory and descriptors.

/// The memory of a daemon without requests, in megabytes.
const PROCESS_MB: u64 = 16;

/// The smallest memory that is shared among holders, in megabytes.
const SHARED_MB_MIN: u64 = 8;

const BYTES_PER_MB: u64 = 1024 * 1024;

/// The descriptors of a host that are left to files.
const FILE_FDS: usize = 200;

/// The smallest number of connections of a port.
const CONNECTIONS_MIN: usize = 4;

/// The memory of a daemon for what its callers send and receive, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// For connections and the heads of their requests.
    pub connections: u64,
    /// For the bodies of requests.
    pub bodies: u64,
    /// For answers that are not streamed.
    pub answers: u64,
}

impl Memory {
    /// Returns the shares of a daemon that may take `memory_mb` megabytes. An eighth of what the
    /// process leaves is for nobody.
    pub fn of(memory_mb: u64) -> Self {
        let shared_mb = memory_mb.saturating_sub(PROCESS_MB).max(SHARED_MB_MIN);
        let shared = shared_mb.saturating_mul(BYTES_PER_MB);
        Self {
            connections: shared / 4,
            bodies: shared / 2,
            answers: shared / 8,
        }
    }
}

/// The largest numbers of connections to the ports of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// To the port for callers.
    pub clients: usize,
    /// To the port for requests of other daemons.
    pub handovers: usize,
    /// To each port for the platform or operators.
    pub internal: usize,
}

impl Connections {
    /// Returns the shares of a daemon with `fds_max` descriptors, at most those of `largest`. What
    /// they leave is for connections to upstreams and other daemons.
    pub fn of(fds_max: usize, largest: &Self) -> Self {
        let shared = fds_max.saturating_sub(FILE_FDS);
        let share = |part: usize, largest: usize| part.max(CONNECTIONS_MIN).min(largest);
        Self {
            clients: share(shared.saturating_mul(5) / 8, largest.clients),
            handovers: share(shared / 5, largest.handovers),
            internal: share(shared / 32, largest.internal),
        }
    }
}
