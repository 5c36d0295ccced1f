//! The upstreams held by this daemon: their schedulers, connections and queued requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use crossbeam::utils::CachePadded;
use primrosehoist::coordination::admission::{self, Foreign, Scheduler, Verdict};
use primrosehoist::coordination::lease::Lease;
use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::fleet::{Fleet, Upstream};
use primrosehoist::state::map::{Map, Set};
use primrosehoist::state::name;
use primrosehoist::state::queue::{Item, Ticket};
use primrosehoist::state::view::Advert;
use primrosehoist::transport::http::upstream::Pool;
use tokio::sync::oneshot;
use tokio::time::{Instant, interval};

use super::attempts::Attempts;
use super::reconcile::Reconciliation;
use super::registration::Registration;
use crate::node::Leases;
use crate::poison::Running;
use crate::settings::Mechanisms;

/// The interval of queue maintenance, independent of events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The assumed load of earlier holders until reconciliation has measured it; leaves no free slot.
const UNKNOWN_FOREIGN: Foreign = Foreign {
    requests: u32::MAX,
    memory_tokens: 0,
};

type Grant = oneshot::Sender<Result<(), Failure>>;

/// The upstreams held by this daemon.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    holdings: Mutex<Map<name::Upstream, Arc<Holding>>>,
    /// The next ticket. Every request writes it, so it is padded against false sharing.
    tickets: CachePadded<AtomicU64>,
    /// Whether upstreams are treated as warm from the start; set in comparison runs.
    skips_slow_start: bool,
    /// Whether work that earlier holders left at engines is looked up and counted.
    reconciles: bool,
}

/// A held upstream.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) pool: Pool,
    pub(crate) epoch: u64,
    /// Serializes lease checks and writes of all requests to the upstream.
    pub(crate) write_lock: Arc<Mutex<()>>,
    /// The requests that the upstream runs.
    pub(crate) running: Running,
    pub(crate) lease: Arc<Lease>,
    /// The attempts that this process runs.
    pub(crate) attempts: Attempts,
    /// The state of reconciliation with the list of the engine.
    pub(crate) reconciliation: Mutex<Reconciliation>,
    /// The previous holding of the upstream by this daemon, whose requests may still run.
    earlier: Option<Arc<Holding>>,
    queue: Mutex<Queue>,
}

#[derive(Debug)]
struct Queue {
    scheduler: Scheduler,
    waiting: Map<Ticket, Grant>,
}

impl Holder {
    /// Creates a holder without upstreams.
    pub(crate) fn new(mechanisms: &Mechanisms) -> Self {
        Self {
            skips_slow_start: !mechanisms.slow_start,
            reconciles: mechanisms.reconcile,
            ..Self::default()
        }
    }

    /// Returns a ticket that is unique in this process.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the holding of `upstream`; creates one if the epoch or the address is new.
    ///
    /// A new holding of an engine admits nothing until the work that earlier holders left there
    /// is known.
    pub(crate) fn holding(
        &self,
        upstream: &Upstream,
        lease: &Arc<Lease>,
        engine: bool,
    ) -> Arc<Holding> {
        let mut holdings = lock(&self.holdings);
        if let Some(holding) = holdings.get(&upstream.name)
            && holding.epoch == lease.epoch()
            && holding.pool.address() == upstream.address
        {
            return Arc::clone(holding);
        }
        let earlier = holdings.remove(&upstream.name);
        let holding = if self.skips_slow_start {
            Holding::new(&warm(upstream), lease, earlier)
        } else {
            Holding::new(upstream, lease, earlier)
        };
        let holding = Arc::new(holding);
        if engine && self.reconciles {
            holding.update(|scheduler| scheduler.set_foreign(UNKNOWN_FOREIGN));
        }
        tokio::spawn(maintain(Arc::downgrade(&holding)));
        holdings.insert(upstream.name.clone(), Arc::clone(&holding));
        holding
    }

    /// Returns the number of requests of this daemon in flight at `upstream`, including those of
    /// a released holding.
    pub(crate) fn in_flight(&self, upstream: &name::Upstream) -> u32 {
        let holding = lock(&self.holdings).get(upstream).cloned();
        holding.map_or(0, |holding| holding.in_flight())
    }

    /// Assigns each held upstream to its half in `fleet`.
    ///
    /// Queued requests of the former half are refused as not run; those in flight complete first.
    pub(crate) fn apply_fleet(&self, fleet: &Fleet) {
        for (name, holding) in lock(&self.holdings).iter() {
            if let Some(upstream) = fleet.upstreams.get(name) {
                holding.set_half(&upstream.half);
            }
        }
    }

    /// Returns the adverts of the upstreams in `leases`, and drops the idle holdings of all
    /// others.
    pub(crate) fn adverts(&self, fleet: &Fleet, leases: &Leases, now: Instant) -> Vec<Advert> {
        lock(&self.holdings)
            .retain(|upstream, holding| leases.contains_key(upstream) || holding.in_flight() > 0);
        // A request that was checked just before a change may have created a holding with the
        // former half.
        self.apply_fleet(fleet);
        let held = leases
            .iter()
            .filter(|(_, lease)| lease.permits_sending(now));
        let known = held.filter_map(|(name, lease)| Some((fleet.upstreams.get(name)?, lease)));
        known
            .map(|(upstream, lease)| {
                let engine = fleet.is_engine(upstream);
                self.holding(upstream, lease, engine).advert(now)
            })
            .collect()
    }
}

impl Holding {
    fn new(upstream: &Upstream, lease: &Arc<Lease>, earlier: Option<Arc<Holding>>) -> Self {
        let epoch = lease.epoch();
        let remaining = earlier.as_ref().map_or(0, |holding| holding.in_flight());
        let reserve = lease.reserve() + remaining;
        Self {
            pool: Pool::new(upstream.address),
            epoch,
            write_lock: Arc::default(),
            running: Running::default(),
            lease: Arc::clone(lease),
            attempts: Attempts::default(),
            reconciliation: Mutex::default(),
            earlier,
            queue: Mutex::new(Queue {
                scheduler: Scheduler::new(upstream, epoch, reserve),
                waiting: Map::default(),
            }),
        }
    }

    /// Returns the advert for other daemons.
    pub(crate) fn advert(&self, now: Instant) -> Advert {
        lock(&self.queue).scheduler.advert(now)
    }

    /// Returns the number of requests in flight, including earlier holdings by this daemon.
    pub(crate) fn in_flight(&self) -> u32 {
        let own = lock(&self.queue).scheduler.in_flight() as u32;
        own + self
            .earlier
            .as_ref()
            .map_or(0, |holding| holding.in_flight())
    }

    /// Returns whether no work of earlier holders is left at the upstream.
    pub(crate) fn is_settled(&self) -> bool {
        let remaining = self
            .earlier
            .as_ref()
            .map_or(0, |holding| holding.in_flight());
        self.lease.reserve() == 0 && remaining == 0
    }

    /// Assigns the upstream to `half` and refuses the queued requests of the former half.
    fn set_half(&self, half: &name::Half) {
        let mut queue = lock(&self.queue);
        if queue.scheduler.half() == half {
            return;
        }
        let former = queue.scheduler.switch_half(half.clone());
        queue.refuse(
            former,
            &Failure::not_run(
                Reason::Unavailable,
                "the upstream was reassigned to the other half",
            ),
        );
        queue.admit_next(Instant::now());
    }

    /// Returns the registration count of an attempt in this and earlier holdings.
    pub(crate) fn registrations_of(&self, attempt: &str) -> u32 {
        let earlier = self
            .earlier
            .as_ref()
            .map_or(0, |e| e.registrations_of(attempt));
        self.attempts.registrations(attempt) + earlier
    }

    /// Returns the attempts registered in this and earlier holdings.
    pub(crate) fn all_attempts(&self) -> Set<String> {
        let mut attempts = self.attempts.all();
        if let Some(earlier) = &self.earlier {
            attempts.extend(earlier.all_attempts());
        }
        attempts
    }

    /// Applies `change` to the scheduler, then admits queued requests that may be sent.
    pub(crate) fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Scheduler),
    {
        let mut queue = lock(&self.queue);
        change(&mut queue.scheduler);
        queue.admit_next(Instant::now());
    }

    /// Removes a queued or admitted request that was not sent.
    pub(crate) fn withdraw(&self, ticket: Ticket) {
        let now = Instant::now();
        let mut queue = lock(&self.queue);
        queue.waiting.remove(&ticket);
        if !queue.scheduler.withdraw(ticket) {
            let finish = admission::Finish::NotSent;
            queue.scheduler.finished(ticket, finish, now);
        }
        queue.admit_next(now);
    }

    fn offer(&self, item: Item) -> Result<Option<oneshot::Receiver<Result<(), Failure>>>, Failure> {
        let ticket = item.ticket;
        let now = Instant::now();
        let mut queue = lock(&self.queue);
        match queue.scheduler.offer(item, now) {
            Verdict::Send => Ok(None),
            Verdict::Refused(reason, after) => Err(refusal(reason, after)),
            Verdict::Queued => {
                let (sender, receiver) = oneshot::channel();
                queue.waiting.insert(ticket, sender);
                queue.admit_next(now);
                Ok(Some(receiver))
            }
        }
    }
}

impl Queue {
    fn admit_next(&mut self, now: Instant) {
        loop {
            let tickets = self.scheduler.admit(now);
            if tickets.is_empty() {
                return;
            }
            for ticket in tickets {
                self.admit(ticket, now);
            }
        }
    }

    fn admit(&mut self, ticket: Ticket, now: Instant) {
        let grant = self.waiting.remove(&ticket);
        let received = grant.is_some_and(|grant| grant.send(Ok(())).is_ok());
        if !received {
            self.scheduler
                .finished(ticket, admission::Finish::NotSent, now);
        }
    }

    fn refuse(&mut self, tickets: Vec<Ticket>, failure: &Failure) {
        for ticket in tickets {
            if let Some(grant) = self.waiting.remove(&ticket) {
                // The request may have been withdrawn meanwhile.
                let _sent = grant.send(Err(failure.clone()));
            }
        }
    }
}

/// Waits until `item` may be sent.
///
/// # Errors
///
/// Returns why the request was refused; it did not run.
pub(crate) async fn admit(
    holding: &Arc<Holding>,
    item: Item,
    attempt: &str,
) -> Result<Registration, Failure> {
    let registration = Registration::new(holding, item.ticket, attempt);
    match holding.offer(item)? {
        None => Ok(registration),
        Some(grant) => match grant.await {
            Ok(Ok(())) => Ok(registration),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(Failure::not_run(
                Reason::Unavailable,
                "the upstream is no longer held",
            )),
        },
    }
}

/// Registers a request that already runs at the upstream.
pub(crate) fn adopt(holding: &Arc<Holding>, item: Item, attempt: &str) -> Registration {
    let registration = Registration::new(holding, item.ticket, attempt);
    holding.update(|scheduler| scheduler.adopt(item, Instant::now()));
    registration
}

/// Expires and displaces queued requests until the holding is dropped.
async fn maintain(holding: Weak<Holding>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(holding) = holding.upgrade() else {
            return;
        };
        let now = Instant::now();
        let settled = holding.is_settled();
        let mut queue = lock(&holding.queue);
        if settled {
            queue.scheduler.release_reserve();
        }
        let expired = queue.scheduler.expire(now);
        let displaced = queue.scheduler.displace(now);
        queue.refuse(
            expired,
            &Failure::not_run(
                Reason::Timeout,
                "the time limit passed while the request was queued",
            ),
        );
        queue.refuse(
            displaced,
            &Failure::not_run(Reason::Overloaded, "the capacity of the upstream decreased"),
        );
        queue.admit_next(now);
    }
}

/// Returns `upstream` with its warm limit also in cold start.
fn warm(upstream: &Upstream) -> Upstream {
    Upstream {
        cold_requests: upstream.warm_requests,
        ..upstream.clone()
    }
}

fn refusal(reason: admission::Reason, after: Duration) -> Failure {
    let reported = match reason {
        admission::Reason::TooLong => Reason::TooLong,
        admission::Reason::OtherHalf => Reason::Unavailable,
        admission::Reason::Full | admission::Reason::Late | admission::Reason::Busy => {
            Reason::Overloaded
        }
    };
    Failure {
        retry_after_ms: Some(after.as_millis() as u64),
        ..Failure::not_run(reported, &format!("the upstream admits no more: {reason}"))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
