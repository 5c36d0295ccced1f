//! Converts TOML values to checked types.
//!
//! Each function returns a reason that names what was expected, for use in a mistake.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use toml::de::{DeInteger, DeValue};

use crate::state::files::table::expected;

/// The number of hexadecimal digits of a SHA-256 digest.
pub const DIGEST_DIGITS: usize = 64;

/// The largest accepted number of tokens or bytes with a unit.
const QUANTITY_MAX: u64 = 1 << 50;

type Outcome<T> = Result<T, String>;

/// Converts a string.
///
/// # Errors
///
/// Fails for any other type.
pub fn text(value: &DeValue<'_>) -> Outcome<String> {
    match value.as_str() {
        Some(text) => Ok(text.to_owned()),
        None => Err(expected("a string", value)),
    }
}

/// Converts a boolean.
///
/// # Errors
///
/// Fails for any other type.
pub fn flag(value: &DeValue<'_>) -> Outcome<bool> {
    value
        .as_bool()
        .ok_or_else(|| expected("true or false", value))
}

/// Converts a string to a checked type, such as a name.
///
/// # Errors
///
/// Fails for any other type, and for what the checked type refuses.
pub fn checked<T>(value: &DeValue<'_>) -> Outcome<T>
where
    T: TryFrom<String>,
    T::Error: std::fmt::Display,
{
    T::try_from(text(value)?).map_err(|error| error.to_string())
}

/// Converts a string to one of the names of an enum.
///
/// # Errors
///
/// Fails for any other type, and for a string that is not in `names`.
pub fn one_of<T>(names: &'static [&'static str]) -> impl Fn(&DeValue<'_>) -> Outcome<T>
where
    T: FromStr,
{
    move |value| {
        let text = text(value)?;
        T::from_str(&text).ok().ok_or_else(|| {
            let names = names.join("`, `");
            format!("expected one of `{names}`, found `{text}`")
        })
    }
}

/// Returns a conversion of integers within `range`.
pub fn integer<T>(range: RangeInclusive<u64>) -> impl Fn(&DeValue<'_>) -> Outcome<T>
where
    T: TryFrom<u64>,
{
    move |value| {
        let found = value
            .as_integer()
            .ok_or_else(|| expected("an integer", value))?;
        let number = whole(found)?;
        let outside = || {
            let (low, high) = (range.start(), range.end());
            format!("expected {low} to {high}, found {number}")
        };
        let inside = u64::try_from(number)
            .ok()
            .filter(|number| range.contains(number));
        inside
            .and_then(|number| T::try_from(number).ok())
            .ok_or_else(outside)
    }
}

/// Returns a conversion of durations within `range`: a string with units, such as `"500ms"`.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&DeValue<'_>) -> Outcome<Duration> {
    move |value| {
        let Some(text) = value.as_str() else {
            return Err(expected("a duration with a unit such as \"30s\"", value));
        };
        let Ok(duration) = humantime::parse_duration(text) else {
            return Err(format!(
                "expected a duration with a unit such as \"30s\" or \"500ms\", found \"{text}\""
            ));
        };
        if range.contains(&duration) {
            return Ok(duration);
        }
        let low = humantime::format_duration(*range.start());
        let high = humantime::format_duration(*range.end());
        Err(format!("expected {low} to {high}, found {text}"))
    }
}

/// Converts a number of tokens: an integer, or a string such as `"200k"` or `"1M"`.
///
/// # Errors
///
/// Fails for any other type and for other units.
pub fn tokens(value: &DeValue<'_>) -> Outcome<u64> {
    const UNITS: [(&str, u64); 2] = [("k", 1_000), ("M", 1_000_000)];
    let expect = "a number of tokens such as 4000, \"200k\" or \"1M\"";
    quantity(value, &UNITS, expect)
}

/// Converts a number of bytes: an integer, or a string such as `"16KiB"` or `"512MiB"`.
///
/// # Errors
///
/// Fails for any other type and for other units.
pub fn bytes(value: &DeValue<'_>) -> Outcome<u64> {
    const UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
    let expect = "a number of bytes such as 65536, \"16KiB\" or \"512MiB\"";
    quantity(value, &UNITS, expect)
}

/// Converts an address that can be reached: `ip:port` with a port and a specified IP.
///
/// # Errors
///
/// Fails for host names, port 0, and unspecified or multicast IPs.
pub fn reachable(value: &DeValue<'_>) -> Outcome<SocketAddr> {
    let text = text(value)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        return Err(format!("expected an address as ip:port, found \"{text}\""));
    };
    if address.port() == 0 {
        return Err(format!("nothing can be reached at port 0 of \"{text}\""));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!("no single host can be reached at \"{text}\""));
    }
    Ok(address)
}

/// Converts an address to listen on: `ip:port`, where the IP may be unspecified.
///
/// # Errors
///
/// Fails for host names and for port 0.
pub fn listen(value: &DeValue<'_>) -> Outcome<SocketAddr> {
    let text = text(value)?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => Err(format!(
            "expected an address as ip:port with a port above 0, found \"{text}\""
        )),
    }
}

/// Converts a SHA-256 digest in lower-case hexadecimal.
///
/// # Errors
///
/// Fails for any other type, length or character. The found text is not repeated, because it
/// may be a key written by mistake.
pub fn digest(value: &DeValue<'_>) -> Outcome<String> {
    let text = text(value)?;
    let allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() == DIGEST_DIGITS && text.bytes().all(allowed) {
        return Ok(text);
    }
    Err(format!(
        "expected a SHA-256 digest of {DIGEST_DIGITS} lower-case hexadecimal digits"
    ))
}

/// Returns a conversion of arrays, each item by `convert`.
pub fn list<T, C>(convert: C) -> impl Fn(&DeValue<'_>) -> Outcome<Vec<T>>
where
    C: Fn(&DeValue<'_>) -> Outcome<T>,
{
    move |value| {
        let items = value
            .as_array()
            .ok_or_else(|| expected("an array", value))?;
        items.iter().map(|item| convert(item.get_ref())).collect()
    }
}

fn whole(found: &DeInteger<'_>) -> Outcome<i64> {
    i64::from_str_radix(found.as_str(), found.radix())
        .ok()
        .ok_or_else(|| format!("expected an integer of 64 bits, found {}", found.as_str()))
}

fn quantity(value: &DeValue<'_>, units: &[(&str, u64)], expect: &str) -> Outcome<u64> {
    if value.is_integer() {
        return integer(0..=QUANTITY_MAX)(value);
    }
    let Some(text) = value.as_str() else {
        return Err(expected(expect, value));
    };
    let parsed = units.iter().find_map(|(unit, factor)| {
        let digits = text.strip_suffix(unit)?;
        digits.parse::<u64>().ok()?.checked_mul(*factor)
    });
    match parsed {
        Some(number) if number <= QUANTITY_MAX => Ok(number),
        _ => Err(format!("expected {expect}, found \"{text}\"")),
    }
}
