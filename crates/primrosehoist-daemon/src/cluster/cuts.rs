//! The operators' switch that cuts this daemon off from others, for tests of partitions.

use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::transport::peer::{Direction, Partition};

/// Replaces all cuts by those in `query`: `to=a,b&from=c`, where an absent side is empty.
///
/// # Errors
///
/// Returns an error and changes nothing if a part is not a host name.
pub(crate) fn set(partition: &Partition, query: &str) -> Result<(), name::Error> {
    let to = hosts(query, "to=")?;
    let from = hosts(query, "from=")?;
    partition.set(Direction::To, to);
    partition.set(Direction::From, from);
    Ok(())
}

fn hosts(query: &str, prefix: &str) -> Result<Set<name::Host>, name::Error> {
    let list = query.split('&').find_map(|part| part.strip_prefix(prefix));
    let names = list.unwrap_or_default().split(',');
    names
        .filter(|raw| !raw.is_empty())
        .map(name::Host::try_from)
        .collect()
}
