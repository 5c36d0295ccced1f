//! The credential with which operators authenticate at the admin port.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The message authenticated by the credential.
const ROLE: &[u8] = b"operator";

fn mac(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret)
        .expect("HMAC takes keys of any length")
        .chain_update(ROLE)
}

/// Returns the bearer token that proves knowledge of `secret`.
///
/// # Panics
///
/// Never: HMAC takes keys of any length.
pub fn token(secret: &[u8]) -> String {
    hex::encode(mac(secret).finalize().into_bytes())
}

/// Returns whether `token` proves knowledge of `secret`.
///
/// The comparison takes constant time.
///
/// # Panics
///
/// Never: HMAC takes keys of any length.
pub fn verify(secret: &[u8], token: &[u8]) -> bool {
    hex::decode(token).is_ok_and(|raw| mac(secret).verify_slice(&raw).is_ok())
}
