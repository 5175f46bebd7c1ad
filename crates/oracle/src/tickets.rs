//! At most once: callers, entries that are replaced, and an endpoint.
//!
//! The oracle is the endpoint's own count of executions per ticket: never more
//! than one; none, ever, for a ticket of which any caller was told `not_run`;
//! and a caller that got an answer got that of its own request.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use bulrushhoist_core::{
    Answer, Execution, Incarnation, Reason, Refusal, RequestDigest, Ticket, TicketDecision,
    TicketLimits, TicketOutcome, TicketSnapshot, TicketTable,
};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::sample::Index;

/// Entries in the world.
const ENTRIES: usize = 3;
/// Outcomes that an entry keeps: few, so that the bound is met.
const KEPT: usize = 4;

/// How a run at the endpoint ends for the entry that started it.
#[derive(Clone, Copy, Debug)]
pub enum RunEnd {
    /// It ran, and the answer arrived.
    Answered,
    /// It ran, and the answer was lost.
    LostAfter,
    /// It did not run, but the entry cannot know.
    LostBefore,
    /// It did not run, and the entry knows.
    NotRun,
}

/// One step of the world.
#[derive(Clone, Debug)]
pub enum TicketAction {
    /// An entry issues a ticket to a caller.
    Issue(usize),
    /// A caller sends a ticket's request to an entry; with `true`, another
    /// request under the same ticket.
    Send(Index, usize, bool),
    /// A sent request arrives; the order is any.
    Arrive(Index),
    /// A run ends.
    End(Index, RunEnd),
    /// An entry is replaced without notice. Its runs may still take effect.
    Kill(usize, bool),
    /// An entry stops as planned and is replaced.
    Stop(usize),
}

/// Draws a run of the world.
pub fn ticket_actions() -> impl Strategy<Value = Vec<TicketAction>> {
    let index = || any::<Index>();
    let entry = || 0..ENTRIES;
    let end = prop_oneof![
        4 => proptest::prelude::Just(RunEnd::Answered),
        1 => proptest::prelude::Just(RunEnd::LostAfter),
        1 => proptest::prelude::Just(RunEnd::LostBefore),
        2 => proptest::prelude::Just(RunEnd::NotRun),
    ];
    let action = prop_oneof![
        4 => entry().prop_map(TicketAction::Issue),
        8 => (index(), entry(), proptest::bool::weighted(0.1))
            .prop_map(|(t, e, other)| TicketAction::Send(t, e, other)),
        8 => index().prop_map(TicketAction::Arrive),
        6 => (index(), end).prop_map(|(r, e)| TicketAction::End(r, e)),
        1 => (entry(), any::<bool>()).prop_map(|(e, late)| TicketAction::Kill(e, late)),
        1 => entry().prop_map(TicketAction::Stop),
    ];
    vec(action, 1..200)
}

struct Entry {
    incarnation: Incarnation,
    book: TicketTable,
}

#[derive(Clone, Copy)]
struct Message {
    ticket: usize,
    entry: usize,
    body: u64,
}

struct Run {
    ticket: usize,
    incarnation: Incarnation,
    body: u64,
}

/// The world and its ledger.
pub struct TicketWorld {
    entries: Vec<Entry>,
    seals: HashMap<Incarnation, TicketSnapshot>,
    tickets: Vec<Ticket>,
    network: Vec<Message>,
    runs: Vec<Run>,
    executions: HashMap<usize, u32>,
    told_not_run: HashSet<usize>,
    unknown: u32,
    next_incarnation: u128,
}

impl Default for TicketWorld {
    fn default() -> Self {
        Self::new()
    }
}

impl TicketWorld {
    /// A world of fresh entries.
    #[must_use]
    pub fn new() -> Self {
        let mut world = Self {
            entries: Vec::new(),
            seals: HashMap::new(),
            tickets: Vec::new(),
            network: Vec::new(),
            runs: Vec::new(),
            executions: HashMap::new(),
            told_not_run: HashSet::new(),
            unknown: 0,
            next_incarnation: 1,
        };
        for at in 0..ENTRIES {
            let entry = world.fresh_entry(at);
            world.entries.push(entry);
        }
        world
    }

    fn fresh_entry(&mut self, at: usize) -> Entry {
        // Neighbouring incarnations must not share request identities.
        let incarnation = Incarnation::from(self.next_incarnation << 64);
        self.next_incarnation += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(at + 1).unwrap_or(u16::MAX)));
        let limits = TicketLimits {
            max_outcomes: KEPT,
            max_bytes: 1 << 16,
        };
        let key = [u8::try_from(at).unwrap_or(u8::MAX); 32];
        Entry {
            incarnation,
            book: TicketTable::new(address, incarnation, key, limits),
        }
    }

    /// Takes one step and checks the oracle; an error describes the violation.
    pub fn step(&mut self, action: &TicketAction) -> Result<(), String> {
        match *action {
            TicketAction::Issue(entry) => {
                let ticket = self.entries[entry].book.issue();
                self.tickets.push(ticket);
            }
            TicketAction::Send(ticket, entry, other) => {
                if !self.tickets.is_empty() {
                    let ticket = ticket.index(self.tickets.len());
                    let body = ticket as u64 * 2 + u64::from(other);
                    self.network.push(Message {
                        ticket,
                        entry,
                        body,
                    });
                }
            }
            TicketAction::Arrive(at) => {
                if !self.network.is_empty() {
                    let message = self.network.swap_remove(at.index(self.network.len()));
                    self.arrive(message)?;
                }
            }
            TicketAction::End(at, end) => {
                if !self.runs.is_empty() {
                    let run = self.runs.swap_remove(at.index(self.runs.len()));
                    self.end(&run, end)?;
                }
            }
            TicketAction::Kill(at, late) => self.kill(at, late)?,
            TicketAction::Stop(at) => self.stop(at)?,
        }
        Ok(())
    }

    /// An entry takes a request: its own tickets go to its book, others to
    /// their owner, or to the owner's seal if the owner has gone.
    fn arrive(&mut self, message: Message) -> Result<(), String> {
        let ticket = self.tickets[message.ticket].clone();
        let digest = digest(message.body);
        let owner = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == ticket.incarnation);
        let presented = match owner {
            Some(owner) => owner.book.present(&ticket, digest),
            None => TicketDecision::Refused(match self.seals.get(&ticket.incarnation) {
                Some(seal) => seal.refusal(ticket.sequence),
                None => Refusal::unknown(Reason::OwnerUnreachable),
            }),
        };
        let _ = message.entry;
        match presented {
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
                self.told_answer(message.ticket, message.body, &answer)
            }
            TicketDecision::Refused(refusal) => self.told_refusal(message.ticket, refusal),
        }
    }

    fn end(&mut self, run: &Run, end: RunEnd) -> Result<(), String> {
        let outcome = match end {
            RunEnd::Answered => {
                self.execute(run.ticket)?;
                TicketOutcome::Answered(answer(run.body))
            }
            RunEnd::LostAfter => {
                self.execute(run.ticket)?;
                TicketOutcome::Lost
            }
            RunEnd::LostBefore => TicketOutcome::Lost,
            RunEnd::NotRun => TicketOutcome::NotRun(Reason::NoReplica),
        };
        let sequence = self.tickets[run.ticket].sequence;
        let owner = self
            .entries
            .iter_mut()
            .find(|e| e.incarnation == run.incarnation);
        let Some(owner) = owner else { return Ok(()) };
        owner.book.finish(sequence, &outcome);
        match TicketDecision::from(outcome) {
            TicketDecision::Replay(answer) => self.told_answer(run.ticket, run.body, &answer),
            TicketDecision::Refused(refusal) => self.told_refusal(run.ticket, refusal),
            TicketDecision::Run | TicketDecision::Wait => Ok(()),
        }
    }

    fn kill(&mut self, at: usize, late: bool) -> Result<(), String> {
        let fresh = self.fresh_entry(at);
        let old = std::mem::replace(&mut self.entries[at], fresh);
        // What the old process had sent may still take effect.
        let (sent, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.incarnation == old.incarnation);
        self.runs = rest;
        if late {
            for run in &sent {
                self.execute(run.ticket)?;
            }
        }
        Ok(())
    }

    /// A planned stop seals first and finishes what runs after.
    fn stop(&mut self, at: usize) -> Result<(), String> {
        let seal = self.entries[at].book.close();
        let incarnation = self.entries[at].incarnation;
        while let Some(run) = self.runs.iter().position(|r| r.incarnation == incarnation) {
            let run = self.runs.swap_remove(run);
            self.end(&run, RunEnd::Answered)?;
        }
        self.seals.insert(incarnation, seal);
        self.entries[at] = self.fresh_entry(at);
        Ok(())
    }

    fn execute(&mut self, ticket: usize) -> Result<(), String> {
        let count = self.executions.entry(ticket).or_default();
        *count += 1;
        if *count > 1 {
            return Err(format!("ticket {ticket} ran {count} times"));
        }
        if self.told_not_run.contains(&ticket) {
            return Err(format!(
                "ticket {ticket} ran after its caller was told not_run"
            ));
        }
        Ok(())
    }

    fn told_answer(&mut self, ticket: usize, body: u64, given: &Answer) -> Result<(), String> {
        if *given != answer(body) {
            return Err(format!("ticket {ticket} got the answer of another request"));
        }
        if self.executions.get(&ticket) != Some(&1) {
            return Err(format!("ticket {ticket} has an answer without a run"));
        }
        Ok(())
    }

    fn told_refusal(&mut self, ticket: usize, refusal: Refusal) -> Result<(), String> {
        if refusal.execution == Execution::Unknown {
            self.unknown += 1;
            return Ok(());
        }
        self.told_not_run.insert(ticket);
        if self.executions.contains_key(&ticket) {
            return Err(format!(
                "a caller was told not_run of ticket {ticket}, which ran"
            ));
        }
        Ok(())
    }

    /// Returns how often a caller was told that the outcome is unknown.
    #[must_use]
    pub fn unknown(&self) -> u32 {
        self.unknown
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
