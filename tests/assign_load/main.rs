//! Plays heavy loads against a model of the engines and checks what callers get from the
//! placement, beside round robin and least load.

mod model;

use std::collections::VecDeque;

use model::{Model, Request};
use primrosehoist::coordination::assign::{self, Choice, Seat};
use primrosehoist::state::engine::Engine;
use primrosehoist::state::partition::Partitions;

/// The time between two looks at requests that wait, in milliseconds.
const LOOK_MS: f64 = 10.0;

/// The engines of the smaller site.
const RUNNERS: usize = 16;

/// The length of a load, in milliseconds.
const LENGTH_MS: f64 = 20_000.0;

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46.0,
        step_ms: 0.925,
        per_sequence_ms: 0.00483,
        context_ms_per_k: 0.00254,
        prefill_tokens_per_s: 256_000.0,
        attention_ms_per_m_pairs: 0.0917,
    }
}

/// Requests per second of each kind.
#[derive(Debug, Clone, Copy)]
struct Mix {
    short: f64,
    batch: f64,
    long: f64,
}

/// Short prompts in large numbers, hardly any long ones.
const MANY_SHORT: Mix = Mix {
    short: 80.0,
    batch: 1.3,
    long: 0.1,
};

/// Long prompts take most of the reading.
const MANY_LONG: Mix = Mix {
    short: 12.0,
    batch: 3.3,
    long: 2.4,
};

/// Short prompts that fill most slots of all engines.
const CROWDED: Mix = Mix {
    short: 110.0,
    batch: 1.5,
    long: 0.1,
};

struct Dice(u64);

impl Dice {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a factor around one, now and then a large one.
    fn spread(&mut self, width: f64) -> f64 {
        let sum: f64 = (0..6).map(|_| self.next()).sum::<f64>() - 3.0;
        (sum * 1.41 * width - width * width / 2.0).exp()
    }
}

fn requests(mix: Mix, seed: u64) -> Vec<Request> {
    let mut dice = Dice(seed * 2_654_435_761 + 1);
    let kinds = [
        (
            mix.short, 4960.0, 0.9, 23_800.0, 35, 300.0, 200.0, 10_000.0, 1.3,
        ),
        (
            mix.batch, 45_000.0, 0.5, 110_000.0, 21, 1500.0, 500.0, 10_000.0, 3.1,
        ),
        (
            mix.long, 210_000.0, 0.55, 420_000.0, 17, 3000.0, 800.0, 15_000.0, 22.0,
        ),
    ];
    let mut requests = Vec::new();
    for (rate, tokens, width, tokens_max, events, target_ms, pause_ms, deadline_ms, worth) in kinds
    {
        let mut at = 0.0;
        loop {
            at += -(1.0 - dice.next()).ln() / rate * 1000.0;
            if at > LENGTH_MS {
                break;
            }
            let tokens = f64::min(tokens * dice.spread(width), tokens_max);
            requests.push(Request {
                arrives_ms: at,
                prompt_tokens: tokens as u64,
                events: (f64::from(events) * dice.spread(0.5)).clamp(2.0, 90.0) as u32,
                target_ms,
                pause_ms,
                deadline_ms,
                worth: worth * (0.3 + 0.7 * tokens / if worth > 20.0 { 210_000.0 } else { tokens }),
            });
        }
    }
    requests.sort_by(|one, other| one.arrives_ms.total_cmp(&other.arrives_ms));
    requests
}

/// Chooses for one request; the number counts choices.
type Policy = fn(&[Seat], &Request, f64, usize) -> Choice;

fn placement(seats: &[Seat], request: &Request, now: f64, _number: usize) -> Choice {
    assign::generate(seats, &request.need(now), &engine(), &Partitions::default())
}

fn send(first: usize) -> Choice {
    Choice::Send {
        first,
        helpers: Vec::new(),
        tickets: Vec::new(),
        ready_ms: 0.0,
    }
}

fn round_robin(seats: &[Seat], _request: &Request, _now: f64, number: usize) -> Choice {
    send(number % seats.len())
}

fn least_load(seats: &[Seat], _request: &Request, _now: f64, _number: usize) -> Choice {
    let loads = seats.iter().map(|seat| seat.work.running());
    let least = loads.enumerate().min_by_key(|(_, running)| *running);
    least.map_or(Choice::Wait, |(first, _)| send(first))
}

/// What the callers of one kind got.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    asked: u32,
    served: u32,
    in_time: u32,
    worth: f64,
    owed: f64,
}

impl Share {
    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    fn served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

fn play(mix: Mix, seed: u64, policy: Policy) -> [Share; 3] {
    shares(&played(mix, seed, policy))
}

fn played(mix: Mix, seed: u64, policy: Policy) -> Model {
    run(Model::new(engine(), RUNNERS, requests(mix, seed)), policy)
}

fn run(mut model: Model, policy: Policy) -> Model {
    let mut waiting: VecDeque<usize> = VecDeque::new();
    let mut next = 0;
    let mut number = 0;
    let mut now = 0.0;
    while now < LENGTH_MS + 15_000.0 {
        model.run(now);
        model.wake(now);
        while next < model.requests.len() && model.requests[next].arrives_ms <= now {
            waiting.push_back(next);
            next += 1;
        }
        for _ in 0..waiting.len() {
            let Some(index) = waiting.pop_front() else {
                break;
            };
            let request = &model.requests[index];
            match policy(&model.seats(index, now), request, now, number) {
                Choice::Send { first, helpers, .. } => {
                    number += 1;
                    model.begin(index, first, &helpers, now);
                }
                Choice::Wait | Choice::Nowhere => {
                    if now - request.arrives_ms < request.deadline_ms / 2.0 {
                        waiting.push_back(index);
                    }
                }
            }
        }
        now += LOOK_MS;
    }
    model
}

fn shares(model: &Model) -> [Share; 3] {
    let mut shares = [Share::default(); 3];
    for (request, outcome) in model.requests.iter().zip(&model.outcomes) {
        let share = &mut shares[request.pace() as usize];
        share.asked += 1;
        share.owed += request.worth;
        let first = outcome.first_ms.filter(|_| outcome.whole);
        let Some(first) = first.filter(|first| *first < request.deadline_ms) else {
            continue;
        };
        share.served += 1;
        if first <= request.target_ms && outcome.longest_pause_ms <= request.pause_ms {
            share.in_time += 1;
            share.worth += request.worth;
        } else {
            share.worth += request.worth / 4.0;
        }
    }
    shares
}

fn worth(shares: &[Share; 3]) -> f64 {
    let worth: f64 = shares.iter().map(|share| share.worth).sum();
    let owed: f64 = shares.iter().map(|share| share.owed).sum();
    worth / owed
}

fn print(name: &str, shares: &[Share; 3]) {
    let columns = shares.map(|share| format!("{:.2}/{:.2}", share.in_time(), share.served()));
    println!(
        "{name:12} worth {:.3}, in time/served {columns:?}",
        worth(shares)
    );
}

#[test]
fn short_prompts_in_large_numbers_stay_fast() {
    for seed in 1..=3 {
        let placed = play(MANY_SHORT, seed, placement);
        let robin = play(MANY_SHORT, seed, round_robin);
        print("placement", &placed);
        print("round robin", &robin);
        // The target of the users' short questions on their heaviest day.
        assert!(placed[0].in_time() >= 0.9, "seed {seed}: {placed:?}");
        assert!(worth(&placed) > worth(&robin), "seed {seed}");
    }
}

#[test]
fn long_prompts_are_served_beside_short_ones_that_stay_fast() {
    for seed in 1..=3 {
        let placed = play(MANY_LONG, seed, placement);
        let robin = play(MANY_LONG, seed, round_robin);
        let least = play(MANY_LONG, seed, least_load);
        print("placement", &placed);
        print("round robin", &robin);
        print("least load", &least);
        assert!(placed[0].in_time() >= 0.9, "seed {seed}: {placed:?}");
        assert!(placed[2].served() >= 0.8, "seed {seed}: {placed:?}");
        assert!(
            worth(&placed) > worth(&robin).max(worth(&least)) + 0.1,
            "seed {seed}"
        );
    }
}

#[test]
fn the_largest_prompts_are_not_starved() {
    let model = played(MANY_LONG, 1, placement);
    let mut sizes: Vec<u64> = model
        .requests
        .iter()
        .map(|request| request.prompt_tokens)
        .collect();
    sizes.sort_unstable();
    // About the largest tenth of the long prompts of this load.
    let bound = sizes[sizes.len() - 5];
    let largest = model.requests.iter().zip(&model.outcomes);
    let largest = largest.filter(|(request, _)| request.prompt_tokens >= bound);
    let served = largest.clone().filter(|(_, outcome)| outcome.whole).count();
    // The operators ask that they are served at least half as often as all.
    assert!(served * 2 >= largest.count(), "{served} served");
}

/// Many daemons, each of which learns late what the others sent, fill six in seven slots.
fn crowd(seed: u64, policy: Policy) -> [Share; 3] {
    let mut model = Model::new(engine(), RUNNERS, requests(CROWDED, seed));
    model.daemons = 60;
    model.lag_ms = 30.0;
    shares(&run(model, policy))
}

#[test]
fn daemons_that_know_little_of_each_other_serve_short_prompts_in_time() {
    for seed in 1..=3 {
        let placed = crowd(seed, placement);
        print("placement", &placed);
        print("least load", &crowd(seed, least_load));
        assert!(placed[0].in_time() >= 0.9, "seed {seed}: {placed:?}");
    }
}
