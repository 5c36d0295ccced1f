//! Logging as JSON lines.
//!
//! A line contains `time`, `level`, `target` and `message`, and the key-values of the record.
//! Prompt text and API keys are never logged.

use std::fmt;
use std::time::SystemTime;

use log::Record;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::Map;

/// The longest text of a value in a line, in bytes. Paths and ids come from clients.
const VALUE_BYTES_MAX: usize = 512;

/// Follows a text that was cut.
const ELLIPSIS: &str = "...";

/// Formats a record as one line of JSON, without a line terminator. Long texts of values are cut.
pub(crate) fn line(time: SystemTime, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let time = humantime::format_rfc3339_millis(time).to_string();
    // `Fields::visit_pair` never fails.
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".into(), "unreadable".into());
    }
    let Fields(mut map) = fields;
    map.insert("time".into(), time.into());
    map.insert("level".into(), record.level().as_str().into());
    map.insert("target".into(), record.target().into());
    map.insert("message".into(), message.to_string().into());
    serde_json::Value::Object(map).to_string()
}

/// Collects the key-values of a record.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), json(&value));
        Ok(())
    }
}

fn json(value: &Value<'_>) -> serde_json::Value {
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    let mut text = value.to_string();
    if text.len() > VALUE_BYTES_MAX {
        let mut ends = (0..=VALUE_BYTES_MAX - ELLIPSIS.len()).rev();
        let end = ends.find(|end| text.is_char_boundary(*end));
        text.truncate(end.unwrap_or_default());
        text.push_str(ELLIPSIS);
    }
    text.into()
}
