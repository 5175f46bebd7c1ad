//! The ticket book with those who wait for outcomes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bulrushhoist_core::{
    Incarnation, RequestDigest, Ticket, TicketDecision, TicketLimits, TicketOutcome,
    TicketSnapshot, TicketTable,
};
use rand::RngExt as _;
use tokio::sync::watch;

/// Tickets that one call may ask for.
pub(crate) const BLOCK_MAX: usize = 1_000;

type Ending = watch::Receiver<Option<TicketOutcome>>;

struct Inner {
    book: TicketTable,
    running: HashMap<u64, watch::Sender<Option<TicketOutcome>>>,
}

/// The tickets of this daemon.
pub(crate) struct Tickets {
    inner: Mutex<Inner>,
}

/// What to do with a presented ticket.
pub(crate) enum Admission {
    /// Run the request, then call [`Tickets::finish`].
    Run,
    /// Nothing is to be run: this is or will be the outcome.
    Outcome(TicketDecision),
}

impl Tickets {
    pub(crate) fn new(owner: std::net::SocketAddr, incarnation: Incarnation) -> Arc<Self> {
        let key = rand::rng().random();
        let book = TicketTable::new(owner, incarnation, key, TicketLimits::default());
        Arc::new(Self {
            inner: Mutex::new(Inner {
                book,
                running: HashMap::new(),
            }),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    pub(crate) fn issue(&self, count: usize) -> Vec<Ticket> {
        let mut inner = self.inner();
        (0..count.min(BLOCK_MAX))
            .map(|_| inner.book.issue())
            .collect()
    }

    /// Presents a ticket; waits if its request is running.
    pub(crate) async fn present(&self, ticket: &Ticket, digest: RequestDigest) -> Admission {
        let (presented, ending) = self.present_now(ticket, digest);
        match (presented, ending) {
            (TicketDecision::Run, _) => Admission::Run,
            (TicketDecision::Wait, Some(ending)) => Admission::Outcome(wait(ending).await),
            (other, _) => Admission::Outcome(other),
        }
    }

    fn present_now(
        &self,
        ticket: &Ticket,
        digest: RequestDigest,
    ) -> (TicketDecision, Option<Ending>) {
        let mut inner = self.inner();
        let presented = inner.book.present(ticket, digest);
        if presented == TicketDecision::Run {
            inner
                .running
                .insert(ticket.sequence, watch::Sender::new(None));
        }
        let ending = inner
            .running
            .get(&ticket.sequence)
            .map(watch::Sender::subscribe);
        (presented, ending)
    }

    /// Returns the outcome of a running request once it has one.
    pub(crate) async fn outcome(&self, sequence: u64) -> Option<TicketDecision> {
        let ending = self
            .inner()
            .running
            .get(&sequence)
            .map(watch::Sender::subscribe)?;
        Some(wait(ending).await)
    }

    pub(crate) fn finish(&self, sequence: u64, outcome: TicketOutcome) {
        let mut inner = self.inner();
        inner.book.finish(sequence, &outcome);
        if let Some(sender) = inner.running.remove(&sequence) {
            sender.send_replace(Some(outcome));
        }
    }

    pub(crate) fn seal(&self) -> TicketSnapshot {
        self.inner().book.close()
    }

    /// Returns the requests that are running under tickets.
    pub(crate) fn running(&self) -> usize {
        self.inner().running.len()
    }
}

async fn wait(mut ending: Ending) -> TicketDecision {
    match ending.wait_for(Option::is_some).await {
        Ok(outcome) => outcome.clone().unwrap_or(TicketOutcome::Lost).into(),
        Err(_) => TicketOutcome::Lost.into(),
    }
}
