//! Simulation of the quarantine of a request that crashes endpoints.
//!
//! The oracle bounds the damage: after its first crash the request may cost one
//! endpoint more than were running it at that time, however often and wherever
//! callers repeat it, as long as the daemons reach each other. If its caller
//! waits for each answer, that is two in total. An innocent request must not be
//! refused before it has two strikes.

use std::time::Duration;

use bulrushhoist_core::{Fingerprint, Quarantine, QuarantineDecision, QuarantineSettings, Time};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};

/// Number of daemons.
const DAEMONS: usize = 4;
/// Fingerprint of the request that crashes each endpoint that runs it.
const POISON: Fingerprint = Fingerprint::new(1);
/// Index of the daemon that owns both fingerprints.
const OWNER: usize = 0;
/// Fingerprint of a request that crashes nothing.
const INNOCENT: Fingerprint = Fingerprint::new(2);

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum QuarantineAction {
    /// The poison request arrives at a daemon.
    SendPoison(usize),
    /// An endpoint that runs the poison request crashes.
    Crash(usize),
    /// The innocent request arrives at a daemon; with `true`, it runs on the
    /// endpoint that crashes next.
    SendInnocent(usize, bool),
    /// Advances the clock by this many milliseconds.
    Advance(u64),
}

/// Returns a strategy that draws the actions of one run.
pub fn quarantine_actions() -> impl Strategy<Value = Vec<QuarantineAction>> {
    let daemon = || 0..DAEMONS;
    let action = prop_oneof![
        4 => daemon().prop_map(QuarantineAction::SendPoison),
        3 => (0..8_usize).prop_map(QuarantineAction::Crash),
        4 => (daemon(), any::<bool>()).prop_map(|(d, b)| QuarantineAction::SendInnocent(d, b)),
        2 => (1_u64..5_000).prop_map(QuarantineAction::Advance),
    ];
    vec(action, 1..60)
}

/// Simulated daemons, with the count of lost endpoints.
pub struct QuarantineSimulation {
    now: Time,
    daemons: Vec<Quarantine>,
    lost_endpoints: u64,
    /// Number of endpoints that may be lost, fixed at the first crash.
    max_lost: u64,
    /// Daemon of each running poison request.
    running_poison: Vec<usize>,
    /// Daemon of the innocent request that runs on the next crashing endpoint.
    endpoint_sharer: Option<usize>,
}

impl Default for QuarantineSimulation {
    fn default() -> Self {
        Self::new()
    }
}

impl QuarantineSimulation {
    /// Creates a simulation in which no request is suspected.
    #[must_use]
    pub fn new() -> Self {
        let new_quarantine = || Quarantine::new(QuarantineSettings::default());
        Self {
            now: Time::from_millis(1_000),
            daemons: (0..DAEMONS).map(|_| new_quarantine()).collect(),
            lost_endpoints: 0,
            max_lost: 0,
            running_poison: Vec::new(),
            endpoint_sharer: None,
        }
    }

    /// Applies one action and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &QuarantineAction) -> Result<(), String> {
        match *action {
            QuarantineAction::Advance(ms) => self.now = self.now + Duration::from_millis(ms),
            QuarantineAction::SendPoison(index) => self.send_poison(index),
            QuarantineAction::Crash(index) => self.crash(index),
            QuarantineAction::SendInnocent(index, shared) => self.send_innocent(index, shared)?,
        }
        if self.lost_endpoints > self.max_lost {
            return Err(format!(
                "{} endpoints were lost, but the limit is {}",
                self.lost_endpoints, self.max_lost
            ));
        }
        Ok(())
    }

    /// Asks a daemon for admission; a suspected request must also be admitted by
    /// the owner of its fingerprint.
    fn admit(&mut self, index: usize, fingerprint: Fingerprint) -> QuarantineDecision {
        let decision = self.daemons[index].admit(self.now, fingerprint);
        if decision != QuarantineDecision::Probation || index == OWNER {
            return decision;
        }
        let granted = self.daemons[OWNER].admit(self.now, fingerprint);
        if granted != QuarantineDecision::Probation {
            self.daemons[index].on_finished(fingerprint, false);
        }
        granted
    }

    fn finish(&mut self, index: usize, fingerprint: Fingerprint, answered: bool) {
        self.daemons[index].on_finished(fingerprint, answered);
        if index != OWNER {
            self.daemons[OWNER].on_finished(fingerprint, answered);
        }
    }

    fn send_poison(&mut self, index: usize) {
        let decision = self.admit(index, POISON);
        if matches!(
            decision,
            QuarantineDecision::Clear | QuarantineDecision::Probation
        ) {
            self.running_poison.push(index);
        }
    }

    /// Crashes an endpoint that runs the poison request.
    fn crash(&mut self, index: usize) {
        if self.running_poison.is_empty() {
            return;
        }
        if self.lost_endpoints == 0 {
            self.max_lost = self.running_poison.len() as u64 + 1;
        }
        let index = self
            .running_poison
            .swap_remove(index % self.running_poison.len());
        self.lost_endpoints += 1;
        self.record_loss(index, POISON);
        if let Some(daemon) = self.endpoint_sharer.take() {
            self.record_loss(daemon, INNOCENT);
        }
    }

    /// Ends a request whose endpoint crashed and sends the strike to every daemon.
    ///
    /// The strike arrives before the caller can repeat the request, because the
    /// daemon announces it before it answers the caller.
    fn record_loss(&mut self, index: usize, fingerprint: Fingerprint) {
        self.finish(index, fingerprint, false);
        for daemon in &mut self.daemons {
            daemon.strike(self.now, fingerprint, self.lost_endpoints);
        }
    }

    fn send_innocent(&mut self, index: usize, shared: bool) -> Result<(), String> {
        if self.endpoint_sharer.is_some() {
            return Ok(());
        }
        match self.admit(index, INNOCENT) {
            // A request with a strike runs alone, so it never shares an endpoint.
            QuarantineDecision::Clear if shared => self.endpoint_sharer = Some(index),
            QuarantineDecision::Clear | QuarantineDecision::Probation => {
                self.finish(index, INNOCENT, true);
            }
            QuarantineDecision::Busy => {}
            QuarantineDecision::Refused if self.daemons[index].strikes(INNOCENT) < 2 => {
                return Err("an innocent request with fewer than two strikes was refused".into());
            }
            QuarantineDecision::Refused => {}
        }
        Ok(())
    }
}
