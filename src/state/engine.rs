//! A performance model of an inference engine, with the rates from the configuration of its
//! service.
//!
//! An engine works in passes. A pass with at least one decoding request runs [`Engine::stride`]
//! token steps, and each step also prefills a chunk of the waiting prompts. Prefill work therefore
//! lengthens the pause between two events of every request that decodes on the same engine.

/// The divisor from token pairs to millions of token pairs.
const MILLION: f64 = 1e6;

/// The capacity and rates of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The number of requests that run concurrently.
    pub slots: u64,
    /// The number of prompt and answer tokens that fit into KV memory.
    pub memory_tokens: u64,
    /// The number of token steps in a pass.
    pub stride: f64,
    /// The base time of a token step.
    pub step_ms: f64,
    /// The time added to a step by each decoding request.
    pub per_sequence_ms: f64,
    /// The time added to a step for each thousand context tokens of the decoding requests.
    pub context_ms_per_k: f64,
    /// The number of prompt tokens prefilled per second, without the cost of attention.
    pub prefill_tokens_per_s: f64,
    /// The attention time for a million pairs of a token and an earlier one.
    pub attention_ms_per_m_pairs: f64,
}

impl Engine {
    /// Returns the time to prefill a prompt alone, in milliseconds.
    ///
    /// ```
    /// # use primrosehoist::state::engine::Engine;
    /// let engine = Engine {
    ///     slots: 16,
    ///     memory_tokens: 450_000,
    ///     stride: 46.0,
    ///     step_ms: 0.925,
    ///     per_sequence_ms: 0.005,
    ///     context_ms_per_k: 0.0025,
    ///     prefill_tokens_per_s: 256_000.0,
    ///     attention_ms_per_m_pairs: 0.0917,
    /// };
    /// assert!((engine.prefill_ms(4_960) - 20.5).abs() < 0.1);
    /// assert!((engine.prefill_ms(210_000) - 2842.0).abs() < 2.0);
    /// ```
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_s * 1000.0
            + pairs / MILLION * self.attention_ms_per_m_pairs
    }

    /// Returns the duration of a pass without prefill work, in milliseconds. `sequences` requests
    /// decode in it, with `context_tokens` context tokens in total.
    pub fn pass_ms(&self, sequences: f64, context_tokens: f64) -> f64 {
        let step = self.step_ms
            + sequences * self.per_sequence_ms
            + context_tokens / 1000.0 * self.context_ms_per_k;
        self.stride * step
    }
}
