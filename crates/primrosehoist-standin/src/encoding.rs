//! Percent-encoded parts of paths and queries, decoded as by any HTTP server.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;
use quick_error::quick_error;

quick_error! {
    /// An error from decoding a part of a path or a query.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// A percent sign does not start an encoded byte.
        Escape { display("a percent sign does not start an encoded byte") }
        /// The bytes are not UTF-8.
        NotUnicode { display("the encoded bytes are not UTF-8") }
    }
}

/// Decodes a part of a path.
///
/// # Errors
///
/// Returns an error if an escape is malformed, or if the bytes are not UTF-8.
pub(crate) fn decode(part: &str) -> Result<Cow<'_, str>, Error> {
    let mut escapes = part.split('%').skip(1).map(str::as_bytes);
    let is_escape = |bytes: &[u8]| matches!(bytes, [high, low, ..] if high.is_ascii_hexdigit() && low.is_ascii_hexdigit());
    if !escapes.all(is_escape) {
        return Err(Error::Escape);
    }
    let decoded = percent_decode_str(part).decode_utf8();
    decoded.map_err(|_source| Error::NotUnicode)
}

/// Decodes the options of a query, in which a plus sign is a space.
///
/// # Errors
///
/// Returns an error if an escape is malformed, or if the bytes are not UTF-8.
pub(crate) fn options(query: &str) -> Result<form_urlencoded::Parse<'_>, Error> {
    decode(query)?;
    Ok(form_urlencoded::parse(query.as_bytes()))
}
