//! The upstreams held here: their schedulers, connections, and requests that wait.

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

/// The time between two looks at the queue without an event.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Stands for the work of earlier holders until it is known; leaves no slot.
const UNKNOWN: Foreign = Foreign {
    requests: u32::MAX,
    memory_tokens: 0,
};

type Grant = oneshot::Sender<Result<(), Failure>>;

/// The upstreams held by this daemon.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    holdings: Mutex<Map<name::Upstream, Arc<Holding>>>,
    /// Written by all requests, so it has a cache line of its own.
    tickets: CachePadded<AtomicU64>,
    /// Whether upstreams are taken for warm from the start, in comparison runs.
    skips_slow_start: bool,
    /// Whether it is found out what earlier holders left at engines.
    reconciles: bool,
}

/// One held upstream.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) pool: Pool,
    pub(crate) epoch: u64,
    /// Shared by the gates of all requests to the upstream.
    pub(crate) write_lock: Arc<Mutex<()>>,
    /// What the upstream runs.
    pub(crate) running: Running,
    pub(crate) lease: Arc<Lease>,
    /// The attempts in the charge of this process.
    pub(crate) attempts: Attempts,
    /// The comparison with what the engine lists.
    pub(crate) reconciliation: Mutex<Reconciliation>,
    /// An earlier holding by this daemon, whose requests may still run.
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

    /// Returns a ticket that no other request of the process has.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the holding of `upstream`, a new one if the holding or the address is new.
    ///
    /// A new one of an engine admits nothing until it is known what earlier holders left there.
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
            holding.update(|scheduler| scheduler.set_foreign(UNKNOWN));
        }
        tokio::spawn(maintain(Arc::downgrade(&holding)));
        holdings.insert(upstream.name.clone(), Arc::clone(&holding));
        holding
    }

    /// Returns the requests of this daemon in flight at `upstream`, also those of a holding that
    /// was given back.
    pub(crate) fn in_flight(&self, upstream: &name::Upstream) -> u32 {
        let holding = lock(&self.holdings).get(upstream).cloned();
        holding.map_or(0, |holding| holding.in_flight())
    }

    /// Gives each upstream held here to the half that `fleet` says.
    ///
    /// Requests of the former half that wait are refused as not run; those in flight end first.
    pub(crate) fn apply_fleet(&self, fleet: &Fleet) {
        for (name, holding) in lock(&self.holdings).iter() {
            if let Some(upstream) = fleet.upstreams.get(name) {
                holding.set_half(&upstream.half);
            }
        }
    }

    /// Returns what is told to other daemons about the upstreams of `leases`, and drops the
    /// holdings of all others that are idle.
    pub(crate) fn adverts(&self, fleet: &Fleet, leases: &Leases, now: Instant) -> Vec<Advert> {
        lock(&self.holdings)
            .retain(|upstream, holding| leases.contains_key(upstream) || holding.in_flight() > 0);
        // A holding made by a request that was checked just before a change has the former half.
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

    /// Returns what is told to other daemons.
    pub(crate) fn advert(&self, now: Instant) -> Advert {
        lock(&self.queue).scheduler.advert(now)
    }

    /// Returns the requests in flight, those of earlier holdings by this daemon included.
    pub(crate) fn in_flight(&self) -> u32 {
        let own = lock(&self.queue).scheduler.in_flight() as u32;
        own + self
            .earlier
            .as_ref()
            .map_or(0, |holding| holding.in_flight())
    }

    /// Returns whether earlier holders have nothing left at the upstream.
    pub(crate) fn is_settled(&self) -> bool {
        let remaining = self
            .earlier
            .as_ref()
            .map_or(0, |holding| holding.in_flight());
        self.lease.reserve() == 0 && remaining == 0
    }

    /// Gives the upstream to `half`, unless it has it.
    fn set_half(&self, half: &name::Half) {
        let mut queue = lock(&self.queue);
        if queue.scheduler.half() == half {
            return;
        }
        let former = queue.scheduler.switch_half(half.clone());
        queue.refuse(
            former,
            &Failure::not_run(Reason::Unavailable, "the upstream went to the other half"),
        );
        queue.admit_next(Instant::now());
    }

    /// Returns the registrations of an attempt in this process, by this or an earlier holding.
    pub(crate) fn registrations_of(&self, attempt: &str) -> u32 {
        let earlier = self
            .earlier
            .as_ref()
            .map_or(0, |e| e.registrations_of(attempt));
        self.attempts.registrations(attempt) + earlier
    }

    /// Returns the attempts in the charge of this process, by this or an earlier holding.
    pub(crate) fn all_attempts(&self) -> Set<String> {
        let mut attempts = self.attempts.all();
        if let Some(earlier) = &self.earlier {
            attempts.extend(earlier.all_attempts());
        }
        attempts
    }

    /// Runs `change` on the scheduler, then admits what may go out.
    pub(crate) fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Scheduler),
    {
        let mut queue = lock(&self.queue);
        change(&mut queue.scheduler);
        queue.admit_next(Instant::now());
    }

    /// Forgets a request that waited or was admitted, and was not sent.
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
        let taken = grant.is_some_and(|grant| grant.send(Ok(())).is_ok());
        if !taken {
            self.scheduler
                .finished(ticket, admission::Finish::NotSent, now);
        }
    }

    fn refuse(&mut self, tickets: Vec<Ticket>, failure: &Failure) {
        for ticket in tickets {
            if let Some(grant) = self.waiting.remove(&ticket) {
                // A request that was withdrawn meanwhile needs no answer.
                let _answered = grant.send(Err(failure.clone()));
            }
        }
    }
}

/// Waits until `item` may be sent.
///
/// # Errors
///
/// Returns why the request is refused; it did not run then.
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
                "the upstream is not held any more",
            )),
        },
    }
}

/// Counts a request that runs at the upstream already.
pub(crate) fn adopt(holding: &Arc<Holding>, item: Item, attempt: &str) -> Registration {
    let registration = Registration::new(holding, item.ticket, attempt);
    holding.update(|scheduler| scheduler.adopt(item, Instant::now()));
    registration
}

/// Looks after the queue of a holding for as long as the holding lives.
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
            &Failure::not_run(Reason::Timeout, "the time limit passed in the queue"),
        );
        queue.refuse(
            displaced,
            &Failure::not_run(Reason::Overloaded, "the upstream bears less now"),
        );
        queue.admit_next(now);
    }
}

/// Returns `upstream` as one that bears all its load in cold start.
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
