//! The request queue of one upstream, fair among workspaces and favoring short prompts.
//!
//! Workspaces share the upstream by tokens in proportion to their weights (start-time fair
//! queueing). Within a workspace, items are ordered by arrival time plus a penalty that grows with
//! the prompt length up to a maximum. Short prompts therefore overtake long ones, but no item
//! starves.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;
use crate::state::name;

/// Identifies an item, unique within the queue of one upstream.
pub type Ticket = u64;

/// The ordering penalty for each thousand prompt tokens.
pub const PENALTY_PER_THOUSAND_TOKENS: Duration = Duration::from_millis(100);

/// The largest ordering penalty.
pub const PENALTY_MAX: Duration = Duration::from_secs(10);

/// The fixed cost of an item in addition to its tokens, in tokens.
const ITEM_COST_TOKENS: u64 = 64;

/// The resolution of virtual time: units per token at weight one.
const UNITS_PER_TOKEN: u128 = 1 << 20;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The workspace that sent the request.
    pub workspace: name::Workspace,
    /// The weight of the workspace relative to others.
    pub weight: u32,
    /// The half that the workspace belongs to.
    pub half: name::Half,
    /// The expected prompt length in tokens.
    pub prompt_tokens: u64,
    /// The longest possible answer in tokens.
    pub answer_tokens: u64,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Whether the request is suspected of crashing upstreams and must run alone.
    pub suspect: bool,
}

impl Item {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    fn cost(&self) -> u64 {
        self.memory_tokens().saturating_add(ITEM_COST_TOKENS)
    }

    fn penalty(&self) -> Duration {
        let thousands = self.prompt_tokens as f64 / 1000.0;
        PENALTY_PER_THOUSAND_TOKENS
            .mul_f64(thousands)
            .min(PENALTY_MAX)
    }
}

/// An item and its arrival time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The item.
    pub item: Item,
    /// When it was enqueued.
    pub enqueued: Instant,
}

/// The sort key of an item within its workspace: arrival time plus penalty, then ticket.
type Position = (Instant, Ticket);

/// The queued items of one workspace.
#[derive(Debug, Default)]
struct Flow {
    weight: u32,
    /// The virtual start time of the next item.
    start: u128,
    items: BTreeMap<Position, Entry>,
    prompt_tokens: u64,
}

/// The queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    flows: Map<name::Workspace, Flow>,
    positions: Map<Ticket, (name::Workspace, Position)>,
    /// The virtual time: the largest start time of any popped item.
    virtual_time: u128,
    tokens: u64,
}

impl Queue {
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of prompt and answer tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns all entries in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.flows.values().flat_map(|flow| flow.items.values())
    }

    /// Adds an item that arrived at `now`, replacing any item with the same ticket.
    pub fn push(&mut self, item: Item, now: Instant) {
        self.remove(item.ticket);
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(item.workspace.clone()).or_default();
        if flow.items.is_empty() {
            // A workspace accumulates no credit while it has no items.
            flow.start = flow.start.max(virtual_time);
        }
        flow.weight = item.weight.max(1);
        flow.prompt_tokens += item.prompt_tokens;
        self.tokens += item.memory_tokens();
        let position = (now + item.penalty(), item.ticket);
        self.positions
            .insert(item.ticket, (item.workspace.clone(), position));
        flow.items.insert(
            position,
            Entry {
                item,
                enqueued: now,
            },
        );
    }

    /// Removes and returns the next item for which `fits` holds.
    ///
    /// Starts with the workspace that is furthest behind its share. If none of its items fits,
    /// tries the next workspace.
    pub fn pop<F>(&mut self, fits: F) -> Option<Item>
    where
        F: Fn(&Entry) -> bool,
    {
        let mut order: Vec<(u128, &name::Workspace)> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.items.is_empty())
            .map(|(workspace, flow)| (flow.start, workspace))
            .collect();
        order.sort_unstable();
        let ticket = order.iter().find_map(|(_, workspace)| {
            let mut entries = self.flows[*workspace].items.values();
            entries
                .find(|entry| fits(entry))
                .map(|entry| entry.item.ticket)
        })?;
        self.take(ticket)
    }

    /// Removes an item without charging its workspace.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let (workspace, position) = self.positions.remove(&ticket)?;
        let flow = self.flows.get_mut(&workspace)?;
        let entry = flow.items.remove(&position)?;
        flow.prompt_tokens -= entry.item.prompt_tokens;
        self.tokens -= entry.item.memory_tokens();
        if flow.items.is_empty() && flow.start <= self.virtual_time {
            self.flows.remove(&workspace);
        }
        Some(entry.item)
    }

    /// Removes and returns the items whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        self.remove_if(|entry| entry.item.deadline <= now)
    }

    /// Removes and returns the items for which `condition` holds, in the order of their tickets.
    pub fn remove_if<F>(&mut self, condition: F) -> Vec<Item>
    where
        F: Fn(&Entry) -> bool,
    {
        let mut tickets: Vec<Ticket> = self
            .iter()
            .filter(|entry| condition(entry))
            .map(|entry| entry.item.ticket)
            .collect();
        tickets.sort_unstable();
        tickets.into_iter().filter_map(|t| self.remove(t)).collect()
    }

    /// Returns the number of prompt tokens expected to be served before `item` if it is pushed at
    /// `now`.
    pub fn tokens_ahead(&self, item: &Item, now: Instant) -> u64 {
        let position = (now + item.penalty(), item.ticket);
        let Some(flow) = self.flows.get(&item.workspace) else {
            return self.others_ahead(item, item.prompt_tokens);
        };
        let own: u64 = flow
            .items
            .range(..position)
            .map(|(_, entry)| entry.item.prompt_tokens)
            .sum();
        own + self.others_ahead(item, own + item.prompt_tokens)
    }

    /// Returns the number of prompt tokens of other workspaces that are served while `own` tokens
    /// of this one are.
    fn others_ahead(&self, item: &Item, own: u64) -> u64 {
        let weight = u64::from(item.weight.max(1));
        self.flows
            .iter()
            .filter(|(workspace, _)| **workspace != item.workspace)
            .map(|(_, flow)| {
                let share = own.saturating_mul(u64::from(flow.weight)) / weight;
                flow.prompt_tokens.min(share)
            })
            .sum()
    }

    /// Removes an item and charges its workspace.
    fn take(&mut self, ticket: Ticket) -> Option<Item> {
        let workspace = self.positions.get(&ticket)?.0.clone();
        let flow = self.flows.get_mut(&workspace)?;
        let (weight, start) = (flow.weight, flow.start);
        self.virtual_time = self.virtual_time.max(start);
        let item = self.remove(ticket)?;
        let units = u128::from(item.cost()) * UNITS_PER_TOKEN / u128::from(weight);
        let flow = self.flows.entry(workspace).or_default();
        flow.weight = weight;
        flow.start = start + units;
        Some(item)
    }
}
