//! Simulation of at-most-once execution while entries are replaced.
//!
//! The oracle counts the executions of each ticket at the endpoint. It requires
//! at most one, none if any caller of the ticket was told `not_run`, and that
//! each caller gets only the answer to its own request.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use bulrushhoist_core::{
    Answer, Execution, Incarnation, Reason, Refusal, RequestDigest, Ticket, TicketDecision,
    TicketLimits, TicketOutcome, TicketSnapshot, TicketTable,
};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::sample::Index;

/// Number of entries.
const ENTRIES: usize = 3;
/// Number of outcomes that an entry keeps; small, so that runs reach the limit.
const MAX_OUTCOMES: usize = 4;

/// Result of an execution as the entry that started it sees it.
#[derive(Clone, Copy, Debug)]
pub enum RunOutcome {
    /// The request ran, and the answer arrived.
    Answered,
    /// The request ran, and the answer was lost.
    AnswerLost,
    /// The request was lost before it ran; the entry cannot tell this from a lost
    /// answer.
    RequestLost,
    /// The request did not run, and the entry knows it.
    NotRun,
}

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum TicketAction {
    /// An entry issues a ticket to a caller.
    Issue(usize),
    /// A caller sends a request under a ticket to an entry; with `true`, it is a
    /// different request from the one that the ticket was first used for.
    Send(Index, usize, bool),
    /// A sent request arrives, in any order.
    Deliver(Index),
    /// An execution ends.
    Finish(Index, RunOutcome),
    /// An entry crashes and is replaced; with `true`, the requests it had sent
    /// still run.
    Crash(usize, bool),
    /// An entry shuts down cleanly and is replaced.
    Stop(usize),
}

/// Returns a strategy that draws the actions of one run.
pub fn ticket_actions() -> impl Strategy<Value = Vec<TicketAction>> {
    let index = || any::<Index>();
    let entry = || 0..ENTRIES;
    let outcome = prop_oneof![
        4 => proptest::prelude::Just(RunOutcome::Answered),
        1 => proptest::prelude::Just(RunOutcome::AnswerLost),
        1 => proptest::prelude::Just(RunOutcome::RequestLost),
        2 => proptest::prelude::Just(RunOutcome::NotRun),
    ];
    let action = prop_oneof![
        4 => entry().prop_map(TicketAction::Issue),
        8 => (index(), entry(), proptest::bool::weighted(0.1))
            .prop_map(|(t, e, other)| TicketAction::Send(t, e, other)),
        8 => index().prop_map(TicketAction::Deliver),
        6 => (index(), outcome).prop_map(|(r, o)| TicketAction::Finish(r, o)),
        1 => (entry(), any::<bool>()).prop_map(|(e, runs_late)| TicketAction::Crash(e, runs_late)),
        1 => entry().prop_map(TicketAction::Stop),
    ];
    vec(action, 1..200)
}

/// An entry process with the table of the tickets that it issued.
struct Entry {
    incarnation: Incarnation,
    table: TicketTable,
}

/// A caller's request on its way to an entry; `body` identifies the request.
#[derive(Clone, Copy)]
struct Message {
    ticket: usize,
    entry: usize,
    body: u64,
}

/// A request that an entry has sent to the endpoint.
struct Run {
    ticket: usize,
    incarnation: Incarnation,
    body: u64,
}

/// Simulated entries and endpoint, with the ledger of executions.
pub struct TicketSimulation {
    entries: Vec<Entry>,
    snapshots: HashMap<Incarnation, TicketSnapshot>,
    tickets: Vec<Ticket>,
    in_flight: Vec<Message>,
    runs: Vec<Run>,
    /// Number of executions of each ticket, by its index in `tickets`.
    executions: HashMap<usize, u32>,
    /// Indices of the tickets of which a caller was told `not_run`.
    told_not_run: HashSet<usize>,
    unknown_outcomes: u32,
    next_incarnation: u128,
}

impl Default for TicketSimulation {
    fn default() -> Self {
        Self::new()
    }
}

impl TicketSimulation {
    /// Creates a simulation of entries without tickets.
    #[must_use]
    pub fn new() -> Self {
        let mut simulation = Self {
            entries: Vec::new(),
            snapshots: HashMap::new(),
            tickets: Vec::new(),
            in_flight: Vec::new(),
            runs: Vec::new(),
            executions: HashMap::new(),
            told_not_run: HashSet::new(),
            unknown_outcomes: 0,
            next_incarnation: 1,
        };
        for index in 0..ENTRIES {
            let entry = simulation.new_entry(index);
            simulation.entries.push(entry);
        }
        simulation
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        // The shift keeps the request ids of consecutive incarnations distinct.
        let incarnation = Incarnation::from(self.next_incarnation << 64);
        self.next_incarnation += 1;
        let address =
            SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).unwrap_or(u16::MAX)));
        let limits = TicketLimits {
            max_outcomes: MAX_OUTCOMES,
            max_bytes: 1 << 16,
        };
        let key = [u8::try_from(index).unwrap_or(u8::MAX); 32];
        Entry {
            incarnation,
            table: TicketTable::new(address, incarnation, key, limits),
        }
    }

    /// Applies one action and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &TicketAction) -> Result<(), String> {
        match *action {
            TicketAction::Issue(entry) => {
                let ticket = self.entries[entry].table.issue();
                self.tickets.push(ticket);
            }
            TicketAction::Send(ticket, entry, other) => {
                if !self.tickets.is_empty() {
                    let ticket = ticket.index(self.tickets.len());
                    let body = ticket as u64 * 2 + u64::from(other);
                    self.in_flight.push(Message {
                        ticket,
                        entry,
                        body,
                    });
                }
            }
            TicketAction::Deliver(pick) => {
                if !self.in_flight.is_empty() {
                    let message = self.in_flight.swap_remove(pick.index(self.in_flight.len()));
                    self.deliver(message)?;
                }
            }
            TicketAction::Finish(pick, outcome) => {
                if !self.runs.is_empty() {
                    let run = self.runs.swap_remove(pick.index(self.runs.len()));
                    self.finish(&run, outcome)?;
                }
            }
            TicketAction::Crash(index, runs_late) => self.crash(index, runs_late)?,
            TicketAction::Stop(index) => self.stop(index)?,
        }
        Ok(())
    }

    /// Presents a request to the ticket's owner, or to the snapshot that the owner
    /// stored when it shut down.
    fn deliver(&mut self, message: Message) -> Result<(), String> {
        let ticket = self.tickets[message.ticket].clone();
        let digest = digest(message.body);
        let owner = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == ticket.incarnation);
        let decision = match owner {
            Some(owner) => owner.table.present(&ticket, digest),
            None => TicketDecision::Refused(match self.snapshots.get(&ticket.incarnation) {
                Some(snapshot) => snapshot.refusal(ticket.sequence),
                None => Refusal::unknown(Reason::OwnerUnreachable),
            }),
        };
        // Any entry forwards the request to the ticket's owner, so the entry that
        // receives it makes no difference.
        let _ = message.entry;
        match decision {
            TicketDecision::Run => {
                let incarnation = ticket.incarnation;
                self.runs.push(Run {
                    ticket: message.ticket,
                    incarnation,
                    body: message.body,
                });
                Ok(())
            }
            TicketDecision::Wait => Ok(()),
            TicketDecision::Replay(answer) => {
                self.record_answer(message.ticket, message.body, &answer)
            }
            TicketDecision::Refused(refusal) => self.record_refusal(message.ticket, refusal),
        }
    }

    /// Ends a run and answers its caller, unless its entry has been replaced.
    fn finish(&mut self, run: &Run, run_outcome: RunOutcome) -> Result<(), String> {
        let outcome = match run_outcome {
            RunOutcome::Answered => {
                self.execute(run.ticket)?;
                TicketOutcome::Answered(answer(run.body))
            }
            RunOutcome::AnswerLost => {
                self.execute(run.ticket)?;
                TicketOutcome::Lost
            }
            RunOutcome::RequestLost => TicketOutcome::Lost,
            RunOutcome::NotRun => TicketOutcome::NotRun(Reason::NoReplica),
        };
        let sequence = self.tickets[run.ticket].sequence;
        let owner = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == run.incarnation);
        let Some(owner) = owner else { return Ok(()) };
        owner.table.finish(sequence, &outcome);
        match TicketDecision::from(outcome) {
            TicketDecision::Replay(answer) => self.record_answer(run.ticket, run.body, &answer),
            TicketDecision::Refused(refusal) => self.record_refusal(run.ticket, refusal),
            TicketDecision::Run | TicketDecision::Wait => Ok(()),
        }
    }

    fn crash(&mut self, index: usize, runs_late: bool) -> Result<(), String> {
        let replacement = self.new_entry(index);
        let old = std::mem::replace(&mut self.entries[index], replacement);
        // Requests that the old process had sent may still run.
        let (sent, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.incarnation == old.incarnation);
        self.runs = rest;
        if runs_late {
            for run in &sent {
                self.execute(run.ticket)?;
            }
        }
        Ok(())
    }

    /// Shuts an entry down: it takes its snapshot, finishes the running requests and
    /// then stores the snapshot.
    fn stop(&mut self, index: usize) -> Result<(), String> {
        let snapshot = self.entries[index].table.close();
        let incarnation = self.entries[index].incarnation;
        while let Some(run) = self.runs.iter().position(|r| r.incarnation == incarnation) {
            let run = self.runs.swap_remove(run);
            self.finish(&run, RunOutcome::Answered)?;
        }
        self.snapshots.insert(incarnation, snapshot);
        self.entries[index] = self.new_entry(index);
        Ok(())
    }

    /// Counts an execution of a ticket at the endpoint and checks the oracle.
    fn execute(&mut self, ticket: usize) -> Result<(), String> {
        let count = self.executions.entry(ticket).or_default();
        *count += 1;
        if *count > 1 {
            return Err(format!("ticket {ticket} was executed {count} times"));
        }
        if self.told_not_run.contains(&ticket) {
            return Err(format!(
                "ticket {ticket} was executed after its caller was told not_run"
            ));
        }
        Ok(())
    }

    /// Checks an answer that a caller got against the ledger.
    fn record_answer(&mut self, ticket: usize, body: u64, given: &Answer) -> Result<(), String> {
        if *given != answer(body) {
            return Err(format!(
                "the caller of ticket {ticket} got the answer to another request"
            ));
        }
        if self.executions.get(&ticket) != Some(&1) {
            return Err(format!(
                "ticket {ticket} was answered without being executed"
            ));
        }
        Ok(())
    }

    /// Records a refusal that a caller got and checks it against the ledger.
    fn record_refusal(&mut self, ticket: usize, refusal: Refusal) -> Result<(), String> {
        if refusal.execution == Execution::Unknown {
            self.unknown_outcomes += 1;
            return Ok(());
        }
        self.told_not_run.insert(ticket);
        if self.executions.contains_key(&ticket) {
            return Err(format!(
                "a caller of ticket {ticket} was told not_run after it was executed"
            ));
        }
        Ok(())
    }

    /// Returns how many callers were told that the outcome is unknown.
    #[must_use]
    pub fn unknown_outcomes(&self) -> u32 {
        self.unknown_outcomes
    }
}

fn digest(body: u64) -> RequestDigest {
    RequestDigest::of_request("POST", "/deposits", &body.to_be_bytes())
}

fn answer(body: u64) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: body.to_be_bytes().to_vec(),
    }
}
