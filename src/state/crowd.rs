//! The connections of a server, and which of them make room for others.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// The memory of a connection without a request, in bytes.
pub const CONNECTION_BYTES: u64 = 8 * 1024;

/// The memory of a connection per byte of the head that it has received, in bytes.
pub const HEAD_FACTOR: u64 = 2;

/// The time without progress after which a connection counts as stalled.
pub const STALLED_AFTER: Duration = Duration::from_millis(250);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request, or a part of one, has been received.
    Arriving,
    /// A request was answered, and no byte of another has been received.
    Idle,
    /// A whole request has been received and is not yet answered.
    Running,
}

/// Bounds on the connections of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The largest number of connections.
    pub connections: usize,
    /// The largest memory of all connections, without bodies, in bytes.
    pub bytes: u64,
}

#[derive(Debug)]
struct Member {
    phase: Phase,
    head_bytes: u64,
    progressed_at: Instant,
}

impl Member {
    fn bytes(&self) -> u64 {
        CONNECTION_BYTES + HEAD_FACTOR * self.head_bytes
    }

    /// Returns the order in which members make room, the first one first; `None` if this one does not.
    fn rank(&self, now: Instant) -> Option<(u8, Instant, Reverse<u64>)> {
        let stalled = now.saturating_duration_since(self.progressed_at) >= STALLED_AFTER;
        let class = match (self.phase, stalled) {
            (Phase::Running, _) => return None,
            (Phase::Arriving, true) => 0,
            (Phase::Idle, true) => 1,
            (Phase::Arriving | Phase::Idle, false) => 2,
        };
        Some((class, self.progressed_at, Reverse(self.head_bytes)))
    }
}

/// The connections of a server, by number.
///
/// ```
/// use std::time::Duration;
///
/// use primrosehoist::state::crowd::{Bounds, Crowd, STALLED_AFTER};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut crowd = Crowd::new(Bounds { connections: 1, bytes: 1 << 20 });
/// crowd.enter(1, now);
/// let later = now + STALLED_AFTER;
/// crowd.enter(2, later);
/// assert_eq!(crowd.make_room(later), vec![1]);
/// ```
#[derive(Debug)]
pub struct Crowd {
    bounds: Bounds,
    members: Map<u64, Member>,
    bytes: u64,
}

impl Crowd {
    /// Creates a crowd without members.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            members: Map::default(),
            bytes: 0,
        }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the memory of all members, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds connection `number`, which replaces one with the same number.
    pub fn enter(&mut self, number: u64, now: Instant) {
        self.leave(number);
        let member = Member {
            phase: Phase::Arriving,
            head_bytes: 0,
            progressed_at: now,
        };
        self.bytes += member.bytes();
        self.members.insert(number, member);
    }

    /// Removes connection `number`, if it is a member.
    pub fn leave(&mut self, number: u64) {
        if let Some(member) = self.members.remove(&number) {
            self.bytes -= member.bytes();
        }
    }

    /// Records that connection `number` has received `head_bytes` more bytes of a head, or another
    /// part of a request.
    pub fn receive(&mut self, number: u64, head_bytes: u64, now: Instant) {
        if let Some(member) = self.members.get_mut(&number) {
            self.bytes -= member.bytes();
            member.head_bytes = member.head_bytes.saturating_add(head_bytes);
            member.progressed_at = now;
            if member.phase == Phase::Idle {
                member.phase = Phase::Arriving;
            }
            self.bytes += member.bytes();
        }
    }

    /// Records that connection `number` has received a whole request.
    pub fn run(&mut self, number: u64, now: Instant) {
        if let Some(member) = self.members.get_mut(&number) {
            member.phase = Phase::Running;
            member.progressed_at = now;
        }
    }

    /// Records that connection `number` has been answered.
    pub fn rest(&mut self, number: u64, now: Instant) {
        if let Some(member) = self.members.get_mut(&number) {
            self.bytes -= member.bytes();
            member.head_bytes = 0;
            member.phase = Phase::Idle;
            member.progressed_at = now;
            self.bytes += member.bytes();
        }
    }

    /// Removes members until the others are within the bounds, and returns the removed ones. Members
    /// whose request runs stay.
    ///
    /// Stalled members with a part of a request go first, then idle ones, each by the time since
    /// their last progress.
    pub fn make_room(&mut self, now: Instant) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.is_over() {
            let ranks = self.members.iter().filter_map(|(number, member)| {
                let rank = member.rank(now)?;
                Some((rank, *number))
            });
            let Some((_, number)) = ranks.min() else {
                break;
            };
            self.leave(number);
            removed.push(number);
        }
        removed
    }

    /// Returns whether the members exceed the bounds.
    pub fn is_over(&self) -> bool {
        self.members.len() > self.bounds.connections || self.bytes > self.bounds.bytes
    }
}
