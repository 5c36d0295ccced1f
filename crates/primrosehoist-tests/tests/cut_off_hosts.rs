//! Tests hosts that are cut off from all upstreams, but not from callers, the store and other hosts.

mod common;

use std::collections::{HashMap, HashSet};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use common::links::{Links, Mode};
use common::platform::{Deployment, Request, Response, event_ids, send, start_request};

const ZONES: [&str; 3] = ["zone-a", "zone-a", "zone-b"];

/// `StableWindowMs` of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long a host is cut off.
const CUT: Duration = Duration::from_secs(8);

/// The least time before a cut and after it.
const CALM: Duration = Duration::from_millis(1500);

/// The time between two requests of one kind to one daemon.
const INTERVAL: Duration = Duration::from_millis(200);

const DEADLINE_MS: u64 = 2500;
const EVENTS: u64 = 8;

/// What the log of a host says when it is cut off.
const CUT_OFF: &str = "cut off from all upstreams";

/// What the log of a host says when it takes over a request of another one.
const TAKEN_OVER: &str = "request taken over";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Stream,
    Idempotent,
    Once,
}

const KINDS: [Kind; 3] = [Kind::Stream, Kind::Idempotent, Kind::Once];

impl Kind {
    fn request(self) -> Request {
        let mut request = match self {
            Self::Stream => Request::stream(5000, EVENTS),
            Self::Idempotent => Request::new("GET", "/look/1"),
            Self::Once => Request::new("POST", "/order/1"),
        };
        request.headers[0].1 = DEADLINE_MS.to_string();
        request
    }

    /// Returns the whole body of the answer to `request`.
    fn body(self, request: &Request) -> Vec<u8> {
        match self {
            Self::Stream => {
                let events = event_ids(EVENTS).into_iter();
                let events = events.map(|id| format!("id: {id}\ndata: {} {id}\n\n", request.id));
                events.collect::<String>().into_bytes()
            }
            Self::Idempotent | Self::Once => {
                let body = json!({"path": request.path, "bytes": request.body.len()});
                body.to_string().into_bytes()
            }
        }
    }
}

/// A request with its answer.
struct Exchange {
    daemon: usize,
    kind: Kind,
    request: Request,
    sent: Instant,
    response: Response,
}

impl Exchange {
    fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.complete
    }
}

fn exchange(daemon: usize, address: &str, kind: Kind) -> Exchange {
    let request = kind.request();
    let sent = Instant::now();
    let response = send(address, &request);
    Exchange {
        daemon,
        kind,
        request,
        sent,
        response,
    }
}

/// Sends requests of all kinds to all daemons while `disturb` runs. Returns them with its result.
fn beside_load<D, R>(deployment: &mut Deployment, disturb: D) -> (Vec<Exchange>, R)
where
    D: FnOnce(&mut Deployment) -> R,
{
    let daemons = deployment.daemons.iter();
    let addresses: Vec<String> = daemons.map(|daemon| daemon.ingress.clone()).collect();
    let exchanges = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    let result = std::thread::scope(|scope| {
        let (exchanges, is_over) = (&exchanges, &is_over);
        for (daemon, address) in addresses.iter().enumerate() {
            scope.spawn(move || {
                // A request does not wait for the one before it.
                while !is_over.load(Ordering::Relaxed) {
                    for kind in KINDS {
                        scope.spawn(move || {
                            let exchange = exchange(daemon, address, kind);
                            let mut all = exchanges.lock().unwrap_or_else(PoisonError::into_inner);
                            all.push(exchange);
                        });
                    }
                    sleep(INTERVAL);
                }
            });
        }
        let result = disturb(deployment);
        is_over.store(true, Ordering::Relaxed);
        result
    });
    let exchanges = exchanges
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    (exchanges, result)
}

/// Returns how often each request ran on the runners that are up.
fn count_runs(deployment: &Deployment) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for index in 0..deployment.runners.len() {
        let counts = deployment.counts(index);
        for run in counts["runs"].as_array().expect("runs") {
            let id = run["id"].as_str().expect("an id").to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    runs
}

/// Asserts what holds for every request, whatever was cut.
fn check(deployment: &Deployment, exchanges: &[Exchange], runs: &HashMap<String, usize>) {
    for Exchange {
        kind,
        request,
        response,
        ..
    } in exchanges
    {
        let id = &request.id;
        let count = runs.get(id).copied().unwrap_or(0);
        if *kind == Kind::Once {
            assert!(count <= 1, "{id} ran {count} times");
        }
        if matches!(response.status, 408 | 421 | 429 | 503) {
            assert_eq!(
                count, 0,
                "{id} ran, but was reported as not run: {response:?}"
            );
        }
        if response.status / 100 != 2 {
            continue;
        }
        assert_eq!(response.header("x-attempt-id"), Some(id.as_str()));
        let mut runners = deployment.runners.iter();
        let seal = response.header("x-response-seal").unwrap_or_default();
        assert!(
            runners.any(|runner| seal == format!("{}.{id}", runner.id)),
            "{id} has the seal {seal:?}"
        );
        let whole = kind.body(request);
        assert!(
            whole.starts_with(&response.body),
            "{id} has a wrong body: {response:?}"
        );
        if response.complete {
            assert_eq!(response.body, whole, "{id} ended early: {response:?}");
        }
    }
}

/// Asserts that no daemon has learned of upstreams from another one, and uses the links of that one.
fn check_links(deployment: &Deployment) {
    for (index, text) in logs(deployment).iter().enumerate() {
        for message in ["platform state received from peer", "upstream changed"] {
            assert!(!text.contains(message), "daemon {index}: {message}");
        }
    }
}

fn logs(deployment: &Deployment) -> Vec<String> {
    let daemons = deployment.daemons.iter();
    daemons
        .map(|daemon| fs::read_to_string(&daemon.log).unwrap_or_default())
        .collect()
}

/// Returns how many of the requests that `selected` selects were served, and how many there are.
fn served<S>(exchanges: &[Exchange], selected: S) -> (usize, usize)
where
    S: Fn(&Exchange) -> bool,
{
    let all: Vec<_> = exchanges.iter().filter(|one| selected(one)).collect();
    let served = all.iter().filter(|one| one.is_served());
    (served.count(), all.len())
}

/// Cuts off the first `cut` of the daemons in `zones`, and asserts that first tries there are served at
/// least two thirds as often as those at the others.
fn cut_off_hosts_serve(name: &str, zones: &[&str], cut: usize, mode: Mode) {
    let (mut deployment, links) = Links::deployment(zones);
    let (exchanges, (began, ended)) = beside_load(&mut deployment, |_| {
        sleep(CALM);
        let began = Instant::now();
        (0..cut).for_each(|daemon| links.set(daemon, mode));
        sleep(CUT);
        let ended = Instant::now();
        (0..cut).for_each(|daemon| links.set(daemon, Mode::Pass));
        sleep(CALM);
        (began, ended)
    });
    let counts = |from: Instant, to: Instant, is_cut_off: bool| {
        served(&exchanges, |one| {
            (one.daemon < cut) == is_cut_off && (from..to).contains(&one.sent)
        })
    };
    let from = began + STABLE_WINDOW;
    let (inside, outside) = (counts(from, ended, true), counts(from, ended, false));
    println!("{name}: {inside:?} served of requests at cut-off hosts, {outside:?} at the others");
    println!(
        "{name}: {:?} in the first seconds",
        counts(began, from, true)
    );
    check_links(&deployment);
    check(&deployment, &exchanges, &count_runs(&deployment));
    assert!(outside.0 > 0, "nothing was served by the others");
    assert!(
        inside.0 * outside.1 * 3 >= outside.0 * inside.1 * 2,
        "{inside:?} at cut-off hosts, {outside:?} at the others"
    );
}

#[test]
fn first_tries_at_a_host_without_upstreams_are_served_hang() {
    cut_off_hosts_serve("hang", &ZONES, 1, Mode::Hang);
}

#[test]
fn first_tries_at_a_host_without_upstreams_are_served_reset() {
    cut_off_hosts_serve("reset", &ZONES, 1, Mode::Reset);
}

#[test]
fn first_tries_at_a_host_without_upstreams_are_served_refuse() {
    cut_off_hosts_serve("refuse", &ZONES, 1, Mode::Refuse);
}

#[test]
fn most_hosts_cut_off_are_served_by_the_few_that_are_not() {
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b"];
    cut_off_hosts_serve("most", &zones, 3, Mode::Hang);
}

/// Guards against upstreams that count as unreachable because one of them says nothing for a second.
#[test]
fn single_silent_upstream_cuts_nobody_off() {
    let (mut deployment, links) = Links::deployment(&ZONES);
    let upstreams = deployment.runners.len();
    let (exchanges, ()) = beside_load(&mut deployment, |_| {
        for upstream in 0..upstreams {
            sleep(CALM);
            links.set_upstream(upstream, Mode::Silent);
            sleep(Duration::from_secs(1));
            links.set_upstream(upstream, Mode::Pass);
        }
        sleep(CALM);
    });
    let (served, all) = served(&exchanges, |_| true);
    println!("silent: {served} of {all} served");
    check_links(&deployment);
    check(&deployment, &exchanges, &count_runs(&deployment));
    for text in logs(&deployment) {
        assert!(!text.contains(CUT_OFF) && !text.contains(TAKEN_OVER));
    }
    assert_eq!(served, all);
}

#[test]
fn all_upstreams_dead_is_not_a_cut() {
    let mut deployment = Deployment::ready(3);
    let (exchanges, (mut runs, [known, dead_logs, back_logs], [died, known_at, back])) =
        beside_load(&mut deployment, |deployment| {
            sleep(CALM);
            let runs = count_runs(deployment);
            let died = Instant::now();
            for runner in &mut deployment.runners {
                runner.process.take().expect("the runner runs").kill();
            }
            sleep(Duration::from_secs(1));
            let known_at = Instant::now();
            let known = logs(deployment);
            sleep(STABLE_WINDOW);
            let dead_logs = logs(deployment);
            for index in 0..deployment.runners.len() {
                deployment.start_runner(index);
            }
            let back = Instant::now();
            // A daemon that reaches them first takes over requests of the others until they do.
            sleep(Duration::from_secs(1));
            let back_logs = logs(deployment);
            sleep(STABLE_WINDOW + CALM);
            (runs, [known, dead_logs, back_logs], [died, known_at, back])
        });
    for (id, count) in count_runs(&deployment) {
        *runs.entry(id).or_default() += count;
    }
    check(&deployment, &exchanges, &runs);
    let dead = exchanges
        .iter()
        .filter(|one| (died..back).contains(&one.sent));
    for Exchange { response, .. } in dead {
        assert!(
            matches!(response.status, 200 | 502 | 503 | 504),
            "{response:?}"
        );
    }
    for (text, known) in dead_logs.iter().zip(&known) {
        assert!(!text[known.len()..].contains(TAKEN_OVER));
    }
    for (text, known) in logs(&deployment).iter().zip(&back_logs) {
        assert!(!text[known.len()..].contains(TAKEN_OVER));
    }
    let meanwhile = served(&exchanges, |one| (known_at..back).contains(&one.sent));
    let back = served(&exchanges, |one| one.sent > back + STABLE_WINDOW);
    println!("dead: {meanwhile:?} served while all were dead, {back:?} after");
    assert!(
        back.1 > 0 && back.0 == back.1,
        "service did not return: {back:?}"
    );
}

/// Sends requests to the first daemon until it has had time to notice that it is cut off.
fn let_notice(deployment: &Deployment) -> Vec<Exchange> {
    let address = &deployment.daemons[0].ingress;
    let began = Instant::now();
    let mut exchanges = Vec::new();
    while began.elapsed() < STABLE_WINDOW {
        std::thread::scope(|scope| {
            let sent = KINDS.map(|kind| scope.spawn(move || exchange(0, address, kind)));
            let answered = sent.map(|one| one.join().expect("the caller does not panic"));
            exchanges.extend(answered);
        });
        sleep(INTERVAL);
    }
    exchanges
}

#[test]
fn caller_that_leaves_is_felt_at_the_runner_through_another_host() {
    let (deployment, links) = Links::deployment(&ZONES);
    links.set(0, Mode::Reset);
    let exchanges = let_notice(&deployment);
    check_links(&deployment);
    check(&deployment, &exchanges, &count_runs(&deployment));
    let request = Request::stream(5000, 400);
    let mut connection = start_request(&deployment.daemons[0].ingress, &request);
    let mut start = Vec::new();
    let mut buffer = [0; 4096];
    while !String::from_utf8_lossy(&start).contains("id: 3\n") {
        let length = connection.read(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&start);
        assert!(length > 0, "the stream does not begin: {text}");
        start.extend_from_slice(&buffer[..length]);
    }
    let count = |name: &str| -> u64 {
        let runners = 0..deployment.runners.len();
        let counts = runners.map(|index| deployment.counts(index)[name].as_u64());
        counts.map(|count| count.expect("a count")).sum()
    };
    let running = count("running");
    assert_eq!(running, 1, "streams in progress");
    drop(connection);
    sleep(Duration::from_millis(500));
    assert_eq!(count("running"), 0, "runners are still at work");
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn host_returns_to_its_own_way_after_the_cut() {
    let (mut deployment, links) = Links::deployment(&ZONES);
    let (exchanges, (began, healed)) = beside_load(&mut deployment, |_| {
        sleep(CALM);
        let began = Instant::now();
        links.set(0, Mode::Hang);
        sleep(CUT / 2);
        links.set(0, Mode::Pass);
        let healed = Instant::now();
        sleep(Duration::from_secs(2) + CALM);
        (began, healed)
    });
    check_links(&deployment);
    check(&deployment, &exchanges, &count_runs(&deployment));
    // A thread of each daemon writes its log after the response.
    sleep(Duration::from_millis(500));
    let texts = logs(&deployment);
    let ids_of = |daemon: usize, message: &str| -> HashSet<String> {
        let records = texts[daemon].lines();
        let records = records.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let found = records.filter(|record| record["message"] == message);
        found
            .filter_map(|record| record["request"].as_str().map(str::to_owned))
            .collect()
    };
    let placed = ids_of(0, "placed");
    let taken_over = &ids_of(1, TAKEN_OVER) | &ids_of(2, TAKEN_OVER);
    let own = || exchanges.iter().filter(|one| one.daemon == 0);
    let returned: Vec<_> = own()
        .filter(|one| one.sent > healed + Duration::from_secs(2))
        .collect();
    let is_own_way = |one: &&&Exchange| {
        placed.contains(&one.request.id) && !taken_over.contains(&one.request.id)
    };
    let all = returned.len();
    let own_way = returned.iter().filter(is_own_way).count();
    let served = returned.iter().filter(|one| one.is_served()).count();
    println!("returned: of {all} requests, {own_way} went the own way, {served} were served");
    assert!(all > 0 && own_way == all && served == all);
    let handed = own().filter(|one| taken_over.contains(&one.request.id));
    let handed = handed.filter(|one| (began..healed).contains(&one.sent));
    assert!(handed.count() > 0, "nothing was handed over in the cut");
}

/// Asserts that links to an echoing upstream do in each mode what the mode says.
#[test]
fn links_behave_as_their_modes_say() {
    let (deployment, links) = Links::deployment(&["zone-a"]);
    let address = deployment.runners[0].address.replace(":7200", ":7300");
    let address: SocketAddr = address.parse().expect("an address");
    let limit = Duration::from_millis(400);
    let connect = || TcpStream::connect_timeout(&address, limit);
    // Returns the kind of the error, if there is no answer on the connection.
    let ask = |connection: &mut TcpStream| -> Option<ErrorKind> {
        let timeout = connection.set_read_timeout(Some(limit));
        timeout.expect("sets the timeout");
        let asked = connection.write_all(b"GET /standin/counts HTTP/1.1\r\nHost: x\r\n\r\n");
        let read = asked.and_then(|()| connection.read(&mut [0; 4096]));
        match read {
            Ok(0) => Some(ErrorKind::UnexpectedEof),
            Ok(_) => None,
            Err(error) => Some(error.kind()),
        }
    };
    let cases = [
        (
            Mode::Hang,
            Some(ErrorKind::TimedOut),
            Some(ErrorKind::WouldBlock),
        ),
        (Mode::Silent, None, Some(ErrorKind::WouldBlock)),
        (Mode::Refuse, Some(ErrorKind::ConnectionRefused), None),
        (
            Mode::Reset,
            Some(ErrorKind::ConnectionRefused),
            Some(ErrorKind::ConnectionReset),
        ),
    ];
    for (mode, expected_new, expected_old) in cases {
        let mut old = connect().expect("connects");
        assert_eq!(ask(&mut old), None, "{mode:?}");
        links.set(0, mode);
        sleep(Duration::from_millis(50));
        let new = connect().err().map(|error| error.kind());
        assert_eq!(new, expected_new, "new connection: {mode:?}");
        let result = if mode == Mode::Reset {
            old.read(&mut [0]).err().map(|error| error.kind())
        } else {
            ask(&mut old)
        };
        assert_eq!(result, expected_old, "established connection: {mode:?}");
        links.set(0, Mode::Pass);
        sleep(Duration::from_millis(50));
        let mut new = connect().expect("connects after the cut");
        assert_eq!(ask(&mut new), None, "after {mode:?}");
    }
}
