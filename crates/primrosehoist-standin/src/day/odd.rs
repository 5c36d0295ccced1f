//! Objects and fields that someone else writes to the store of a day.

use std::fmt;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde::Serialize;
use serde_json::json;

/// The number of levels beyond which decoders of JSON give up.
const LEVELS: usize = 150;

/// The lengths of long names: one is accepted in a path, the other one is not.
const LONG: [usize; 2] = [1_000, 20_000];

/// Parts of names.
const TEXTS: [&str; 12] = [
    "%#",
    "%2e%2e",
    "&b=",
    "+",
    "%C3%A9",
    "\u{e9}",
    " b",
    "?After=z",
    "\r\nX-Injected: 1",
    "\u{0}",
    "\"quoted\"",
    "/../servers/",
];

/// Lone surrogates as JSON text.
const SURROGATES: [&str; 3] = ["\\ud800", "\\udfff", "b\\udc00b"];

/// Specifications that are none, as JSON text.
const SPECS: [&str; 12] = [
    "{}",
    "null",
    "[]",
    "5",
    "1e999",
    r#""\ud800""#,
    r#"{"\udc00":[1]}"#,
    r#"{"Version":1e999,"Routes":5,"Services":{},"Tenants":"all"}"#,
    r#"{"Service":"lens-llm","Address":"nowhere","Zone":"zone-a","Slots":16,"State":"ready","Sequence":1,"born":1}"#,
    r#"{"Service":"tri-app","Address":"\ud800:80","Zone":"zone-b","Slots":6,"State":"ready","Sequence":1,"born":1}"#,
    r#"{"Service":"lens-llm","Zone":"zone-c","Slots":"many","State":5}"#,
    r#"{"Address":[],"Zone":{}}"#,
];

/// Values of unknown fields, as JSON text.
const FIELDS: [&str; 4] = [
    "1e999",
    r#""\ud800""#,
    r#"{"\ud800":[1]}"#,
    r#"["\udfff",-1e999]"#,
];

/// A kind of objects.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::EnumIter, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The entries of runners.
    Servers,
    /// The configuration.
    Config,
    /// Evacuations of availability zones.
    Evacuations,
    /// The entries of daemons.
    Daemons,
}

impl Kind {
    /// Returns the beginning of an ordinary name, without its end.
    fn ordinary(self) -> &'static str {
        match self {
            Self::Servers => "i-7205-",
            Self::Config => "main",
            Self::Evacuations => "zone-b",
            Self::Daemons => "host-1",
        }
    }
}

/// An object that someone else writes. It is displayed as the stand-in of the store reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Object {
    /// The kind.
    pub kind: Kind,
    /// The name, as JSON text.
    pub name: String,
    /// The specification, as JSON text.
    pub spec: String,
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, spec } = self;
        write!(
            f,
            r#"{{"Kind":"{kind}","Metadata":{{"Name":{name}}},"Spec":{spec}}}"#
        )
    }
}

impl Object {
    /// Draws an object. Its name ends with `number`.
    pub(crate) fn draw(random: &mut StdRng, kind: Kind, number: usize) -> Self {
        let prefixes = ["", "a", kind.ordinary(), "zz"];
        let prefix = choose(random, &prefixes);
        let middle = match random.random_range(0..10) {
            0 => "x".repeat(choose(random, &LONG)),
            1 => "\u{e9}".repeat(choose(random, &LONG)),
            2 | 3 => choose(random, &SURROGATES).to_owned(),
            _ => {
                let quoted = json!(choose(random, &TEXTS)).to_string();
                quoted[1..quoted.len() - 1].to_owned()
            }
        };
        let spec = match random.random_range(0..3) {
            0 => nested(),
            _ => choose(random, &SPECS).to_owned(),
        };
        Self {
            kind,
            name: format!("\"{prefix}{middle}{number}\""),
            spec,
        }
    }
}

/// Draws the value of an unknown field, as JSON text.
pub(crate) fn field(random: &mut StdRng) -> String {
    match random.random_range(0..2) {
        0 => nested(),
        _ => choose(random, &FIELDS).to_owned(),
    }
}

fn nested() -> String {
    ["[".repeat(LEVELS), "]".repeat(LEVELS)].concat()
}

fn choose<Item>(random: &mut StdRng, items: &[Item]) -> Item
where
    Item: Copy,
{
    *items.choose(random).unwrap_or(&items[0])
}
