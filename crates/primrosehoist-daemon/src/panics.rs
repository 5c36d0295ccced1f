//! Panics as lines of the log.

use std::panic;

/// Logs each panic, before the text that Rust writes to standard error.
pub(crate) fn report() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
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
        print(panic);
    }));
}
