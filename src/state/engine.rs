//! How long an engine reads a prompt, from the rates that its service states.
//!
//! An engine works in passes. A pass with at least one writing request makes [`Engine::stride`]
//! token steps, and each step also reads a piece of the prompts that wait. Reading therefore
//! lengthens the pause between two events of every request that writes on the same engine.

/// The tokens of a million pairs, as a divisor.
const MILLION: f64 = 1e6;

/// The rates of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u64,
    /// Tokens of prompts and answers that fit into memory.
    pub memory_tokens: u64,
    /// Token steps of a pass.
    pub stride: f64,
    /// The time of a token step.
    pub step_ms: f64,
    /// Added to a step by each request that writes.
    pub per_writer_ms: f64,
    /// Added to a step for each thousand tokens of a writing request's context.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a second.
    pub read_tokens_per_s: f64,
    /// The time for a million pairs of a token and an earlier one.
    pub pairs_ms_per_m: f64,
}

impl Engine {
    /// Returns the time to read a prompt alone, in milliseconds.
    ///
    /// ```
    /// # use primrosehoist::state::engine::Engine;
    /// let engine = Engine {
    ///     slots: 16,
    ///     memory_tokens: 450_000,
    ///     stride: 46.0,
    ///     step_ms: 0.925,
    ///     per_writer_ms: 0.005,
    ///     context_ms_per_k: 0.0025,
    ///     read_tokens_per_s: 256_000.0,
    ///     pairs_ms_per_m: 0.0917,
    /// };
    /// assert!((engine.read_ms(4_960) - 20.5).abs() < 0.1);
    /// assert!((engine.read_ms(210_000) - 2842.0).abs() < 2.0);
    /// ```
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.read_tokens_per_s * 1000.0 + pairs / MILLION * self.pairs_ms_per_m
    }

    /// Returns the length of a pass in which `writers` requests with `context_tokens` tokens
    /// together write and nothing is read, in milliseconds.
    pub fn pass_ms(&self, writers: f64, context_tokens: f64) -> f64 {
        let step = self.step_ms
            + writers * self.per_writer_ms
            + context_tokens / 1000.0 * self.context_ms_per_k;
        self.stride * step
    }
}
