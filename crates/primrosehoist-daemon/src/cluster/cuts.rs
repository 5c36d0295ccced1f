//! Simulated network partitions between this daemon and others, set through the admin port.

use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::transport::peer::{Direction, Partition};

/// Replaces all cuts by those in `query`, such as `to=a,b&from=c`; an absent list is empty.
///
/// # Errors
///
/// Fails without any change if an item is not a host name.
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
