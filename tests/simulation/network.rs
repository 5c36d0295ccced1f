//! The simulated network: messages in transit and their delivery.

use std::collections::BTreeSet;
use std::time::Duration;

use primrosehoist::coordination::holding::{Spec, Write, Written};
use primrosehoist::coordination::promise::{Answer, Promise, Takeover};
use primrosehoist::state::name;
use rand::RngExt;
use tokio::time::Instant;

use super::{STEP, World};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A message from one process to another daemon, or to the platform if `to` is `None`.
pub struct Envelope {
    pub from: usize,
    pub to: Option<usize>,
    pub process: u64,
    pub due: Instant,
    pub message: Message,
}

pub enum Message {
    Read {
        begun: Instant,
    },
    ReadAnswer {
        spec: Spec,
        version: Option<String>,
        begun: Instant,
    },
    Write {
        write: Write,
        begun: Instant,
    },
    WriteAnswer {
        written: Written,
        begun: Instant,
    },
    Promise {
        promise: Promise,
        asked_at: Instant,
    },
    PromiseAnswer {
        host: name::Host,
        answer: Answer,
        asked_at: Instant,
    },
    Takeover {
        takeover: Takeover,
    },
    TakeoverAnswer {
        host: name::Host,
        takeover: Takeover,
        answer: Answer,
    },
}

#[derive(Default)]
pub struct Network {
    in_transit: Vec<Envelope>,
    /// Directed links between daemons that are cut.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Answers to requests for promises, with the requesting daemon, its process and the time of
    /// the request.
    answers: Vec<(usize, u64, Instant, name::Host, Answer)>,
}

impl Network {
    pub fn send(&mut self, envelope: Envelope) {
        self.in_transit.push(envelope);
    }

    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    pub fn clear_faults(&mut self) {
        self.cuts.clear();
    }
}

impl World {
    pub fn deliver(&mut self) {
        let in_transit = std::mem::take(&mut self.network.in_transit);
        let (due, later): (Vec<_>, Vec<_>) =
            in_transit.into_iter().partition(|p| p.due <= self.now);
        self.network.in_transit = later;
        for envelope in due {
            match envelope.to {
                None => self.deliver_to_platform(envelope),
                Some(to) => self.deliver_to_daemon(to, envelope),
            }
        }
    }

    fn deliver_to_platform(&mut self, envelope: Envelope) {
        let from = envelope.from;
        if self.platform.unreachable.contains(&from) {
            if let Message::Write { begun, .. } = envelope.message {
                // The call may still arrive later, but the caller gives up at its timeout.
                self.answer_write(&envelope, Written::Unknown, begun, begun + CALL_TIMEOUT);
                if self.rng.random_ratio(1, 2) {
                    let due = self.now + STEP * self.rng.random_range(1..60);
                    self.network.in_transit.push(Envelope {
                        due,
                        process: u64::MAX,
                        ..envelope
                    });
                }
            }
            return;
        }
        let answers_lost = self.platform.answers_lost.contains(&from);
        let due = self.now + STEP * self.rng.random_range(0..5);
        match envelope.message {
            Message::Read { begun } if !answers_lost => {
                let in_time = begun + CALL_TIMEOUT - STEP;
                let due = if self.platform.is_responsive {
                    due.min(in_time)
                } else {
                    due
                };
                let (spec, version) = self.platform.read();
                let message = Message::ReadAnswer {
                    spec,
                    version,
                    begun,
                };
                let to = Some(from);
                self.network.in_transit.push(Envelope {
                    to,
                    due,
                    message,
                    ..envelope
                });
            }
            Message::Write { ref write, begun } => {
                let version = self.platform.write(write.clone());
                let written = version.map_or(Written::Conflict, Written::Done);
                if answers_lost {
                    self.answer_write(&envelope, Written::Unknown, begun, begun + CALL_TIMEOUT);
                } else {
                    self.answer_write(&envelope, written, begun, due);
                }
            }
            _ => {}
        }
    }

    fn answer_write(
        &mut self,
        envelope: &Envelope,
        written: Written,
        begun: Instant,
        due: Instant,
    ) {
        let message = Message::WriteAnswer { written, begun };
        let (from, process) = (envelope.from, envelope.process);
        self.network.in_transit.push(Envelope {
            from,
            to: Some(from),
            process,
            due,
            message,
        });
    }

    fn deliver_to_daemon(&mut self, to: usize, envelope: Envelope) {
        let from = envelope.from;
        let own = from == to;
        let daemon = &self.daemons[to];
        let stale = own && daemon.process != envelope.process;
        if daemon.dead_since.is_some() || stale || !(own || self.network.is_connected(from, to)) {
            return;
        }
        if daemon.paused {
            let due = self.now + STEP;
            self.network.in_transit.push(Envelope { due, ..envelope });
            return;
        }
        self.receive(to, envelope);
    }

    fn receive(&mut self, to: usize, envelope: Envelope) {
        let now = self.now;
        let last_seen = self.daemons[to].last_seen.clone();
        let host = self.daemons[to].host.clone();
        let holdings = &mut self.daemons[to].holdings;
        match envelope.message {
            Message::ReadAnswer {
                spec,
                version,
                begun,
            } => {
                if now < begun + CALL_TIMEOUT {
                    holdings.record_read(spec, version, begun, now);
                }
            }
            Message::WriteAnswer { written, begun } => holdings.record_write(written, begun, now),
            Message::Promise {
                ref promise,
                asked_at,
            } => {
                let answer = holdings.handle_promise(promise, now);
                let message = Message::PromiseAnswer {
                    host,
                    answer,
                    asked_at,
                };
                self.reply(to, &envelope, message);
            }
            Message::Takeover { ref takeover } => {
                let holder_is_alive = last_seen
                    .get(&takeover.from)
                    .is_some_and(|at| now < *at + super::LIVENESS_TIMEOUT);
                let answer = holdings.handle_takeover(takeover, holder_is_alive, now);
                let takeover = takeover.clone();
                self.reply(
                    to,
                    &envelope,
                    Message::TakeoverAnswer {
                        host,
                        takeover,
                        answer,
                    },
                );
            }
            Message::PromiseAnswer {
                host,
                answer,
                asked_at,
            } => {
                holdings.extend_by_relay(&answer, asked_at);
                self.promised(to, host, answer, asked_at);
            }
            Message::TakeoverAnswer {
                host,
                takeover,
                answer,
            } => {
                holdings.record_agreement(&takeover, &host, &answer, now);
            }
            Message::Read { .. } | Message::Write { .. } => unreachable!("for the platform only"),
        }
    }

    /// Sends an answer to the requesting process, which receives it as a message of its own.
    fn reply(&mut self, answerer: usize, envelope: &Envelope, message: Message) {
        if !self.network.is_connected(answerer, envelope.from) {
            return;
        }
        let due = self.now + STEP * self.rng.random_range(0..8);
        let to = Some(envelope.from);
        let (from, process) = (envelope.from, envelope.process);
        self.network.send(Envelope {
            from,
            to,
            process,
            due,
            message,
        });
    }

    fn promised(&mut self, to: usize, host: name::Host, answer: Answer, asked_at: Instant) {
        let process = self.daemons[to].process;
        self.network
            .answers
            .push((to, process, asked_at, host, answer));
        self.network
            .answers
            .retain(|entry| self.now < entry.2 + 30 * CALL_TIMEOUT);
        let same = |entry: &&(usize, u64, Instant, name::Host, Answer)| {
            (entry.0, entry.1, entry.2) == (to, process, asked_at)
        };
        let answers = self.network.answers.iter().filter(same);
        let answers: Vec<_> = answers
            .map(|entry| (entry.3.clone(), entry.4.clone()))
            .collect();
        self.daemons[to]
            .holdings
            .extend_by_promises(&answers, asked_at);
    }
}
