//! Reloads the settings at run time.

use std::sync::Arc;

use primrosehoist_platform::settings::{self, Settings};
use primrosehoist_platform::store;

use super::context::Context;

/// Reloads the settings file and applies what changed.
pub(crate) struct Reload {
    current: Settings,
    /// The last error, kept so that a repeated error is logged once.
    last_error: Option<String>,
}

impl Reload {
    /// Creates a reload that compares against the active settings.
    pub(crate) fn new(current: &Settings) -> Self {
        Self {
            current: current.clone(),
            last_error: None,
        }
    }

    /// Reads the file and applies changes. Invalid settings change nothing.
    pub(crate) fn run(&mut self, context: &Context, trigger: &str) {
        match Settings::load(&settings::path()) {
            Ok(settings) => {
                self.last_error = None;
                if settings != self.current || trigger == "signal" {
                    self.apply(context, settings, trigger);
                }
            }
            Err(error) => {
                let error = error.to_string();
                if self.last_error.as_ref() != Some(&error) {
                    log::error!(trigger, error = error.as_str(); "invalid settings ignored");
                    self.last_error = Some(error);
                }
            }
        }
    }

    fn apply(&mut self, context: &Context, settings: Settings, trigger: &str) {
        let current = &self.current;
        let bounds = settings.bounds != current.bounds;
        if bounds {
            let mut allowance = context.allowance.lock();
            allowance.set_bounds(settings.bounds.clone());
            context.bounds.store(Arc::new(settings.bounds.clone()));
        }
        let store = settings.store != current.store;
        if store {
            let client = store::Client::new(&settings.store.to_string());
            context.store.store(Arc::new(client));
        }
        let requires_restart = settings.ingress != current.ingress
            || settings.readiness != current.readiness
            || settings.control != current.control
            || settings.seeds != current.seeds
            || settings.link_ports != current.link_ports
            || settings.host != current.host
            || settings.zone != current.zone;
        log::info!(trigger, bounds, store, needs_restart = requires_restart; "settings reloaded");
        self.current = settings;
    }
}
