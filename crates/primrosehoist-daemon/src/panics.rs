//! Panics as lines of the log.

use std::panic;

/// Makes each panic a line of the log, in place of the text on standard error, which blocks if nobody
/// reads it.
pub(crate) fn install_hook() {
    panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        let payload = panic.payload();
        let reason = payload
            .downcast_ref::<&str>()
            .copied()
            .or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        log::error!(
            location = location.as_deref().unwrap_or("unknown"),
            reason = reason.unwrap_or("unknown");
            "panic"
        );
    }));
}
