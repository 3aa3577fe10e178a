//! The arrivals of a load: their times and requests depend only on the settings and the seed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::settings::LoadSettings;

/// Iterates over the arrivals of a load in the order of their times.
pub struct Arrivals {
    settings: LoadSettings,
    random: ChaCha8Rng,
    workspace_cumulative: Vec<f64>,
    class_cumulative: Vec<f64>,
    paused: BinaryHeap<Reverse<PausedChat>>,
    next_chat: u64,
    next_number: u64,
    at_us: u64,
}

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the arrival, from 0.
    pub number: u64,
    /// Scheduled time, in microseconds from the start of the load.
    pub at_us: u64,
    /// Index of the workspace; 0 has the largest share.
    pub workspace: usize,
    /// Index of the class in [`LoadSettings::classes`].
    pub class: usize,
    /// What is requested.
    pub work: Work,
}

/// What a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A turn of a chat.
    Chat {
        /// Number of the chat.
        chat: u64,
        /// Number of the turn, from 0.
        turn: u32,
        /// Whether the caller returns the warm value of an earlier answer, if it has one.
        sends_warm: bool,
    },
    /// An idempotent request to the plain service.
    Lookup,
    /// A non-idempotent request to the plain service.
    Order,
}

/// A chat that waits for its next turn. The order is that of the due times.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PausedChat {
    due_us: u64,
    chat: u64,
    turn: u32,
    workspace: usize,
}

impl Arrivals {
    /// Returns the arrivals for these settings and their seed.
    pub fn new(settings: &LoadSettings) -> Self {
        let weights =
            (1..=settings.workspaces).map(|rank| (rank as f64).powf(-settings.zipf_exponent));
        Self {
            settings: settings.clone(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            workspace_cumulative: cumulative_shares(weights),
            class_cumulative: cumulative_shares(settings.classes.iter().map(|class| class.share)),
            paused: BinaryHeap::new(),
            next_chat: 0,
            next_number: 0,
            at_us: 0,
        }
    }

    fn draw_exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.random.random();
        (-(1.0 - uniform).ln() * mean_us) as u64
    }

    fn draw_chat(&mut self, workspace: usize) -> (usize, Work) {
        let resumes = self.random.random_bool(self.settings.returning_share);
        let due = self
            .paused
            .peek()
            .is_some_and(|Reverse(chat)| chat.due_us <= self.at_us);
        let (chat, turn, workspace) = match self.paused.pop() {
            Some(Reverse(paused)) if resumes && due => (paused.chat, paused.turn, paused.workspace),
            other => {
                self.paused.extend(other);
                self.next_chat += 1;
                (self.next_chat, 0, workspace)
            }
        };
        let pause_us = self.draw_exponential_us(self.settings.pause_mean_ms * 1_000.0);
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

    fn draw_work(&mut self, workspace: usize) -> (usize, Work) {
        if !self.random.random_bool(self.settings.service_share) {
            return self.draw_chat(workspace);
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
        let gap_us = self.draw_exponential_us(1e6 / self.settings.requests_per_s);
        self.at_us += gap_us;
        let is_past_end = self.at_us as f64 > self.settings.duration_s * 1e6;
        let is_at_limit =
            self.settings.max_requests > 0 && self.next_number >= self.settings.max_requests;
        if is_past_end || is_at_limit {
            return None;
        }
        let uniform = self.random.random();
        let workspace = sample_index(&self.workspace_cumulative, uniform);
        let uniform = self.random.random();
        let class = sample_index(&self.class_cumulative, uniform);
        let (workspace, work) = self.draw_work(workspace);
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

/// Returns the cumulative shares of the weights; the last one is 1.
fn cumulative_shares<Weights>(weights: Weights) -> Vec<f64>
where
    Weights: Iterator<Item = f64>,
{
    let mut sum = 0.0;
    let sums: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    sums.into_iter().map(|partial| partial / sum).collect()
}

/// Returns the index of the share that contains a number drawn uniformly from 0 to 1.
fn sample_index(cumulative: &[f64], uniform: f64) -> usize {
    cumulative
        .partition_point(|share| *share <= uniform)
        .min(cumulative.len() - 1)
}
