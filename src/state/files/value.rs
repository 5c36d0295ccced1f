//! Converts TOML values to validated types.
//!
//! The error of each conversion is a reason for a diagnostic and names what was expected.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use toml::de::{DeInteger, DeValue};

use crate::state::files::table::type_mismatch;

/// The number of hexadecimal digits of a SHA-256 digest.
pub const DIGEST_DIGITS: usize = 64;

/// The maximum number of tokens or bytes.
const QUANTITY_MAX: u64 = 1 << 50;

type Conversion<T> = Result<T, String>;

/// Converts a string.
///
/// # Errors
///
/// Returns an error for any other type.
pub fn string(value: &DeValue<'_>) -> Conversion<String> {
    match value.as_str() {
        Some(text) => Ok(text.to_owned()),
        None => Err(type_mismatch("a string", value)),
    }
}

/// Converts a boolean.
///
/// # Errors
///
/// Returns an error for any other type.
pub fn boolean(value: &DeValue<'_>) -> Conversion<bool> {
    value
        .as_bool()
        .ok_or_else(|| type_mismatch("true or false", value))
}

/// Converts a string to a validated type, such as a name.
///
/// # Errors
///
/// Returns an error for any other type, and for a string that fails validation.
pub fn checked<T>(value: &DeValue<'_>) -> Conversion<T>
where
    T: TryFrom<String>,
    T::Error: std::fmt::Display,
{
    T::try_from(string(value)?).map_err(|error| error.to_string())
}

/// Returns a conversion of strings to an enum whose values have the given `names`.
///
/// # Errors
///
/// The conversion returns an error for any other type and for any other string.
pub fn one_of<T>(names: &'static [&'static str]) -> impl Fn(&DeValue<'_>) -> Conversion<T>
where
    T: FromStr,
{
    move |value| {
        let text = string(value)?;
        T::from_str(&text).ok().ok_or_else(|| {
            let names = names.join("`, `");
            format!("expected one of `{names}`, found `{text}`")
        })
    }
}

/// Returns a conversion of integers that must lie within `range`.
pub fn integer<T>(range: RangeInclusive<u64>) -> impl Fn(&DeValue<'_>) -> Conversion<T>
where
    T: TryFrom<u64>,
{
    move |value| {
        let found = value
            .as_integer()
            .ok_or_else(|| type_mismatch("an integer", value))?;
        let number = parse_integer(found)?;
        let out_of_range = || {
            let (low, high) = (range.start(), range.end());
            format!("expected {low} to {high}, found {number}")
        };
        let in_range = u64::try_from(number)
            .ok()
            .filter(|number| range.contains(number));
        in_range
            .and_then(|number| T::try_from(number).ok())
            .ok_or_else(out_of_range)
    }
}

/// Returns a conversion of durations that must lie within `range`, written as strings with units
/// such as `"500ms"`.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&DeValue<'_>) -> Conversion<Duration> {
    move |value| {
        let Some(text) = value.as_str() else {
            return Err(type_mismatch(
                "a duration with a unit such as \"30s\"",
                value,
            ));
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
/// Returns an error for any other type and for other units.
pub fn tokens(value: &DeValue<'_>) -> Conversion<u64> {
    const UNITS: [(&str, u64); 2] = [("k", 1_000), ("M", 1_000_000)];
    let expected = "a number of tokens such as 4000, \"200k\" or \"1M\"";
    quantity(value, &UNITS, expected)
}

/// Converts a number of bytes: an integer, or a string such as `"16KiB"` or `"512MiB"`.
///
/// # Errors
///
/// Returns an error for any other type and for other units.
pub fn bytes(value: &DeValue<'_>) -> Conversion<u64> {
    const UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
    let expected = "a number of bytes such as 65536, \"16KiB\" or \"512MiB\"";
    quantity(value, &UNITS, expected)
}

/// Converts an address to connect to: `ip:port` with a nonzero port and a unicast IP.
///
/// # Errors
///
/// Returns an error for host names, port 0, and unspecified or multicast IPs.
pub fn remote_address(value: &DeValue<'_>) -> Conversion<SocketAddr> {
    let text = string(value)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        return Err(format!("expected an address as ip:port, found \"{text}\""));
    };
    if address.port() == 0 {
        return Err(format!(
            "expected an address as ip:port with a port above 0, found \"{text}\""
        ));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!(
            "expected the address of a single host, found \"{text}\""
        ));
    }
    Ok(address)
}

/// Converts an address to listen on: `ip:port`, where the IP may be unspecified.
///
/// # Errors
///
/// Returns an error for host names and for port 0.
pub fn listen_address(value: &DeValue<'_>) -> Conversion<SocketAddr> {
    let text = string(value)?;
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
/// Returns an error for any other type, length or character. The error does not quote the value,
/// because it may be a key entered by mistake.
pub fn digest(value: &DeValue<'_>) -> Conversion<String> {
    let text = string(value)?;
    let allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() == DIGEST_DIGITS && text.bytes().all(allowed) {
        return Ok(text);
    }
    Err(format!(
        "expected a SHA-256 digest of {DIGEST_DIGITS} lower-case hexadecimal digits"
    ))
}

/// Returns a conversion of arrays that converts each item with `convert`.
pub fn list<T, C>(convert: C) -> impl Fn(&DeValue<'_>) -> Conversion<Vec<T>>
where
    C: Fn(&DeValue<'_>) -> Conversion<T>,
{
    move |value| {
        let items = value
            .as_array()
            .ok_or_else(|| type_mismatch("an array", value))?;
        items.iter().map(|item| convert(item.get_ref())).collect()
    }
}

fn parse_integer(found: &DeInteger<'_>) -> Conversion<i64> {
    i64::from_str_radix(found.as_str(), found.radix())
        .ok()
        .ok_or_else(|| format!("expected an integer of 64 bits, found {}", found.as_str()))
}

fn quantity(value: &DeValue<'_>, units: &[(&str, u64)], expected: &str) -> Conversion<u64> {
    if value.is_integer() {
        return integer(0..=QUANTITY_MAX)(value);
    }
    let Some(text) = value.as_str() else {
        return Err(type_mismatch(expected, value));
    };
    let parsed = units.iter().find_map(|(unit, factor)| {
        let digits = text.strip_suffix(unit)?;
        digits.parse::<u64>().ok()?.checked_mul(*factor)
    });
    match parsed {
        Some(number) if number <= QUANTITY_MAX => Ok(number),
        _ => Err(format!("expected {expected}, found \"{text}\"")),
    }
}
