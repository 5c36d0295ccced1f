//! Integration tests that run the programs as separate processes; see `tests/`.
