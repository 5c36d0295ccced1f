//! Tells daemons of each other's load on upstreams, and of the versions that they have.
//!
//! A daemon sends its complete state from time to time and the changes of its load as they happen.
//! In a fleet of up to [`FLEET_SCOPE_MAX`](crate::coordination::peers::FLEET_SCOPE_MAX) daemons, it
//! sends them to all others. In a larger one, it sends them to the daemons of its zone, and what
//! concerns the upstreams of another zone to the daemons there, if any are left. Of other zones it knows summaries,
//! for which it asks one random daemon of each zone in turn. So the cost grows with the daemons of a
//! zone, not with the fleet, and no daemon has a special role that would have to be replaced.
//!
//! Every message is idempotent, and each loss is repaired by the next complete state or summary.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::coordination::peers::{Error, Peers, Scope, Told};
use crate::coordination::permit;
use crate::coordination::watchers::{Member, Status};
use crate::state::crash;
use crate::state::map::{Map, Set};
use crate::state::occupancy::{Key, Occupancy, Report, Work};
use crate::state::rate;
use crate::state::roster::Upstream;
use crate::state::versions::{Revision, Versions};

/// The longest time between two complete states in a small fleet.
const STATE_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between two complete states in a larger fleet. Messages with changes show in
/// between that the daemon is live.
const STATE_INTERVAL_SPACED: Duration = Duration::from_secs(1);

/// The interval between two queries for the summary of another zone.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// The largest number of daemons of one zone that a summary may name.
const ZONE_MEMBERS_MAX: usize = 1024;

/// What a daemon tells of itself besides its load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Info {
    /// The state of its watch on the store.
    pub status: Status,
    /// Whether its host is cut off from the upstreams.
    pub cut_off: bool,
    /// The versions of the platform state that it has applied.
    pub versions: Versions,
    /// The upstreams that it avoids after failures.
    pub avoided: Vec<Arc<str>>,
    /// The upstreams that are about to leave, each with the start time of its process.
    pub leaving: Vec<(Key, u64)>,
    /// The limits that upstreams recently named in answers to its requests, or ended.
    pub limits: Vec<rate::Report>,
    /// What may have crashed upstreams recently.
    pub crashes: crash::Report,
    /// What recently turned out not to crash upstreams.
    pub absolutions: crash::Report,
}

/// The complete state of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The host of the sender.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The start time of the sender in Unix milliseconds, and the number of the message since then.
    pub sequence: (u64, u64),
    /// What the sender tells of itself.
    pub info: Info,
    /// The load of the sender's requests, in another zone than its own only on the upstreams there.
    pub load: Report,
}

/// Changes of the load of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The start time of the sender in Unix milliseconds, and the number of the message since then.
    pub sequence: (u64, u64),
    /// The load on the upstreams on which it changed.
    pub load: Report,
}

/// A query for the summary of another zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The host of the sender.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
    /// What the sender tells of itself.
    pub info: Info,
    /// The digest of the live daemons that the sender knows in the zone of the receiver.
    pub members: u64,
}

/// The summary of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The host of the sender.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
    /// What the sender tells of itself.
    pub info: Info,
    /// The load on the upstreams of the zone, without that of daemons in the zone of the receiver.
    pub load: Report,
    /// The live daemons of the zone, or `None` if the receiver knows them.
    pub members: Option<Vec<(IpAddr, Arc<str>)>>,
}

/// A change to an upstream in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The upstream was added or changed.
    Upsert(Upstream),
    /// The entry of the upstream was removed.
    Remove {
        /// The id of the upstream.
        id: Arc<str>,
        /// How long the upstream is used nevertheless, because the entry may have expired during an
        /// outage of the platform.
        left: Duration,
    },
}

/// All changes to upstreams between two store revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The revision after which the changes were made.
    pub since: Revision,
    /// The revision of the last change.
    pub revision: Revision,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// The complete state of a daemon.
    State(State),
    /// Changes of its load.
    Delta(Delta),
    /// A query for a summary.
    Query(Query),
    /// The summary of a zone.
    Summary(Summary),
    /// Changes to upstreams.
    Update(Update),
    /// A query for a permit or the reply to one.
    Permit(permit::Message),
}

/// A message with its destinations.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The addresses of the receivers.
    pub targets: Vec<IpAddr>,
    /// The message.
    pub datagram: Datagram,
}

/// What a received message says besides the load, which has been applied.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    /// The host of the sender.
    pub host: Arc<str>,
    /// What the sender tells of itself, if the message contains it.
    pub info: Option<Info>,
    /// Changes to upstreams, if the message contains some.
    pub update: Option<Update>,
    /// A query for a permit or the reply to one, if the message is one.
    pub permit: Option<permit::Message>,
    /// The answer to the sender, if the message requires one.
    pub reply: Option<Datagram>,
}

/// The identity of a daemon.
#[derive(Debug, Clone)]
pub struct Own {
    /// Its host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its address.
    pub address: IpAddr,
    /// Its start time in Unix milliseconds.
    pub started_ms: u64,
}

/// The state on which the messages of a daemon depend.
#[derive(Debug)]
pub struct View<'a, I, R, Z> {
    /// The load on upstreams.
    pub occupancy: &'a mut Occupancy,
    /// Returns what the daemon tells of itself.
    pub info: I,
    /// Returns the number of requests that the daemon sent to each upstream in the last second.
    pub recent: R,
    /// Returns the zone of an upstream.
    pub zone_of: Z,
}

/// Produces and applies the messages of one daemon.
#[derive(Debug)]
pub struct Exchange {
    own: Own,
    /// The other daemons.
    pub peers: Peers,
    /// The number of the last message with load.
    number: u64,
    /// When the last complete state was sent, and what it told.
    last_state: Option<(Instant, Info)>,
    /// The other zones that were last told of load on their upstreams.
    engaged: Set<Arc<str>>,
    /// The number of queries.
    queries: usize,
}

impl Exchange {
    /// Creates the exchange of a daemon that knows no other.
    pub fn new(own: Own) -> Self {
        let peers = Peers::new(Arc::clone(&own.host), Arc::clone(&own.zone), own.address);
        Self {
            own,
            peers,
            number: 0,
            last_state: None,
            engaged: Set::default(),
            queries: 0,
        }
    }

    /// Returns the messages that tell the load now. The last one is for the daemons of the scope, the others
    /// are for other zones.
    pub fn tell_load<I, R, Z>(
        &mut self,
        view: &mut View<'_, I, R, Z>,
        now: Instant,
    ) -> Vec<Outgoing>
    where
        I: Fn() -> Info,
        R: Fn() -> Map<Key, u32>,
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        self.number += 1;
        let info = (view.info)();
        let recent = (view.recent)();
        let changes = view.occupancy.take_changes(&recent);
        let is_due = self.is_state_due(&info, now);
        let report = view.occupancy.report(&recent);
        let mut outgoing = Vec::new();
        let targets = match self.peers.scope() {
            Scope::Fleet => self.peers.targets(self.number, now),
            Scope::Zone => {
                let live = self.peers.live_zones(now);
                let changes = self.by_other_zone(&changes, &live, &view.zone_of);
                let loads = self.by_other_zone(&report, &live, &view.zone_of);
                outgoing = self.tell_other_zones(&changes, &loads, &info, is_due, now);
                self.peers.targets_in(&self.own.zone, self.number, now)
            }
        };
        let datagram = if is_due {
            self.last_state = Some((now, info.clone()));
            Datagram::State(self.state(info, report))
        } else {
            Datagram::Delta(self.delta(changes))
        };
        outgoing.push(Outgoing { targets, datagram });
        outgoing
    }

    /// Makes the next message a complete state, because what extensions tell has changed.
    pub fn request_state(&mut self) {
        self.last_state = None;
    }

    fn is_state_due(&self, info: &Info, now: Instant) -> bool {
        let interval = if self.peers.spacing() == 1 {
            STATE_INTERVAL
        } else {
            STATE_INTERVAL_SPACED
        };
        let last = self.last_state.as_ref();
        // Warnings and crashes change often while upstreams fail, and each daemon repeats them.
        last.is_none_or(|(at, told)| {
            now >= *at + interval
                || told.status != info.status
                || told.cut_off != info.cut_off
                || told.versions != info.versions
        })
    }

    /// Returns the messages to other zones about the load on their upstreams. `info` is what a
    /// complete state tells, and `is_due` whether one is due. Warnings and crashes reach other zones by summaries.
    fn tell_other_zones(
        &mut self,
        changes: &BTreeMap<Arc<str>, Report>,
        loads: &BTreeMap<Arc<str>, Report>,
        info: &Info,
        is_due: bool,
        now: Instant,
    ) -> Vec<Outgoing> {
        let zones: Set<Arc<str>> = changes.keys().chain(loads.keys()).cloned().collect();
        let zones: Set<Arc<str>> = zones.union(&self.engaged).cloned().collect();
        let mut outgoing = Vec::new();
        for zone in &zones {
            let load = || loads.get(zone).cloned().unwrap_or_default();
            let is_new = !self.engaged.contains(zone);
            let datagram = match changes.get(zone) {
                _ if is_due || is_new => {
                    let info = Info {
                        status: info.status,
                        cut_off: info.cut_off,
                        versions: info.versions,
                        ..Info::default()
                    };
                    Datagram::State(self.state(info, load()))
                }
                Some(changes) => Datagram::Delta(self.delta(changes.clone())),
                None => continue,
            };
            let targets = self.peers.targets_in(zone, self.number, now);
            outgoing.push(Outgoing { targets, datagram });
        }
        if is_due {
            self.engaged = loads.keys().cloned().collect();
        } else {
            self.engaged.extend(zones);
        }
        outgoing
    }

    /// Groups the entries for upstreams in other zones by the zone that is told of them. If a zone has
    /// no daemon in `live`, all others are told.
    fn by_other_zone<Z>(
        &self,
        report: &Report,
        live: &Set<Arc<str>>,
        zone_of: Z,
    ) -> BTreeMap<Arc<str>, Report>
    where
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        let mut zones: BTreeMap<Arc<str>, Report> = BTreeMap::new();
        let mut tell = |zone: &Arc<str>, entry: &(Key, Work)| {
            if *zone != self.own.zone {
                zones.entry(Arc::clone(zone)).or_default().push(*entry);
            }
        };
        for entry in report {
            match zone_of(entry.0) {
                Some(zone) if live.contains(&zone) => tell(&zone, entry),
                Some(_) => live.iter().for_each(|other| tell(other, entry)),
                None => {}
            }
        }
        zones
    }

    fn state(&self, info: Info, load: Report) -> State {
        State {
            host: Arc::clone(&self.own.host),
            zone: Arc::clone(&self.own.zone),
            sequence: (self.own.started_ms, self.number),
            info,
            load,
        }
    }

    fn delta(&self, load: Report) -> Delta {
        Delta {
            sequence: (self.own.started_ms, self.number),
            load,
        }
    }

    /// Returns a query for the summary of the next other zone. `random` is from 0 to 1.
    pub fn query<I>(&mut self, info: I, random: f64, now: Instant) -> Option<Outgoing>
    where
        I: Fn() -> Info,
    {
        if self.peers.scope() == Scope::Fleet {
            return None;
        }
        let zones = self.peers.other_zones();
        let zone = zones.get(self.queries % zones.len().max(1))?;
        self.queries += 1;
        let target = self.peers.random_in(zone, &Set::default(), random, now)?;
        let query = Query {
            host: Arc::clone(&self.own.host),
            zone: Arc::clone(&self.own.zone),
            started_ms: self.own.started_ms,
            info: info(),
            members: self.peers.digest(zone, now),
        };
        Some(Outgoing {
            targets: vec![target],
            datagram: Datagram::Query(query),
        })
    }

    /// Returns the message that tells the daemons of the own zone of changes to upstreams.
    pub fn tell_update(&self, update: Update, now: Instant) -> Outgoing {
        Outgoing {
            targets: self.peers.targets_in(&self.own.zone, self.number, now),
            datagram: Datagram::Update(update),
        }
    }

    /// Applies the load in a message from `sender` and returns what else it says.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon is known at the address of the sender.
    pub fn receive<I, R, Z>(
        &mut self,
        sender: IpAddr,
        datagram: Datagram,
        view: &mut View<'_, I, R, Z>,
        now: Instant,
    ) -> Result<Received, Error>
    where
        I: Fn() -> Info,
        R: Fn() -> Map<Key, u32>,
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        match datagram {
            Datagram::State(state) => self.on_state(sender, state, view, now),
            Datagram::Delta(delta) => {
                let member = self.peers.heard(sender, now)?.clone();
                let load = self.relevant(&member.zone, delta.load, &view.zone_of, now);
                view.occupancy
                    .update_entries(&member.host, delta.sequence, load, now);
                Ok(received(member.host, None))
            }
            Datagram::Query(query) => self.on_query(sender, query, view, now),
            Datagram::Summary(summary) => self.on_summary(sender, summary, view, now),
            Datagram::Update(update) => {
                let host = Arc::clone(&self.peers.heard(sender, now)?.host);
                Ok(Received {
                    update: Some(update),
                    ..received(host, None)
                })
            }
            Datagram::Permit(message) => {
                let host = Arc::clone(&self.peers.heard(sender, now)?.host);
                Ok(Received {
                    permit: Some(message),
                    ..received(host, None)
                })
            }
        }
    }

    /// Returns the entries that a message from a daemon in `zone` may tell. A daemon in another zone
    /// reports directly only on the upstreams of this one, and of zones without daemons.
    fn relevant<Z>(&self, zone: &Arc<str>, load: Report, zone_of: Z, now: Instant) -> Report
    where
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        if self.peers.scope() == Scope::Fleet || *zone == self.own.zone {
            return load;
        }
        let live = self.peers.live_zones(now);
        let is_told =
            |key| zone_of(key).is_some_and(|zone| zone == self.own.zone || !live.contains(&zone));
        load.into_iter().filter(|(key, _)| is_told(*key)).collect()
    }

    fn on_state<I, R, Z>(
        &mut self,
        sender: IpAddr,
        state: State,
        view: &mut View<'_, I, R, Z>,
        now: Instant,
    ) -> Result<Received, Error>
    where
        I: Fn() -> Info,
        R: Fn() -> Map<Key, u32>,
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        let State {
            host,
            zone,
            sequence,
            info,
            load,
        } = state;
        let member = Member::new(&host, &zone, info.status);
        let told = Told::new(info.versions, info.cut_off);
        let is_first = self.peers.update(sender, member, sequence.0, told, now)?;
        let load = self.relevant(&zone, load, &view.zone_of, now);
        view.occupancy
            .update_report(&host, &zone, sequence, load, now);
        // A daemon that has just started gets the state of the others at once.
        let shares_load = self.peers.scope() == Scope::Fleet || zone == self.own.zone;
        let reply = (is_first && shares_load).then(|| {
            self.number += 1;
            let report = view.occupancy.report(&(view.recent)());
            Datagram::State(self.state((view.info)(), report))
        });
        Ok(Received {
            reply,
            ..received(host, Some(info))
        })
    }

    fn on_query<I, R, Z>(
        &mut self,
        sender: IpAddr,
        query: Query,
        view: &mut View<'_, I, R, Z>,
        now: Instant,
    ) -> Result<Received, Error>
    where
        I: Fn() -> Info,
        R: Fn() -> Map<Key, u32>,
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        let member = Member::new(&query.host, &query.zone, query.info.status);
        let told = Told::new(query.info.versions, query.info.cut_off);
        self.peers
            .update(sender, member, query.started_ms, told, now)?;
        let own_zone = &self.own.zone;
        let is_near = |key| (view.zone_of)(key).as_ref() == Some(own_zone);
        let recent = (view.recent)();
        let is_same = query.members == self.peers.digest(own_zone, now);
        let summary = Summary {
            host: Arc::clone(&self.own.host),
            zone: Arc::clone(own_zone),
            started_ms: self.own.started_ms,
            info: (view.info)(),
            load: view.occupancy.summary(&recent, &query.zone, is_near),
            members: (!is_same).then(|| self.peers.live_in(own_zone, now)),
        };
        Ok(Received {
            reply: Some(Datagram::Summary(summary)),
            ..received(query.host, Some(query.info))
        })
    }

    fn on_summary<I, R, Z>(
        &mut self,
        sender: IpAddr,
        summary: Summary,
        view: &mut View<'_, I, R, Z>,
        now: Instant,
    ) -> Result<Received, Error>
    where
        Z: Fn(Key) -> Option<Arc<str>>,
    {
        let Summary {
            host,
            zone,
            started_ms,
            info,
            mut load,
            members,
        } = summary;
        let member = Member::new(&host, &zone, info.status);
        let told = Told::new(info.versions, info.cut_off);
        self.peers.update(sender, member, started_ms, told, now)?;
        if zone != self.own.zone {
            match members {
                Some(mut members) => {
                    members.truncate(ZONE_MEMBERS_MAX);
                    self.peers.set_zone(&zone, &members, now);
                }
                None => self.peers.confirm_zone(&zone, now),
            }
        }
        if self.peers.scope() == Scope::Zone && zone != self.own.zone {
            load.retain(|(key, _): &(Key, Work)| (view.zone_of)(*key).as_ref() == Some(&zone));
            view.occupancy.update_summary(&zone, load, now);
        }
        Ok(received(host, Some(info)))
    }
}

fn received(host: Arc<str>, info: Option<Info>) -> Received {
    Received {
        host,
        info,
        update: None,
        permit: None,
        reply: None,
    }
}
