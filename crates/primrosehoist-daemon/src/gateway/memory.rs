//! Watches the memory of the process, so that its end by the platform can be told from the log.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use super::context::Context;
use crate::resident::Resident;

/// The interval between two readings.
const INTERVAL: Duration = Duration::from_secs(1);

/// The share of the limit from which on the memory is logged as high.
const HIGH_SHARE: f64 = 0.8;

/// The share of the limit below which the memory counts as normal again.
const NORMAL_SHARE: f64 = 0.7;

const BYTES_PER_MB: u64 = 1 << 20;

/// Records the memory of the process, and logs when it comes near its limit, above which the platform
/// kills the process.
pub(crate) async fn watch(context: Arc<Context>) {
    let limit = context.settings.memory_mb.saturating_mul(BYTES_PER_MB);
    let mut is_high = false;
    let mut is_unknown = false;
    loop {
        match Resident::read() {
            Ok(resident) => {
                context.metrics.resident(resident);
                let share = resident.now as f64 / limit as f64;
                let in_progress = context.in_progress.load(Ordering::Acquire);
                if !is_high && share >= HIGH_SHARE {
                    log::warn!(resident = resident.now, limit, in_progress; "memory is near its limit");
                    is_high = true;
                } else if is_high && share < NORMAL_SHARE {
                    log::info!(resident = resident.now, limit, in_progress; "memory is normal again");
                    is_high = false;
                }
            }
            Err(error) if !is_unknown => {
                log::warn!(error:%; "memory of the process is not known");
                is_unknown = true;
            }
            Err(_) => {}
        }
        sleep(INTERVAL).await;
    }
}
