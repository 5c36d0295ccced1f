//! Claims of idempotency keys.
