//! Log output as JSON lines on standard error.

use std::io;
use std::time::SystemTime;

use serde_json::json;

use crate::command::Error;
use crate::output::Errors;

/// Starts logging messages of `level` and above.
///
/// # Errors
///
/// Returns [`Error::Run`] if a logger has already been installed.
pub(crate) fn start(level: log::LevelFilter) -> Result<(), Error> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
            let line = json!({
                "time": time,
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(Errors) as Box<dyn io::Write + Send>)
        .apply()
        .map_err(|error| Error::Run("starting the logger", io::Error::other(error)))
}
