//! Settings that change while the process runs.

use std::sync::Arc;

use primrosehoist_platform::settings::{self, Settings};
use primrosehoist_platform::store;

use super::context::Context;

/// Reads the settings file again and puts what changed into force.
pub(crate) struct Reload {
    current: Settings,
    /// The newest error, so that it is logged once.
    error: Option<String>,
}

impl Reload {
    /// Creates a reload that knows the settings in force.
    pub(crate) fn new(current: &Settings) -> Self {
        Self {
            current: current.clone(),
            error: None,
        }
    }

    /// Reads the file. Settings that cannot be used change nothing.
    pub(crate) fn run(&mut self, context: &Context, trigger: &str) {
        match Settings::load(&settings::path()) {
            Ok(settings) => {
                self.error = None;
                if settings != self.current || trigger == "signal" {
                    self.apply(context, settings, trigger);
                }
            }
            Err(error) => {
                let error = error.to_string();
                if self.error.as_ref() != Some(&error) {
                    log::error!(trigger, error = error.as_str(); "settings not changed");
                    self.error = Some(error);
                }
            }
        }
    }

    fn apply(&mut self, context: &Context, settings: Settings, trigger: &str) {
        let before = &self.current;
        let bounds = settings.bounds != before.bounds;
        if bounds {
            let mut allowance = context.allowance.lock();
            allowance.set_bounds(settings.bounds.clone());
            context.bounds.store(Arc::new(settings.bounds.clone()));
        }
        let store = settings.store != before.store;
        if store {
            let client = store::Client::new(&settings.store.to_string());
            context.store.store(Arc::new(client));
        }
        let fixed = settings.ingress != before.ingress
            || settings.readiness != before.readiness
            || settings.link_ports != before.link_ports
            || settings.host != before.host
            || settings.zone != before.zone;
        log::info!(trigger, bounds, store, needs_restart = fixed; "settings read again");
        self.current = settings;
    }
}
