//! The requests of a mix, drawn from a seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::prompt::Completion;
use crate::caller::service::Call;
use crate::caller::text::Text;
use crate::load::mix::{Mix, Range};

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A prompt.
    Prompt {
        /// The index of the kind in the mix.
        index: usize,
        /// The length of the prompt, in tokens.
        tokens: u64,
        /// The length of the response, in tokens.
        answer_tokens: u64,
    },
    /// A call to a plain service.
    Call {
        /// The index of the kind in the mix.
        index: usize,
    },
}

/// A request and the time at which it is due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// The due time, measured from the start of the load.
    pub(crate) at: Duration,
    /// The sequence number of the request.
    pub(crate) number: u64,
    /// The index of the workspace that sends it.
    pub(crate) workspace: usize,
    /// The kind of the request.
    pub(crate) kind: Kind,
    /// Seeds the text, which differs from that of other requests of the load.
    text: u64,
}

/// A request ready to be sent.
#[derive(Debug)]
pub(crate) enum Work {
    /// A prompt.
    Completion(Completion),
    /// A call.
    Call(Call),
}

impl Arrival {
    /// Returns the length of the prompt in tokens, 0 for calls.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        match self.kind {
            Kind::Prompt { tokens, .. } => tokens,
            Kind::Call { .. } => 0,
        }
    }

    /// Returns the total tokens of prompt and response, 0 for calls.
    pub(crate) fn tokens(&self) -> u64 {
        match self.kind {
            Kind::Prompt {
                tokens,
                answer_tokens,
                ..
            } => tokens + answer_tokens,
            Kind::Call { .. } => 0,
        }
    }

    /// Returns the request to `address`. Texts and idempotency keys differ between salts.
    pub(crate) fn work(&self, mix: &Mix, address: SocketAddr, salt: u64) -> Work {
        let text = self.text ^ salt;
        let key = mix.workspaces[self.workspace].key.clone();
        let timeout = Duration::from_millis(mix.timeout_ms);
        match self.kind {
            Kind::Prompt {
                index,
                tokens,
                answer_tokens,
            } => {
                let mut completion = Completion {
                    address,
                    key,
                    model: mix.prompts[index].model.clone(),
                    text: Text::Literal(Arc::from("")),
                    max_tokens: answer_tokens,
                    timeout,
                };
                completion.text = completion.generated(text, tokens);
                Work::Completion(completion)
            }
            Kind::Call { index } => Work::Call(Call {
                address,
                key,
                service: mix.calls[index].service.clone(),
                path: mix.calls[index].path.clone(),
                idempotency_key: mix.calls[index].keyed.then(|| format!("load-{text:016x}")),
                body: format!("call {}", self.number),
                timeout,
            }),
        }
    }
}

/// An endless sequence of random requests.
#[derive(Debug)]
pub(crate) struct Arrivals<'m> {
    mix: &'m Mix,
    rate_per_s: f64,
    random: StdRng,
    at: Duration,
    number: u64,
}

impl<'m> Arrivals<'m> {
    /// Creates a sequence with `scale` times the rate of the mix.
    pub(crate) fn new(mix: &'m Mix, scale: f64, seed: u64) -> Arrivals<'m> {
        Arrivals {
            mix,
            rate_per_s: mix.rate_per_s * scale,
            random: StdRng::seed_from_u64(seed),
            at: Duration::ZERO,
            number: 0,
        }
    }

    fn kind(&mut self) -> Kind {
        let prompts = self.mix.prompts.iter().map(|p| p.share);
        let calls = self.mix.calls.iter().map(|c| c.share);
        let shares: Vec<f64> = prompts.chain(calls).collect();
        let total: f64 = shares.iter().sum();
        let mut remaining = self.random.random::<f64>() * total;
        let mut index = 0;
        while index + 1 < shares.len() && remaining >= shares[index] {
            remaining -= shares[index];
            index += 1;
        }
        // Requests of every kind draw the same number of random values, so that the kind of one
        // does not affect later requests.
        let (length, answer): (f64, f64) = (self.random.random(), self.random.random());
        match self.mix.prompts.get(index) {
            Some(prompt) => Kind::Prompt {
                index,
                tokens: interpolate(prompt.tokens, length),
                answer_tokens: interpolate(prompt.answer, answer),
            },
            None => Kind::Call {
                index: index - self.mix.prompts.len(),
            },
        }
    }
}

/// Interpolates `range` logarithmically at `fraction`, which is between 0 and 1.
fn interpolate(range: Range, fraction: f64) -> u64 {
    let min = range.min as f64;
    let ratio = range.max as f64 / min;
    (min * ratio.powf(fraction)).round() as u64
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.random.random();
        let gap_s = -(1.0 - uniform).ln() / self.rate_per_s;
        self.at += Duration::from_secs_f64(gap_s);
        let kind = self.kind();
        let name = match kind {
            Kind::Prompt { index, .. } => &self.mix.prompts[index].workspace,
            Kind::Call { index } => &self.mix.calls[index].workspace,
        };
        let arrival = Arrival {
            at: self.at,
            number: self.number,
            workspace: self.mix.workspace(name),
            kind,
            text: self.random.random(),
        };
        self.number += 1;
        Some(arrival)
    }
}
