//! Simulated engines that work in passes over all running requests. In each pass, each request gets some
//! tokens, and prompts that arrived in between are read.

use std::time::Duration;

use decide::load_balancing::Candidate;

pub const SLOTS: u32 = 16;
/// Tokens that a request gets in a pass.
const PASS_TOKENS: u64 = 6;
/// Seconds of a pass that reads no prompt.
const PASS_SECONDS: f64 = 0.043;
pub const PROMPT_RATE: f64 = 30_600.0;
pub const PROMPT_TOKENS: u64 = 960;
pub const ANSWER_TOKENS: u64 = 120;

/// Request at an engine.
#[derive(Debug)]
pub struct Running<R> {
    request: R,
    read: bool,
    tokens: u64,
}

/// Engine with its running requests.
#[derive(Debug)]
pub struct Engine<R> {
    running: Vec<Running<R>>,
    pass_ends: Duration,
}

impl<R> Engine<R> {
    pub fn new() -> Engine<R> {
        Engine {
            running: Vec::new(),
            pass_ends: Duration::ZERO,
        }
    }

    pub fn candidate(&self) -> Candidate {
        let unread = self.running.iter().filter(|r| !r.read).count() as u64;
        Candidate {
            slots: SLOTS,
            requests: self.running.len() as u32,
            unread: unread * PROMPT_TOKENS,
            own_unread: 0,
            is_far: false,
            leaves_in: None,
        }
    }

    pub fn start(&mut self, request: R) {
        self.running.push(Running {
            request,
            read: false,
            tokens: 0,
        });
    }

    /// Completes a pass: requests that were read get tokens, and those with all of their tokens complete.
    /// `on_first` is called with each request that got its first token.
    pub fn step(&mut self, now: Duration, mut on_first: impl FnMut(&R)) {
        if now < self.pass_ends {
            return;
        }
        for running in self.running.iter_mut().filter(|r| r.read) {
            if running.tokens == 0 {
                on_first(&running.request);
            }
            running.tokens += PASS_TOKENS;
        }
        self.running.retain(|r| r.tokens < ANSWER_TOKENS);
        let unread = self.running.iter_mut().filter(|r| !r.read);
        let reads = unread.map(|r| r.read = true).count();
        let reading = reads as f64 * PROMPT_TOKENS as f64 / PROMPT_RATE;
        self.pass_ends = now + Duration::from_secs_f64(PASS_SECONDS + reading);
    }
}
