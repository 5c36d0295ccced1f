//! Selects the upstreams of an attempt, and queues the request while none has capacity.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::assign::spread::Spread;
use primrosehoist::coordination::assign::{self, Candidate, Choice, Demand, Overload, crowd};
use primrosehoist::coordination::peers::Scope;
use primrosehoist::coordination::permit;
use primrosehoist::coordination::share::Excess;
use primrosehoist::coordination::waiting::{self, Refusal, Step, Terms, Use, Waiting};
use primrosehoist::state::map::Set;
use primrosehoist::state::occupancy::{Load, News};
use primrosehoist::state::partition::Partitions;
use primrosehoist::state::roster::Upstream;
use strum::Display;
use tokio::time::{Instant, sleep};

use super::context::Context;
use super::job::Job;
use super::placement::Placement;
use super::share;

/// The largest number of upstreams of a service for which all zones are always considered.
const WIDE_UPSTREAMS_MAX: usize = 32;

/// How long the store and all other daemons may be silent before the request counts of the fleet
/// are ignored as outdated. Each daemon gossips twice a second at least.
const CONTACT_AGE_MAX: Duration = Duration::from_millis(1500);

/// The share of the remaining time that a request may spend in the queue. The rest is left for a
/// retry by the client.
const QUEUE_TIME_SHARE: f64 = 0.5;

/// The share of its waiting time that a request may wait for a permit. The queue for permits is
/// then no longer than what is still of use to the client.
const PERMIT_TIME_SHARE: f64 = 0.5;

/// How long a request may wait for capacity.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    queue_time_max: Duration,
    give_up_at: Instant,
}

impl Patience {
    /// Returns how long `job` may wait from now on. `resumes` is whether it resumes a response.
    pub(crate) fn new(job: &Job, resumes: bool) -> Self {
        let queue_time_max = job.remaining().mul_f64(QUEUE_TIME_SHARE);
        // A prompt that is placed later cannot be prefilled before the client gives up.
        let latest_start = job.abandoned_at(resumes) - job.shortest_prefill_time();
        Self {
            queue_time_max,
            give_up_at: latest_start.min(Instant::now() + queue_time_max),
        }
    }

    /// Returns when the request stops waiting for capacity.
    pub(crate) fn gives_up_at(&self) -> Instant {
        self.give_up_at
    }

    /// Returns how long the request may wait for a permit from now on.
    pub(crate) fn for_permit(&self) -> Duration {
        let left = self.give_up_at.saturating_duration_since(Instant::now());
        left.mul_f64(PERMIT_TIME_SHARE).min(permit::ADVANCE_MAX)
    }
}

/// Selects upstreams that are not in `excluded` for `job` and adds its load to them, waiting in the
/// queue for capacity as its `patience` allows. A request that `resumes` a response has the highest
/// priority.
///
/// # Errors
///
/// Returns why no upstream was selected within the queueing time.
pub(crate) async fn place(
    context: &Arc<Context>,
    job: &Job,
    excluded: &Set<Arc<str>>,
    resumes: bool,
    patience: Patience,
) -> Result<Placement, Refusal> {
    let terms = Terms {
        due: job.due(),
        objective: job.route.latency_target,
        queue_time_max: patience.queue_time_max,
        give_up_at: patience.give_up_at,
        resumes,
        is_long: job.is_long(),
    };
    let mut waiting = Waiting::new(terms, context.is_cut_off(), Instant::now());
    let priority = if resumes { 0 } else { job.priority };
    let enqueue = |overdue| {
        let (service, handed_over) = (&job.service.name, job.entry.is_some());
        let queue = &context.queue;
        queue.insert(service, overdue, priority, handed_over, job.due())
    };
    let mut queued = enqueue(waiting.is_overdue());
    loop {
        let step = waiting.next(queued.place(), context.is_cut_off(), Instant::now());
        let view = match step {
            Step::Look(view) => view,
            Step::Requeue => {
                queued = enqueue(waiting.is_overdue());
                continue;
            }
            Step::Wait => {
                if waiting.is_new() {
                    log_queued(job, waiting.is_overdue());
                }
                let notified = queued.woken().await;
                waiting.woke(notified);
                continue;
            }
            Step::Refuse(refusal) => {
                if refusal == Refusal::Full {
                    log_shortage(context, job, excluded, &Look::new(patience, resumes, None));
                }
                if refusal == Refusal::Crowded {
                    share::count_refusal(context, job);
                }
                return Err(refusal);
            }
        };
        let look = Look::new(patience, resumes, Some(view));
        match try_select(context, job, excluded, &look) {
            Ok(selection) => match waiting.found(rand::random()) {
                // Dropping its entry in the queue passes its turn on.
                Use::Take => return Ok(selection.place(context, job)),
                Use::Leave { begins_round } => {
                    if begins_round {
                        queued.restart_round();
                    }
                }
                Use::Delay(delay) => {
                    // It must not hold up those behind it meanwhile.
                    drop(queued);
                    sleep(delay).await;
                    queued = enqueue(waiting.is_overdue());
                }
            },
            Err(refusal) => {
                queued.end_turn();
                waiting.missed(refusal, Instant::now());
                if refusal == Refusal::NoUpstream
                    && let Some(at) = reopens_at(context, job, patience)
                {
                    return Err(Refusal::Deferred(at));
                }
            }
        }
    }
}

/// Returns whether `job` is refused on arrival, because more requests of its kind arrive than the engines can
/// serve in time. A client that already has a part of its answer is not.
pub(crate) fn is_refused_on_arrival(context: &Context, job: &Job, patience: Patience) -> bool {
    if job.resumes || job.request.last_event.is_some() {
        return false;
    }
    let excess = share::excess(context, job);
    let overload = overload(context, job, patience, excess, rand::random());
    let (request, prompt_tokens) = (job.request.id.as_str(), job.request.prompt_tokens);
    match overload {
        None => return false,
        Some(Overload::Prefill(usage)) => log::info!(
            request, prompt_tokens,
            open = usage.open,
            busy_share = usage.busy_share,
            backlog_ms = usage.backlog_ms.round(),
            over_share = excess.own;
            "refused on arrival, since most engines prefill long prompts"
        ),
        Some(Overload::Slots(room)) => log::info!(
            request, prompt_tokens,
            slots = room.slots,
            used_share = room.used_share,
            over_share = excess.own,
            refusal_factor = excess.refusal_factor;
            "refused on arrival, since most slots are used"
        ),
    }
    share::count_refusal(context, job);
    true
}

/// Returns why `job` is refused on arrival with this `draw` from 0 to 1, if it is.
pub(super) fn overload(
    context: &Context,
    job: &Job,
    patience: Patience,
    excess: Excess,
    draw: f64,
) -> Option<Overload> {
    let engine = job.service.engine.as_ref()?;
    let demand = job.demand(1.0, false, excess);
    let partitions = context.partitions.lock().partitions(Instant::now());
    let candidates = candidates(
        context,
        job,
        &Set::default(),
        patience.for_permit(),
        &partitions,
        Scope::Fleet,
        LoadView::Told,
    );
    assign::overload(&candidates, &demand, engine, &partitions, draw)
}

/// Returns when an upstream of the job's service accepts work again, if that is too late: all have
/// deferred requests, or the requests that wait for permits use up the limits of all.
fn reopens_at(context: &Context, job: &Job, patience: Patience) -> Option<Instant> {
    let (service, now) = (&job.service.name, Instant::now());
    let roster = context.roster.lock();
    let deferred = roster.reopens_at(service, now);
    let deferred = deferred.filter(|at| *at >= patience.give_up_at);
    deferred.or_else(|| roster.permits_at(service, patience.for_permit(), now))
}

/// What a look for capacity depends on besides the request.
pub(super) struct Look {
    /// The share of the waiting time that is left, from 1 to 0.
    left: f64,
    /// How long the request may wait for a permit.
    for_permit: Duration,
    /// Whether it resumes a response.
    resumes: bool,
    /// Whether the upstreams of all zones are considered.
    is_wide: bool,
}

impl Look {
    /// Returns a look at `view`, or, if there is none, one at the end of the waiting time.
    pub(super) fn new(patience: Patience, resumes: bool, view: Option<waiting::View>) -> Self {
        Self {
            left: view.map_or(0.0, |view| view.left),
            for_permit: patience.for_permit(),
            resumes,
            is_wide: view.is_none_or(|view| view.is_wide),
        }
    }
}

/// The upstreams selected for an attempt.
pub(super) struct Selection {
    pub(super) candidates: Vec<Candidate>,
    pub(super) primary: usize,
    pub(super) helpers: Vec<usize>,
    tickets: Vec<u64>,
    pub(super) ready_ms: f64,
}

/// Tries to select upstreams once.
///
/// In a large fleet, those of the daemon's zone go first: it knows their load exactly, and there are
/// enough of them for most requests. The others are considered if `is_wide` and if no choice in the
/// zone answers in time.
pub(super) fn try_select(
    context: &Context,
    job: &Job,
    excluded: &Set<Arc<str>>,
    look: &Look,
) -> Result<Selection, Refusal> {
    let partitions = context.partitions.lock().partitions(Instant::now());
    let mut demand = job.demand(look.left, look.resumes, share::excess(context, job));
    // The upstreams of earlier attempts are excluded.
    demand.is_begun |= !excluded.is_empty();
    let select = |reach| {
        let (permit_wait, load) = (look.for_permit, LoadView::of(&demand));
        let candidates = candidates(
            context,
            job,
            excluded,
            permit_wait,
            &partitions,
            reach,
            load,
        );
        let choice = match &job.service.engine {
            Some(engine) => assign::place(&candidates, &demand, engine, &partitions),
            None => assign::least_loaded(&candidates),
        };
        match choice {
            Choice::Send {
                primary,
                helpers,
                tickets,
                ready_ms,
            } => Ok(Selection {
                candidates,
                primary,
                helpers,
                tickets,
                ready_ms,
            }),
            Choice::Wait => Err(Refusal::Full),
            Choice::Crowded => Err(Refusal::Crowded),
            Choice::Unavailable => Err(Refusal::NoUpstream),
        }
    };
    if !is_local_first(context, job) {
        return select(Scope::Fleet);
    }
    match select(Scope::Zone) {
        Ok(selection) if selection.ready_ms <= demand.objective_in_ms => Ok(selection),
        Ok(_) | Err(_) if look.is_wide => select(Scope::Fleet),
        // The next selection considers the other zones.
        Ok(_) | Err(_) => Err(Refusal::Full),
    }
}

/// Logs that a request waits in the queue.
fn log_queued(job: &Job, overdue: bool) {
    log::info!(
        request = job.request.id.as_str(),
        priority = job.priority,
        handed_over = job.entry.is_some(),
        overdue;
        "queued"
    );
}

/// Logs what a request lacks that is about to be refused.
fn log_shortage(context: &Arc<Context>, job: &Job, excluded: &Set<Arc<str>>, look: &Look) {
    let Some(engine) = &job.service.engine else {
        return;
    };
    let partitions = context.partitions.lock().partitions(Instant::now());
    let demand = job.demand(look.left, look.resumes, share::excess(context, job));
    let (permit_wait, reach) = (look.for_permit, Scope::Fleet);
    let load = LoadView::of(&demand);
    let candidates = candidates(
        context,
        job,
        excluded,
        permit_wait,
        &partitions,
        reach,
        load,
    );
    let shortage = assign::shortage(&candidates, &demand, engine, &partitions);
    log::info!(
        request = job.request.id.as_str(),
        prompt_tokens = job.request.prompt_tokens,
        candidates = candidates.len(),
        elapsed_ms = job.received.elapsed().as_millis() as u64,
        over_share = demand.over_share,
        shortage:%;
        "no capacity in time"
    );
}

/// Returns whether the upstreams in the daemon's zone are considered before the others.
pub(super) fn is_local_first(context: &Context, job: &Job) -> bool {
    if context.exchange.lock().peers.scope() == Scope::Fleet || job.service.engine.is_none() {
        return false;
    }
    let roster = context.roster.lock();
    let upstreams = roster.candidates(&job.service.name, Instant::now());
    upstreams.count() > WIDE_UPSTREAMS_MAX
}

/// Which load of the upstreams counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadView {
    /// What is known of it.
    Told,
    /// What is expected now, with what other daemons have probably sent since.
    Expected,
}

impl LoadView {
    /// Returns the load on which a selection depends. An urgent request needs a slot at once; a longer one needs
    /// engines that are free of prefill, of which the daemons tell each other early.
    pub(super) fn of(demand: &Demand) -> Self {
        if crowd::is_urgent(demand) {
            Self::Expected
        } else {
            Self::Told
        }
    }
}

/// Why an upstream of a service cannot be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Barrier {
    /// It was tried before.
    Tried,
    /// It names a limit, and no permit is free in time.
    Limit,
    /// It may be cold, and has got as much as cold upstreams may.
    Cold,
    /// It has failed recently.
    Failing,
}

/// Returns the upstreams that may be selected now, with the load that is expected now.
fn candidates(
    context: &Context,
    job: &Job,
    excluded: &Set<Arc<str>>,
    permit_wait_max: Duration,
    partitions: &Partitions,
    reach: Scope,
    load: LoadView,
) -> Vec<Candidate> {
    let checked = check(
        context,
        job,
        excluded,
        permit_wait_max,
        partitions,
        reach,
        load,
    );
    checked.into_iter().filter_map(Result::ok).collect()
}

/// Returns each upstream to which the service's requests may be sent, or why it cannot be selected now, in
/// the order of their ids.
pub(super) fn check(
    context: &Context,
    job: &Job,
    excluded: &Set<Arc<str>>,
    permit_wait_max: Duration,
    partitions: &Partitions,
    reach: Scope,
    load: LoadView,
) -> Vec<Result<Candidate, (Arc<Upstream>, Barrier)>> {
    let now = Instant::now();
    let roster = context.roster.lock();
    let occupancy = context.occupancy.lock();
    let mut allowance = context.allowance.lock();
    let health = context.health.lock();
    let own_zone = &context.settings.zone;
    let upstreams = roster.candidates(&job.service.name, now);
    let upstreams =
        upstreams.filter(|upstream| reach == Scope::Fleet || upstream.zone == *own_zone);
    let isolated = context.is_isolated(CONTACT_AGE_MAX);
    let upstreams = upstreams.map(|upstream| (upstream, occupancy.news(&upstream.id, now)));
    let mut upstreams: Vec<(&Arc<Upstream>, News)> = upstreams.collect();
    // A common order makes all daemons pack requests onto the same upstreams.
    upstreams.sort_by(|(left, _), (right, _)| left.id.cmp(&right.id));
    let all_news = upstreams.iter();
    // What other zones have not told yet does not go to the own one.
    let all_news = all_news.filter(|(upstream, _)| upstream.zone == *own_zone);
    let spread = Spread::new(all_news.map(|(upstream, news)| (news, upstream.slots)));
    let engine = job.service.engine.as_ref();
    let checked = upstreams.iter().map(|(upstream, news)| {
        let barred = |barrier| (Arc::clone(upstream), barrier);
        let (id, told) = (&upstream.id, &news.work);
        let permit_wait = roster.permit_wait(id, now);
        if permit_wait.is_some_and(|wait| wait > permit_wait_max) {
            return Err(barred(Barrier::Limit));
        }
        let cold = roster.may_be_cold(id, now);
        let peer_count = (!cold && !isolated).then_some(u64::from(told.recent_requests));
        if excluded.contains(id) {
            return Err(barred(Barrier::Tried));
        }
        if !allowance.may_send(id, job.service.cold_rate, peer_count, now) {
            return Err(barred(Barrier::Cold));
        }
        let failure_cost = health.cost(id, told.running(), now);
        Ok(Candidate {
            work: match load {
                // Between two summaries of another zone, about as many requests end as are sent.
                LoadView::Expected if upstream.zone == *own_zone => {
                    spread.expected(news, upstream.slots, engine, rand::random())
                }
                LoadView::Expected | LoadView::Told => news.work,
            },
            local: upstream.zone == *own_zone,
            unreachable: partitions.contains(own_zone, &upstream.zone),
            cold: roster.is_cold(id, now),
            permit_wait_ms: permit_wait
                .filter(|wait| !wait.is_zero() || roster.is_limit_confirmed(id, now))
                .map(|wait| wait.as_secs_f64() * 1000.0),
            failure_cost: failure_cost.ok_or_else(|| barred(Barrier::Failing))?,
            upstream: Arc::clone(upstream),
        })
    });
    checked.collect()
}

impl Selection {
    /// Adds the load of `job` to the selected upstreams.
    fn place(self, context: &Arc<Context>, job: &Job) -> Placement {
        let now = Instant::now();
        let upstream =
            |index: usize| -> Arc<Upstream> { Arc::clone(&self.candidates[index].upstream) };
        let chosen = &self.candidates[self.primary];
        let news = context.occupancy.lock().news(&chosen.upstream.id, now);
        let (expected, told) = (chosen.work.running(), news.work.running());
        let added = expected.saturating_sub(told);
        context.metrics.placed(&job.service.name, news.age, added);
        log::info!(
            request = job.request.id.as_str(),
            upstream = chosen.upstream.id.as_ref(),
            helpers = self.helpers.len(),
            tickets = self.tickets.len(),
            running = expected,
            told,
            news_age_ms = news.age.as_millis() as u64,
            reading_ms = f64::from(chosen.work.prefill_ms).round(),
            ready_ms = self.ready_ms.round();
            "placed"
        );
        let helpers: Vec<_> = self.helpers.iter().map(|index| upstream(*index)).collect();
        let primary = upstream(self.primary);
        let mut allowance = context.allowance.lock();
        for chosen in helpers.iter().chain([&primary]) {
            allowance.record_send(&chosen.id, now);
        }
        drop(allowance);
        let (serving, helping) = loads(job, helpers.len(), &self.tickets);
        let mut placement =
            Placement::new(context, primary, serving, helpers, helping, self.tickets);
        placement.ready = Duration::from_secs_f64(self.ready_ms / 1000.0);
        placement
    }
}

/// Returns the load on the serving upstream and on each of the `helpers` others.
fn loads(job: &Job, helpers: usize, tickets: &[u64]) -> (Load, Load) {
    let share_ms = (job.prefill_ms() / (helpers as f64 + 1.0)) as f32;
    let reserved: u64 = tickets.iter().sum();
    let tokens = job
        .request
        .prompt_tokens
        .saturating_add(job.request.answer_tokens);
    let unreserved = tokens.saturating_sub(reserved);
    let serving = Load {
        latency_class: Some(job.latency_class()),
        weight: assign::weight(job.request.prompt_tokens) as f32,
        prefill_ms: share_ms,
        memory_tokens: u32::try_from(unreserved).unwrap_or(u32::MAX),
    };
    let helping = Load {
        latency_class: None,
        weight: 0.0,
        prefill_ms: share_ms,
        memory_tokens: 0,
    };
    (serving, helping)
}
