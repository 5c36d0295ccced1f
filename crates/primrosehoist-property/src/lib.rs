//! Property tests on the same inputs in every run, so that a run of all tests has one verdict.
//!
//! Set [`SEED_VARIABLE`] to a number to draw other inputs, and [`ROUNDS_VARIABLE`] to draw that many
//! times as many. A failure prints the seed of its input.

use std::env;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

pub use arbtest::arbitrary;

/// The environment variable with the seed of the inputs. It is 1 if the variable is not set.
pub const SEED_VARIABLE: &str = "PRIMROSEHOIST_PROPERTY_SEED";

/// The environment variable with the factor by which the inputs are more. It is 1 if the variable is
/// not set.
pub const ROUNDS_VARIABLE: &str = "PRIMROSEHOIST_PROPERTY_ROUNDS";

/// The length of the first inputs, in bytes.
const SIZE_MIN: u32 = 32;

/// The length of the longest inputs, in bytes.
const SIZE_MAX: u32 = 65_536;

/// The number of inputs of each length.
const INPUTS_PER_SIZE: u32 = 3;

/// Checks that `property` holds for `inputs` random inputs of increasing length.
///
/// An input that is too short for the property counts as one for which it holds.
///
/// # Panics
///
/// Panics if the property panics, if all inputs are too short, or if an environment variable is not
/// a number.
pub fn check<P>(inputs: u32, mut property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    let seed = variable(SEED_VARIABLE);
    let inputs = inputs.saturating_mul(variable(ROUNDS_VARIABLE));
    let mut size = SIZE_MIN;
    let mut complete = 0_u32;
    for input in 0..inputs {
        arbtest(|random| {
            complete += u32::from(property(random).is_ok());
            Ok(())
        })
        .seed(u64::from(mix(seed, input)) << u32::BITS | u64::from(size))
        .run();
        if (input + 1) % INPUTS_PER_SIZE == 0 {
            size = (size + size / 4).min(SIZE_MAX);
        }
    }
    assert!(complete > 0, "all inputs are too short");
}

fn variable(name: &str) -> u32 {
    let value = env::var(name).unwrap_or_else(|_| "1".to_owned());
    value
        .parse()
        .unwrap_or_else(|_| panic!("{name} is not a number: {value}"))
}

/// Returns the seed of an input. It is never zero, from which the generator draws only zeros.
fn mix(seed: u32, input: u32) -> u32 {
    let mut bits = u64::from(seed) << u32::BITS | u64::from(input);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((bits ^ (bits >> 31)) as u32).max(1)
}
