//! What the tasks of the daemon share.
//!
//! Everything on the path of a request is read through an `ArcSwap` or an atomic; writers
//! replace a whole value. Each part has one writing task.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use arc_swap::ArcSwap;
use primrosehoist::coordination::lease::Lease;
use primrosehoist::state::fleet::Fleet;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use primrosehoist::state::view::View;

use crate::caller::Keys;
use crate::dispatch::Entry;
use crate::holder::Holder;
use crate::progress::Progress;

/// Upstreams that this daemon may send work to.
pub(crate) type Leases = Map<name::Upstream, Arc<Lease>>;

/// The shared state of the daemon.
#[derive(Debug)]
pub(crate) struct Node {
    /// The name of this host.
    pub(crate) host: name::Host,
    /// The zone of this host.
    pub(crate) zone: name::Zone,
    /// The configuration in force. Written by the configuration task.
    pub(crate) fleet: ArcSwap<Fleet>,
    /// What is known of other daemons. Written by the membership task.
    pub(crate) view: ArcSwap<View>,
    /// The upstreams held here. Written by the holding task.
    pub(crate) leases: ArcSwap<Leases>,
    /// Whether the daemon shuts down.
    pub(crate) draining: AtomicBool,
    /// Look-ups derived from the configuration.
    pub(crate) keys: Keys,
    /// The entry's side of requests.
    pub(crate) entry: Entry,
    /// The upstreams that work was admitted to here.
    pub(crate) holder: Holder,
    /// Requests in progress, on the entry's and on the holder's side.
    pub(crate) progress: Progress,
}
