//! The metrics of the daemon, served in the Prometheus text format on the admin port.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use primrosehoist::state::fleet::Version;
use prometheus::{Registry, TextEncoder};

use crate::resident::Resident;

/// The histogram bucket bounds for durations, in seconds.
const BUCKET_BOUNDS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0,
    200.0, 500.0,
];

/// The instruments of the daemon. Locks taken while recording are held only briefly.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    queue: Histogram<f64>,
    news_age: Histogram<f64>,
    expected_sends: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    retries: Counter<u64>,
    platform_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    gossip_messages: Counter<u64>,
    permits: Counter<u64>,
    refused_over_share: Counter<u64>,
    handovers_taken: Counter<u64>,
    seed_requests: Counter<u64>,
    rejected: Counter<u64>,
    task_restarts: Counter<u64>,
    runtime_stalls: Counter<u64>,
    /// The connections that had to make room for others, on all ports.
    connections_closed: Arc<AtomicU64>,
    states: States,
}

/// What is true of the daemon now.
#[derive(Debug)]
struct States {
    version: Gauge<u64>,
    cut_off: Gauge<u64>,
    start_waits: Gauge<u64>,
    cut_lists: Gauge<u64>,
    serving_hosts: Gauge<u64>,
    resident: Gauge<u64>,
    resident_peak: Gauge<u64>,
}

impl States {
    fn new(meter: &Meter) -> Self {
        Self {
            version: gauge(
                meter,
                "primrosehoist_config_version",
                "The configuration version in force",
            ),
            cut_off: gauge(
                meter,
                "primrosehoist_cut_off",
                "Whether the host is cut off from all upstreams",
            ),
            start_waits: gauge(
                meter,
                "primrosehoist_start_waits",
                "Whether the daemon has not got what it needs since its start",
            ),
            cut_lists: gauge(
                meter,
                "primrosehoist_cut_lists",
                "Whether a list of the store could not be read behind a name",
            ),
            serving_hosts: gauge(
                meter,
                "primrosehoist_serving_hosts",
                "Other hosts that take requests",
            ),
            resident: bytes_gauge(meter, "primrosehoist_resident", "Memory of the process"),
            resident_peak: bytes_gauge(
                meter,
                "primrosehoist_resident_peak",
                "The most memory that the process took",
            ),
        }
    }
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let provider = provider(&registry)?;
        let meter = provider.meter("primrosehoist");
        Ok(Self {
            registry,
            requests: counter(&meter, "primrosehoist_requests", "Requests that ended"),
            first_token: duration_histogram(
                &meter,
                "primrosehoist_first_token",
                "Time from receipt of a request to its first token",
            ),
            queue: duration_histogram(&meter, "primrosehoist_queue", "Time in the holder's queue"),
            news_age: duration_histogram(
                &meter,
                "primrosehoist_news_age",
                "Age of the news of the upstreams that requests were sent to",
            ),
            expected_sends: counter(
                &meter,
                "primrosehoist_expected_sends",
                "Requests of other daemons that were expected on chosen upstreams before they were told",
            ),
            in_flight: meter
                .i64_up_down_counter("primrosehoist_in_flight")
                .with_description("Requests admitted and not yet ended")
                .build(),
            retries: counter(&meter, "primrosehoist_retries", "Attempts after the first"),
            platform_calls: counter(
                &meter,
                "primrosehoist_platform_calls",
                "Calls to the platform",
            ),
            peer_bytes: counter(
                &meter,
                "primrosehoist_peer_bytes",
                "Bytes sent to and received from other daemons",
            ),
            gossip_messages: counter(
                &meter,
                "primrosehoist_gossip_messages",
                "Datagrams sent to and received from other daemons",
            ),
            permits: counter(
                &meter,
                "primrosehoist_permits",
                "Permits requested for upstreams that name a limit",
            ),
            refused_over_share: counter(
                &meter,
                "primrosehoist_refused_over_share",
                "Requests refused for capacity, of workspaces that ask for more than their fair share",
            ),
            handovers_taken: counter(
                &meter,
                "primrosehoist_handovers_taken",
                "Requests that other daemons handed over to this one",
            ),
            seed_requests: counter(
                &meter,
                "primrosehoist_seed_requests",
                "Requests of starting daemons for platform state",
            ),
            rejected: counter(
                &meter,
                "primrosehoist_rejected",
                "Requests that were not admitted, invalid datagrams, and malformed entries",
            ),
            task_restarts: counter(
                &meter,
                "primrosehoist_task_restarts",
                "Long-lived tasks started again after a panic",
            ),
            runtime_stalls: counter(
                &meter,
                "primrosehoist_runtime_stalls",
                "Times in which no task ran for seconds",
            ),
            connections_closed: connections_counter(&meter),
            states: States::new(&meter),
            _provider: provider,
        })
    }

    /// Counts a request of `service` that ended with `outcome`, such as `complete` or `not_run`.
    pub(crate) fn ended<S, O>(&self, service: S, outcome: O)
    where
        S: Display,
        O: Display,
    {
        let labels = [label("service", service), label("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Records the time from receipt of a request to its first token.
    pub(crate) fn first_token<S>(&self, service: S, time: Duration)
    where
        S: Display,
    {
        let labels = [label("service", service)];
        self.first_token.record(time.as_secs_f64(), &labels);
    }

    /// Records the time that a request spent in the holder's queue.
    pub(crate) fn queued<S>(&self, service: S, time: Duration)
    where
        S: Display,
    {
        let labels = [label("service", service)];
        self.queue.record(time.as_secs_f64(), &labels);
    }

    /// Records the age of the news of the upstream that a request is sent to, and how many requests of other
    /// daemons were expected there that it does not tell of.
    pub(crate) fn placed<S>(&self, service: S, age: Duration, expected: u32)
    where
        S: Display,
    {
        let labels = [label("service", service)];
        self.news_age.record(age.as_secs_f64(), &labels);
        self.expected_sends.add(expected.into(), &labels);
    }

    /// Adds `change` to the number of requests in flight; it is negative when requests end.
    pub(crate) fn in_flight<S>(&self, service: S, change: i64)
    where
        S: Display,
    {
        self.in_flight.add(change, &[label("service", service)]);
    }

    /// Counts a retry, which is any attempt after the first.
    pub(crate) fn retried<S>(&self, service: S)
    where
        S: Display,
    {
        self.retries.add(1, &[label("service", service)]);
    }

    /// Counts `count` calls to the platform of one kind, such as `get`.
    pub(crate) fn platform_called<C>(&self, call: C, count: u64)
    where
        C: Display,
    {
        self.platform_calls.add(count, &[label("call", call)]);
    }

    /// Counts bytes exchanged with other daemons; `direction` is `sent` or `received`.
    pub(crate) fn peer_bytes(&self, direction: &'static str, bytes: u64) {
        self.peer_bytes.add(bytes, &[label("direction", direction)]);
    }

    /// Counts a permit for a request to an upstream that names a limit; `outcome` is `granted`, `denied`
    /// or `unanswered`.
    pub(crate) fn permit(&self, outcome: &'static str) {
        self.permits.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a request that another daemon handed over; `outcome` is what that one was told.
    pub(crate) fn handover_taken<O>(&self, outcome: O)
    where
        O: Display,
    {
        self.handovers_taken.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a request of a starting daemon for platform state; `outcome` is `answered`, `uninformed` or
    /// `refused`.
    pub(crate) fn seed_request(&self, outcome: &'static str) {
        self.seed_requests.add(1, &[label("outcome", outcome)]);
    }

    /// Counts a request that was not admitted, such as for `no_route`, an invalid datagram, or a malformed entry.
    pub(crate) fn rejected<R>(&self, reason: R)
    where
        R: Display,
    {
        self.rejected.add(1, &[label("reason", reason)]);
    }

    /// Counts a request that is refused for capacity, of a workspace that asks for more than its fair share.
    pub(crate) fn refused_over_share(&self) {
        self.refused_over_share.add(1, &[]);
    }

    /// Counts datagrams exchanged with other daemons, and their bytes; `direction` is `sent` or
    /// `received`.
    pub(crate) fn gossip(&self, direction: &'static str, messages: u64, bytes: u64) {
        let labels = [KeyValue::new("direction", direction)];
        self.gossip_messages.add(messages, &labels);
        self.peer_bytes.add(bytes, &labels);
    }

    /// Returns the counter of connections that had to make room for others.
    pub(crate) fn connections_closed(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.connections_closed)
    }

    /// Returns the counter of tasks that were started again after a panic.
    pub(crate) fn task_restarts(&self) -> Counter<u64> {
        self.task_restarts.clone()
    }

    /// Returns the counter of stalls of the runtime.
    pub(crate) fn runtime_stalls(&self) -> Counter<u64> {
        self.runtime_stalls.clone()
    }

    /// Records the configuration version in force.
    pub(crate) fn version(&self, version: Version) {
        self.states.version.record(version, &[]);
    }

    /// Records whether the host is cut off from the upstreams.
    pub(crate) fn cut_off(&self, cut_off: bool) {
        self.states.cut_off.record(u64::from(cut_off), &[]);
    }

    /// Records whether the daemon still waits for `need` since its start, such as for `configuration`.
    pub(crate) fn start_waits<N>(&self, need: N, waits: bool)
    where
        N: Display,
    {
        let labels = [label("need", need)];
        self.states.start_waits.record(u64::from(waits), &labels);
    }

    /// Records whether the list of objects of `kind` could not be read behind the object `after`.
    pub(crate) fn cut_list(&self, kind: &'static str, after: String, is_cut: bool) {
        let labels = [label("kind", kind), KeyValue::new("after", after)];
        self.states.cut_lists.record(u64::from(is_cut), &labels);
    }

    /// Records how many other hosts take requests.
    pub(crate) fn serving_hosts(&self, hosts: usize) {
        self.states.serving_hosts.record(hosts as u64, &[]);
    }

    /// Records the memory of the process.
    pub(crate) fn resident(&self, resident: Resident) {
        self.states.resident.record(resident.now, &[]);
        self.states.resident_peak.record(resident.peak, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub(crate) fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Returns a provider whose instruments are exported to `registry`.
fn provider(registry: &Registry) -> Result<SdkMeterProvider, OTelSdkError> {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()?;
    Ok(SdkMeterProvider::builder().with_reader(exporter).build())
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

/// Creates the counter of connections that had to make room for others, which is read when it is observed.
fn connections_counter(meter: &Meter) -> Arc<AtomicU64> {
    let closed = Arc::new(AtomicU64::new(0));
    let observed = Arc::clone(&closed);
    meter
        .u64_observable_counter("primrosehoist_connections_closed")
        .with_description("Connections closed to make room for others")
        .with_callback(move |observer| observer.observe(observed.load(Ordering::Relaxed), &[]))
        .build();
    closed
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn bytes_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter
        .u64_gauge(name)
        .with_unit("By")
        .with_description(description)
        .build()
}

fn duration_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(BUCKET_BOUNDS_S.to_vec())
        .build()
}

fn label<V>(key: &'static str, value: V) -> KeyValue
where
    V: Display,
{
    KeyValue::new(key, value.to_string())
}
