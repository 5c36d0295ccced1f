//! A model of engines that work in passes, without a network.

use std::sync::Arc;

use primrosehoist::coordination::assign::{self, Need, Seat};
use primrosehoist::state::engine::Engine;
use primrosehoist::state::occupancy::{Pace, Work};
use primrosehoist::state::roster::{Phase, Upstream};

/// One request of the load.
#[derive(Debug, Clone)]
pub struct Request {
    pub arrives_ms: f64,
    pub prompt_tokens: u64,
    pub events: u32,
    pub target_ms: f64,
    pub pause_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
}

impl Request {
    pub fn pace(&self) -> Pace {
        Pace::from(Some(std::time::Duration::from_millis(self.pause_ms as u64)))
    }

    /// Returns what placement is told of the request at `now`.
    pub fn need(&self, now: f64) -> Need {
        let waited = now - self.arrives_ms;
        Need {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: u64::from(self.events) * 46,
            pace: self.pace(),
            weight: assign::weight(self.prompt_tokens),
            left_ms: (self.target_ms - waited).max(0.0),
            abandoned_ms: (self.target_ms * 4.0).max(2000.0) - waited,
            patience: (1.0 - waited / (self.deadline_ms / 2.0)).max(0.0),
            salt: self.arrives_ms.to_bits(),
        }
    }
}

/// How a request went.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub first_ms: Option<f64>,
    pub longest_pause_ms: f64,
    pub whole: bool,
}

/// A prompt, or a part of one, that an engine reads.
#[derive(Debug, Clone)]
struct Reading {
    request: usize,
    left_ms: f64,
}

/// A request that an engine writes.
#[derive(Debug, Clone)]
struct Writing {
    request: usize,
    events_left: u32,
    last_ms: f64,
}

#[derive(Debug, Default, Clone)]
struct Runner {
    /// Parts read for others go first, as engines do.
    parts: Vec<Reading>,
    own: Vec<Reading>,
    writing: Vec<Writing>,
    free_at: f64,
}

/// Engines and the requests on them.
pub struct Model {
    pub engine: Engine,
    runners: Vec<Runner>,
    pub requests: Vec<Request>,
    pub outcomes: Vec<Outcome>,
    /// Parts of each request that are not read yet.
    parts_left: Vec<u32>,
    /// The runner that answers each request.
    home: Vec<usize>,
    /// When each request was sent.
    sent_ms: Vec<f64>,
    /// The daemons that send the requests in turn.
    pub daemons: usize,
    /// How long a daemon does not know what another one sent.
    pub lag_ms: f64,
}

impl Model {
    pub fn new(engine: Engine, runners: usize, requests: Vec<Request>) -> Self {
        Self {
            engine,
            runners: vec![Runner::default(); runners],
            outcomes: vec![Outcome::default(); requests.len()],
            parts_left: vec![0; requests.len()],
            home: vec![0; requests.len()],
            sent_ms: vec![0.0; requests.len()],
            daemons: 1,
            lag_ms: 0.0,
            requests,
        }
    }

    /// Begins a request on `first` at `now`, with even parts of its prompt on `helpers`.
    pub fn begin(&mut self, request: usize, first: usize, helpers: &[usize], now: f64) {
        self.sent_ms[request] = now;
        let parts = helpers.len() + 1;
        let left_ms = self.engine.prefill_ms(self.requests[request].prompt_tokens) / parts as f64;
        let reading = Reading { request, left_ms };
        self.home[request] = first;
        self.parts_left[request] = parts as u32;
        self.runners[first].own.push(reading.clone());
        for helper in helpers {
            self.runners[*helper].parts.push(reading.clone());
        }
    }

    /// Returns what the daemon of `request` sees of the runners at `now`.
    pub fn seats(&self, request: usize, now: f64) -> Vec<Seat> {
        let runners = self.runners.iter().enumerate();
        let known = |other: usize| {
            let own = other % self.daemons == request % self.daemons;
            own || self.sent_ms[other] + self.lag_ms <= now
        };
        runners
            .map(|(index, runner)| self.seat(index, runner, known))
            .collect()
    }

    fn seat<F>(&self, index: usize, runner: &Runner, known: F) -> Seat
    where
        F: Fn(usize) -> bool,
    {
        let mut work = Work::default();
        let running = runner.writing.iter().map(|writing| writing.request);
        let all = running.chain(runner.own.iter().map(|reading| reading.request));
        for request in all.filter(|request| known(*request)) {
            let pace = self.requests[request].pace() as usize;
            let tokens = self.requests[request].prompt_tokens;
            work.counts[pace] += 1;
            work.weights[pace] += assign::weight(tokens) as f32;
            work.memory_tokens += tokens as u32;
        }
        let reading = runner.own.iter().chain(&runner.parts);
        let reading = reading.filter(|reading| known(reading.request));
        work.prefill_ms = reading.map(|reading| reading.left_ms as f32).sum();
        Seat {
            upstream: Arc::new(Upstream {
                id: Arc::from(format!("u{index:02}")),
                service: Arc::from("model"),
                address: "10.0.0.1:80".parse().expect("an address"),
                zone: Arc::from("z"),
                slots: self.engine.slots,
                phase: Phase::Ready,
                cold_ms: 0,
                started_ms: None,
            }),
            work,
            local: true,
            cold: false,
            distrust: 0.0,
            cut_off: false,
        }
    }

    /// Runs all passes that begin before `until`.
    pub fn run(&mut self, until: f64) {
        while let Some(index) = self.next_runner(until) {
            self.pass(index);
        }
    }

    fn next_runner(&self, until: f64) -> Option<usize> {
        let busy = |runner: &Runner| {
            !(runner.own.is_empty() && runner.parts.is_empty() && runner.writing.is_empty())
        };
        let ready = (0..self.runners.len())
            .filter(|index| busy(&self.runners[*index]) && self.runners[*index].free_at < until);
        ready.min_by(|one, other| {
            let times = (self.runners[*one].free_at, self.runners[*other].free_at);
            times.0.total_cmp(&times.1)
        })
    }

    /// Lets an idle runner begin at `now` at the earliest.
    pub fn wake(&mut self, now: f64) {
        for runner in &mut self.runners {
            runner.free_at = runner.free_at.max(now);
        }
    }

    fn pass(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let start = runner.free_at;
        let mut left = self.engine.stride * self.engine.step_ms * 9.6;
        let mut read = 0.0;
        let mut done = Vec::new();
        // Parts for others need no slot; what waits for one is not read.
        let slots = (self.engine.slots as usize).saturating_sub(runner.writing.len());
        for (queue, mut admitted) in [(&mut runner.parts, usize::MAX), (&mut runner.own, slots)] {
            while let Some(reading) = queue.first_mut() {
                if admitted == 0 {
                    break;
                }
                admitted -= 1;
                let now = reading.left_ms.min(left - read);
                reading.left_ms -= now;
                read += now;
                if reading.left_ms > 1e-6 {
                    break;
                }
                done.push(reading.request);
                queue.remove(0);
            }
        }
        let writers = runner.writing.len() as f64;
        let steps = if runner.writing.is_empty() {
            0.0
        } else {
            self.engine.pass_ms(writers, 0.0)
        };
        left = start + steps + read.max(0.25);
        runner.free_at = left;
        for writing in &mut runner.writing {
            let outcome = &mut self.outcomes[writing.request];
            outcome.longest_pause_ms = outcome.longest_pause_ms.max(left - writing.last_ms);
            writing.last_ms = left;
            writing.events_left -= 1;
            outcome.whole = writing.events_left == 0;
        }
        runner.writing.retain(|writing| writing.events_left > 0);
        for request in done {
            self.parts_left[request] -= 1;
            if self.parts_left[request] == 0 {
                self.first_event(request, left);
            }
        }
    }

    fn first_event(&mut self, request: usize, now: f64) {
        self.outcomes[request].first_ms = Some(now - self.requests[request].arrives_ms);
        self.runners[self.home[request]].writing.push(Writing {
            request,
            events_left: self.requests[request].events.max(1),
            last_ms: now,
        });
    }
}
