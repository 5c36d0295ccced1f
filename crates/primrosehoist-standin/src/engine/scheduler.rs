//! The steps of continuous batching.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::engine::Engine;
use crate::engine::job::Phase;
use crate::engine::model::Model;

/// The interval at which an idle engine checks for expired streams.
const IDLE_PERIOD: Duration = Duration::from_millis(20);

/// A part of a prompt that is processed in one step.
#[derive(Debug)]
struct Chunk {
    id: Arc<str>,
    tokens: u64,
}

/// The work of one step.
#[derive(Debug)]
struct Step {
    generation: u64,
    chunks: Vec<Chunk>,
    decodes: Vec<Arc<str>>,
    duration: Duration,
}

/// The next action of the scheduler.
#[derive(Debug)]
enum Plan {
    Idle,
    Crash,
    Step(Step),
}

/// Runs steps forever.
pub(crate) async fn run(engine: Arc<Engine>) {
    let mut due = Instant::now();
    loop {
        engine.wait_while_frozen().await;
        let plan = plan(&mut engine.model(), Instant::now());
        match plan {
            Plan::Idle => {
                // Wakes up for new work or to check for expired streams.
                let _woken = time::timeout(IDLE_PERIOD, engine.work.notified()).await;
                due = Instant::now();
            }
            Plan::Crash => engine.crash(),
            Plan::Step(step) => {
                due += step.duration;
                time::sleep_until(due).await;
                engine.wait_while_frozen().await;
                due = due.max(Instant::now() - step.duration);
                apply(&mut engine.model(), &step, Instant::now());
            }
        }
    }
}

fn plan(model: &mut Model, now: Instant) -> Plan {
    model.expire(now);
    if admit(model, now) {
        return Plan::Crash;
    }
    let chunks = chunks(model);
    let decodes = decodes(model);
    if chunks.is_empty() && decodes.is_empty() {
        return Plan::Idle;
    }
    let prefill_tokens: u64 = chunks.iter().map(|chunk| chunk.tokens).sum();
    Plan::Step(Step {
        generation: model.generation,
        duration: duration(model, prefill_tokens, decodes.len()),
        chunks,
        decodes,
    })
}

/// Moves waiting requests into the batch; returns whether one of them crashes the engine.
fn admit(model: &mut Model, now: Instant) -> bool {
    for id in ranked(model, Phase::Waiting) {
        let job = &model.jobs[&id];
        let required = job.required_tokens();
        let missing = required.saturating_sub(job.held_tokens);
        if !model.make_room(missing, now) {
            return false;
        }
        let Some(job) = model.jobs.get_mut(&id) else {
            continue;
        };
        let cached = model.cache.hit(&job.prefixes);
        job.held_tokens = job.held_tokens.max(required);
        job.prefill_left = job.prefill_left.saturating_sub(cached).max(1);
        job.phase = Phase::Prefill;
        if job.record.prompt.crashes {
            return true;
        }
    }
    false
}

fn chunks(model: &Model) -> Vec<Chunk> {
    let mut budget = model.settings.chunk_tokens;
    let mut chunks = Vec::new();
    for id in ranked(model, Phase::Prefill) {
        let tokens = model.jobs[&id].prefill_left.min(budget);
        if tokens == 0 {
            break;
        }
        budget -= tokens;
        chunks.push(Chunk { id, tokens });
    }
    chunks
}

fn decodes(model: &Model) -> Vec<Arc<str>> {
    ranked(model, Phase::Decode)
}

fn ranked(model: &Model, phase: Phase) -> Vec<Arc<str>> {
    let jobs = model.jobs.iter();
    let mut found: Vec<_> = jobs.filter(|(_, job)| job.phase == phase).collect();
    found.sort_by_key(|(_, job)| job.rank());
    found.into_iter().map(|(id, _)| Arc::clone(id)).collect()
}

fn duration(model: &Model, prefill_tokens: u64, decodes: usize) -> Duration {
    let settings = &model.settings;
    let cold = model.completions < settings.warm_after;
    let factor = if cold { settings.cold_factor } else { 1.0 };
    let prefill_s = prefill_tokens as f64 / settings.prefill_rate * factor;
    let decode = if decodes == 0 {
        Duration::ZERO
    } else {
        settings.decode + settings.batch_decode * decodes as u32
    };
    decode + Duration::from_secs_f64(prefill_s)
}

fn apply(model: &mut Model, step: &Step, now: Instant) {
    if model.generation != step.generation {
        return;
    }
    for chunk in &step.chunks {
        prefill(model, chunk, now);
    }
    for id in &step.decodes {
        decode(model, id, now);
    }
}

fn prefill(model: &mut Model, chunk: &Chunk, now: Instant) {
    let Some(job) = model.jobs.get_mut(&chunk.id) else {
        return;
    };
    job.prefill_left -= chunk.tokens.min(job.prefill_left);
    if job.prefill_left > 0 {
        return;
    }
    job.phase = Phase::Decode;
    let prefixes = std::mem::take(&mut job.prefixes);
    model.cache_prefixes(&prefixes, now);
    if let Some(job) = model.jobs.get_mut(&chunk.id) {
        job.prefixes = prefixes;
    }
    decode(model, &chunk.id, now);
}

fn decode(model: &mut Model, id: &str, now: Instant) {
    let Some(job) = model.jobs.get(id) else {
        return;
    };
    if job.record.push() {
        model.complete(id, now);
    }
}
