//! When requests come and what each is: a function of the settings and their seed alone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::settings::LoadSettings;

/// The arrivals of a load, in the order of their times.
pub struct Arrivals {
    settings: LoadSettings,
    random: ChaCha8Rng,
    workspace_edges: Vec<f64>,
    class_edges: Vec<f64>,
    paused: BinaryHeap<Reverse<PausedChat>>,
    next_chat: u64,
    next_number: u64,
    at_us: u64,
}

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Counts the arrivals from 0.
    pub number: u64,
    /// When it comes, from the start of the load.
    pub at_us: u64,
    /// The index of the workspace; 0 is the largest.
    pub workspace: usize,
    /// The index of the class.
    pub class: usize,
    /// What is asked.
    pub work: Work,
}

/// What a request asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A turn of a chat.
    Chat {
        /// The chat.
        chat: u64,
        /// The turn, from 0.
        turn: u32,
        /// Whether the caller sends the warm value back, if it has one.
        sends_warm: bool,
    },
    /// An idempotent call of the plain service.
    Lookup,
    /// A non-idempotent call of the plain service.
    Order,
}

/// A chat that will come back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PausedChat {
    due_us: u64,
    chat: u64,
    turn: u32,
    workspace: usize,
}

impl Arrivals {
    /// The arrivals that the settings and their seed give.
    pub fn new(settings: &LoadSettings) -> Self {
        let weights =
            (1..=settings.workspaces).map(|rank| (rank as f64).powf(-settings.zipf_exponent));
        Self {
            settings: settings.clone(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            workspace_edges: cumulate(weights),
            class_edges: cumulate(settings.classes.iter().map(|class| class.share)),
            paused: BinaryHeap::new(),
            next_chat: 0,
            next_number: 0,
            at_us: 0,
        }
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.random.random();
        (-(1.0 - uniform).ln() * mean_us) as u64
    }

    fn chat(&mut self, workspace: usize) -> (usize, Work) {
        let returns = self.random.random_bool(self.settings.returning_share);
        let due = self
            .paused
            .peek()
            .is_some_and(|Reverse(chat)| chat.due_us <= self.at_us);
        let (chat, turn, workspace) = match self.paused.pop() {
            Some(Reverse(paused)) if returns && due => (paused.chat, paused.turn, paused.workspace),
            other => {
                self.paused.extend(other);
                self.next_chat += 1;
                (self.next_chat, 0, workspace)
            }
        };
        let pause_us = self.exponential_us(self.settings.pause_mean_ms * 1_000.0);
        if turn + 1 < self.settings.max_turns {
            self.paused.push(Reverse(PausedChat {
                due_us: self.at_us + pause_us,
                chat,
                turn: turn + 1,
                workspace,
            }));
        }
        let sends_warm = self.random.random_bool(self.settings.warm_share);
        let work = Work::Chat {
            chat,
            turn,
            sends_warm,
        };
        (workspace, work)
    }

    fn work(&mut self, workspace: usize) -> (usize, Work) {
        if !self.random.random_bool(self.settings.service_share) {
            return self.chat(workspace);
        }
        if self.random.random_bool(self.settings.order_share) {
            return (workspace, Work::Order);
        }
        (workspace, Work::Lookup)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap_us = self.exponential_us(1e6 / self.settings.requests_per_s);
        self.at_us += gap_us;
        let over = self.at_us as f64 > self.settings.duration_s * 1e6;
        let enough =
            self.settings.max_requests > 0 && self.next_number >= self.settings.max_requests;
        if over || enough {
            return None;
        }
        let drawn = self.random.random();
        let workspace = pick(&self.workspace_edges, drawn);
        let drawn = self.random.random();
        let class = pick(&self.class_edges, drawn);
        let (workspace, work) = self.work(workspace);
        let number = self.next_number;
        self.next_number += 1;
        Some(Arrival {
            number,
            at_us: self.at_us,
            workspace,
            class,
            work,
        })
    }
}

/// The upper edges of the shares, from 0 to 1.
fn cumulate<Weights>(weights: Weights) -> Vec<f64>
where
    Weights: Iterator<Item = f64>,
{
    let mut sum = 0.0;
    let edges: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    edges.into_iter().map(|edge| edge / sum).collect()
}

fn pick(edges: &[f64], drawn: f64) -> usize {
    edges
        .partition_point(|edge| *edge <= drawn)
        .min(edges.len() - 1)
}
