//! The queue of one upstream: fair among workspaces, short prompts before long ones.
//!
//! Workspaces share by tokens in proportion to their weights (start-time fair queueing). Within a
//! workspace an item is ordered by its arrival plus a time that grows with its length, up to a
//! bound. A short prompt therefore overtakes long ones, and none is overtaken for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;
use crate::state::name;

/// Identifies an item. Unique among the items of one upstream.
pub type Ticket = u64;

/// How long an item is set back for each thousand tokens.
pub const SETBACK_PER_THOUSAND: Duration = Duration::from_millis(100);

/// The longest time that an item is set back.
pub const SETBACK_MAX: Duration = Duration::from_secs(10);

/// The cost of an item beside its tokens, in tokens.
const ITEM_TOKENS: u64 = 64;

/// The precision of virtual time: units per token at weight one.
const UNITS_PER_TOKEN: u128 = 1 << 20;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The workspace that asks.
    pub workspace: name::Workspace,
    /// The share of the workspace, relative to others.
    pub weight: u32,
    /// The half that the workspace belongs to.
    pub half: name::Half,
    /// The expected prompt length in tokens.
    pub prompt_tokens: u64,
    /// The longest answer in tokens.
    pub answer_tokens: u64,
    /// When the time limit of the request passes.
    pub deadline: Instant,
    /// Whether the request is suspected to end upstreams and must run alone.
    pub suspect: bool,
}

impl Item {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    fn cost(&self) -> u64 {
        self.memory_tokens().saturating_add(ITEM_TOKENS)
    }

    fn setback(&self) -> Duration {
        let thousands = self.prompt_tokens as f64 / 1000.0;
        SETBACK_PER_THOUSAND.mul_f64(thousands).min(SETBACK_MAX)
    }
}

/// An item with the time of its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The item.
    pub item: Item,
    /// When it was pushed.
    pub since: Instant,
}

/// The place of an item within its workspace.
type Place = (Instant, Ticket);

/// What waits for one workspace.
#[derive(Debug, Default)]
struct Lane {
    weight: u32,
    /// The virtual time at which the next item starts.
    start: u128,
    items: BTreeMap<Place, Waiting>,
    prompt_tokens: u64,
}

/// The queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: Map<name::Workspace, Lane>,
    places: Map<Ticket, (name::Workspace, Place)>,
    /// The virtual time: the start of the item that was popped last.
    clock: u128,
    tokens: u64,
}

impl Queue {
    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the tokens of all items, prompts and answers.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns all that waits, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|lane| lane.items.values())
    }

    /// Adds an item that arrived at `now`. One with a known ticket replaces the former.
    pub fn push(&mut self, item: Item, now: Instant) {
        self.remove(item.ticket);
        let clock = self.clock;
        let lane = self.lanes.entry(item.workspace.clone()).or_default();
        if lane.items.is_empty() {
            // A workspace that was away has no claim on the time that it did not use.
            lane.start = lane.start.max(clock);
        }
        lane.weight = item.weight.max(1);
        lane.prompt_tokens += item.prompt_tokens;
        self.tokens += item.memory_tokens();
        let place = (now + item.setback(), item.ticket);
        self.places
            .insert(item.ticket, (item.workspace.clone(), place));
        lane.items.insert(place, Waiting { item, since: now });
    }

    /// Removes and returns the next item for which `fits` holds.
    ///
    /// The workspace that is furthest behind its share goes first; if none of its items fits,
    /// the next one.
    pub fn pop<F>(&mut self, fits: F) -> Option<Item>
    where
        F: Fn(&Waiting) -> bool,
    {
        let mut order: Vec<(u128, &name::Workspace)> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.items.is_empty())
            .map(|(workspace, lane)| (lane.start, workspace))
            .collect();
        order.sort_unstable();
        let ticket = order.iter().find_map(|(_, workspace)| {
            let mut waiting = self.lanes[*workspace].items.values();
            waiting.find(|w| fits(w)).map(|w| w.item.ticket)
        })?;
        self.take(ticket)
    }

    /// Removes an item that is not to be sent.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let (workspace, place) = self.places.remove(&ticket)?;
        let lane = self.lanes.get_mut(&workspace)?;
        let waiting = lane.items.remove(&place)?;
        lane.prompt_tokens -= waiting.item.prompt_tokens;
        self.tokens -= waiting.item.memory_tokens();
        if lane.items.is_empty() && lane.start <= self.clock {
            self.lanes.remove(&workspace);
        }
        Some(waiting.item)
    }

    /// Removes and returns the items whose time limit has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        self.remove_if(|waiting| waiting.item.deadline <= now)
    }

    /// Removes and returns the items for which `condition` holds, by ticket.
    pub fn remove_if<F>(&mut self, condition: F) -> Vec<Item>
    where
        F: Fn(&Waiting) -> bool,
    {
        let mut tickets: Vec<Ticket> = self
            .iter()
            .filter(|waiting| condition(waiting))
            .map(|waiting| waiting.item.ticket)
            .collect();
        tickets.sort_unstable();
        tickets.into_iter().filter_map(|t| self.remove(t)).collect()
    }

    /// Returns the prompt tokens that are expected to be served before `item` if it is pushed at `now`.
    pub fn tokens_ahead(&self, item: &Item, now: Instant) -> u64 {
        let place = (now + item.setback(), item.ticket);
        let Some(lane) = self.lanes.get(&item.workspace) else {
            return self.others_ahead(item, item.prompt_tokens);
        };
        let own: u64 = lane
            .items
            .range(..place)
            .map(|(_, waiting)| waiting.item.prompt_tokens)
            .sum();
        own + self.others_ahead(item, own + item.prompt_tokens)
    }

    /// Returns what other workspaces are served while `own` tokens of this one are.
    fn others_ahead(&self, item: &Item, own: u64) -> u64 {
        let weight = u64::from(item.weight.max(1));
        self.lanes
            .iter()
            .filter(|(workspace, _)| **workspace != item.workspace)
            .map(|(_, lane)| {
                let share = own.saturating_mul(u64::from(lane.weight)) / weight;
                lane.prompt_tokens.min(share)
            })
            .sum()
    }

    /// Removes an item to be sent and charges its workspace.
    fn take(&mut self, ticket: Ticket) -> Option<Item> {
        let workspace = self.places.get(&ticket)?.0.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        let (weight, start) = (lane.weight, lane.start);
        self.clock = self.clock.max(start);
        let item = self.remove(ticket)?;
        let units = u128::from(item.cost()) * UNITS_PER_TOKEN / u128::from(weight);
        let lane = self.lanes.entry(workspace).or_default();
        lane.weight = weight;
        lane.start = start + units;
        Some(item)
    }
}
