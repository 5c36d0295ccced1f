//! The requests of a mix, drawn from a seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::prompt::Ask;
use crate::caller::service::Call;
use crate::caller::text::Text;
use crate::load::mix::{Mix, Range};

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A prompt of the kind with this index.
    Prompt {
        /// The index of the kind in the mix.
        index: usize,
        /// The length of the prompt.
        tokens: u64,
        /// The length of the answer.
        answer_tokens: u64,
    },
    /// A call of the kind with this index.
    Call {
        /// The index of the kind in the mix.
        index: usize,
    },
}

/// A request that is due at a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// The time from the start of the load.
    pub(crate) at: Duration,
    /// The number of the request.
    pub(crate) number: u64,
    /// The index of the workspace that sends it.
    pub(crate) workspace: usize,
    /// What it is.
    pub(crate) kind: Kind,
    /// Tells its text from that of other requests of the load.
    text: u64,
}

/// A request ready to be sent.
#[derive(Debug)]
pub(crate) enum Work {
    /// A prompt.
    Ask(Ask),
    /// A call.
    Call(Call),
}

impl Arrival {
    /// Returns the length of the prompt, 0 for calls.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        match self.kind {
            Kind::Prompt { tokens, .. } => tokens,
            Kind::Call { .. } => 0,
        }
    }

    /// Returns the tokens of prompt and answer, 0 for calls.
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

    /// Returns the request to `address`. Texts and keys of loads of another `salt` differ.
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
                let mut ask = Ask {
                    address,
                    key,
                    model: mix.prompts[index].model.clone(),
                    text: Text::Given(Arc::from("")),
                    max_tokens: answer_tokens,
                    timeout,
                };
                ask.text = ask.generated(text, tokens);
                Work::Ask(ask)
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

/// Draws requests without end.
#[derive(Debug)]
pub(crate) struct Arrivals<'m> {
    mix: &'m Mix,
    rate_per_s: f64,
    random: StdRng,
    at: Duration,
    number: u64,
}

impl<'m> Arrivals<'m> {
    /// Starts to draw with `scale` times the rate of the mix.
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
        let all: f64 = shares.iter().sum();
        let mut left = self.random.random::<f64>() * all;
        let mut index = 0;
        while index + 1 < shares.len() && left >= shares[index] {
            left -= shares[index];
            index += 1;
        }
        // All requests draw alike, so that one of another kind does not change those after it.
        let (length, answer): (f64, f64) = (self.random.random(), self.random.random());
        match self.mix.prompts.get(index) {
            Some(prompt) => Kind::Prompt {
                index,
                tokens: between(prompt.tokens, length),
                answer_tokens: between(prompt.answer, answer),
            },
            None => Kind::Call {
                index: index - self.mix.prompts.len(),
            },
        }
    }
}

/// Returns a value of `range`, even on a logarithmic scale, for a `part` from 0 to 1.
fn between(range: Range, part: f64) -> u64 {
    let least = range.least as f64;
    let ratio = range.most as f64 / least;
    (least * ratio.powf(part)).round() as u64
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
