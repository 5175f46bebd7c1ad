//! This daemon's ticket table, with the requests that wait for outcomes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bulrushhoist_core::{
    Incarnation, RequestDigest, Ticket, TicketDecision, TicketLimits, TicketOutcome,
    TicketSnapshot, TicketTable,
};
use rand::RngExt as _;
use tokio::sync::watch;

/// Maximum number of tickets that one call issues.
pub(crate) const MAX_TICKETS_PER_CALL: usize = 1_000;

/// Receives the outcome of a running request.
type OutcomeReceiver = watch::Receiver<Option<TicketOutcome>>;

/// The table and the senders of the outcomes of running requests, by ticket sequence.
struct State {
    table: TicketTable,
    running: HashMap<u64, watch::Sender<Option<TicketOutcome>>>,
}

/// The tickets that this daemon owns, shared between its tasks.
pub(crate) struct Tickets {
    state: Mutex<State>,
}

/// What to do with a presented ticket.
pub(crate) enum Admission {
    /// Run the request, then call [`Tickets::finish`].
    Run,
    /// Do not run the request; this is its outcome.
    Outcome(TicketDecision),
}

impl Tickets {
    pub(crate) fn new(owner: std::net::SocketAddr, incarnation: Incarnation) -> Arc<Self> {
        let key = rand::rng().random();
        let table = TicketTable::new(owner, incarnation, key, TicketLimits::default());
        Arc::new(Self {
            state: Mutex::new(State {
                table,
                running: HashMap::new(),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Issues new tickets, at most [`MAX_TICKETS_PER_CALL`].
    pub(crate) fn issue(&self, count: usize) -> Vec<Ticket> {
        let mut state = self.state();
        (0..count.min(MAX_TICKETS_PER_CALL))
            .map(|_| state.table.issue())
            .collect()
    }

    /// Presents a ticket with the digest of its request.
    ///
    /// It waits for the outcome if the request is already running, so a repeat that
    /// arrives meanwhile does not run it again.
    pub(crate) async fn present(&self, ticket: &Ticket, digest: RequestDigest) -> Admission {
        let (decision, receiver) = self.present_now(ticket, digest);
        match (decision, receiver) {
            (TicketDecision::Run, _) => Admission::Run,
            (TicketDecision::Wait, Some(receiver)) => {
                Admission::Outcome(wait_for_outcome(receiver).await)
            }
            (other, _) => Admission::Outcome(other),
        }
    }

    /// Presents a ticket without waiting; returns a receiver if its request is running.
    fn present_now(
        &self,
        ticket: &Ticket,
        digest: RequestDigest,
    ) -> (TicketDecision, Option<OutcomeReceiver>) {
        let mut state = self.state();
        let decision = state.table.present(ticket, digest);
        if decision == TicketDecision::Run {
            state
                .running
                .insert(ticket.sequence, watch::Sender::new(None));
        }
        let receiver = state
            .running
            .get(&ticket.sequence)
            .map(watch::Sender::subscribe);
        (decision, receiver)
    }

    /// Waits for the outcome of a request; returns `None` if it is not running.
    pub(crate) async fn outcome(&self, sequence: u64) -> Option<TicketDecision> {
        let receiver = self
            .state()
            .running
            .get(&sequence)
            .map(watch::Sender::subscribe)?;
        Some(wait_for_outcome(receiver).await)
    }

    /// Stores the outcome of a request and sends it to everyone who waits for it.
    pub(crate) fn finish(&self, sequence: u64, outcome: TicketOutcome) {
        let mut state = self.state();
        state.table.finish(sequence, &outcome);
        if let Some(sender) = state.running.remove(&sequence) {
            sender.send_replace(Some(outcome));
        }
    }

    /// Closes the table for new requests and returns its snapshot.
    pub(crate) fn close(&self) -> TicketSnapshot {
        self.state().table.close()
    }

    /// Returns the number of requests that are running under tickets.
    pub(crate) fn running(&self) -> usize {
        self.state().running.len()
    }
}

/// Waits for an outcome; it is lost if its sender is dropped.
async fn wait_for_outcome(mut receiver: OutcomeReceiver) -> TicketDecision {
    match receiver.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone().unwrap_or(TicketOutcome::Lost).into(),
        Err(_) => TicketOutcome::Lost.into(),
    }
}
