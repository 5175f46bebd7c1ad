//! The ticket book against a reference machine that knows nothing of limits,
//! MACs or seals: only unused, running, answered, lost and not run.

use std::collections::BTreeMap;

use bulrushhoist_core::{
    Answer, Incarnation, Reason, Refusal, RequestDigest, Ticket, TicketDecision, TicketLimits,
    TicketOutcome, TicketTable,
};
use bulrushhoist_oracle::fuzz_config;
use proptest::prelude::{BoxedStrategy, Just, Strategy, prop_oneof};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SEED: u64 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spec {
    Unused,
    Running,
    Answered,
    Lost,
    NotRun,
}

#[derive(Clone, Debug)]
enum Transition {
    Issue,
    Present(u64),
    Finish(u64, Spec),
}

#[derive(Clone, Debug, Default)]
struct Reference {
    tickets: BTreeMap<u64, Spec>,
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        if state.tickets.is_empty() {
            return Just(Transition::Issue).boxed();
        }
        let any_ticket = 0..state.tickets.len() as u64;
        let end = prop_oneof![Just(Spec::Answered), Just(Spec::Lost), Just(Spec::NotRun)];
        prop_oneof![
            1 => Just(Transition::Issue),
            3 => any_ticket.clone().prop_map(Transition::Present),
            2 => (any_ticket, end).prop_map(|(t, e)| Transition::Finish(t, e)),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Issue => true,
            Transition::Present(t) => state.tickets.contains_key(t),
            Transition::Finish(t, _) => state.tickets.get(t) == Some(&Spec::Running),
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Issue => {
                let next = state.tickets.len() as u64;
                state.tickets.insert(next, Spec::Unused);
            }
            Transition::Present(t) => {
                if state.tickets[t] == Spec::Unused {
                    state.tickets.insert(*t, Spec::Running);
                }
            }
            Transition::Finish(t, end) => {
                state.tickets.insert(*t, *end);
            }
        }
        state
    }
}

struct Book {
    book: TicketTable,
    tickets: Vec<Ticket>,
    before: BTreeMap<u64, Spec>,
}

fn answer(ticket: u64) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: ticket.to_be_bytes().to_vec(),
    }
}

fn expected(spec: Spec, ticket: u64) -> TicketDecision {
    match spec {
        Spec::Unused => TicketDecision::Run,
        Spec::Running => TicketDecision::Wait,
        Spec::Answered => TicketDecision::Replay(answer(ticket)),
        Spec::Lost => TicketDecision::Refused(Refusal::unknown(Reason::EndpointFailed)),
        Spec::NotRun => TicketDecision::Refused(Refusal::not_run(Reason::NoReplica)),
    }
}

impl StateMachineTest for Book {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Self {
        let address = "127.0.0.1:1".parse().expect("a sound address");
        let incarnation = Incarnation::from(1_u128 << 64);
        let book = TicketTable::new(address, incarnation, [7; 32], TicketLimits::default());
        Self {
            book,
            tickets: Vec::new(),
            before: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, reference: &Reference, transition: Transition) -> Self {
        match transition {
            Transition::Issue => state.tickets.push(state.book.issue()),
            Transition::Present(t) => {
                let ticket = &state.tickets[usize::try_from(t).expect("few tickets")];
                let digest = RequestDigest::of_request("POST", "/deposits", &t.to_be_bytes());
                let presented = state.book.present(ticket, digest);
                assert_eq!(presented, expected(state.before[&t], t));
            }
            Transition::Finish(t, end) => {
                let outcome = match end {
                    Spec::Answered => TicketOutcome::Answered(answer(t)),
                    Spec::NotRun => TicketOutcome::NotRun(Reason::NoReplica),
                    _ => TicketOutcome::Lost,
                };
                state.book.finish(t, &outcome);
            }
        }
        state.before.clone_from(&reference.tickets);
        state
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(SEED))]
    #[test]
    fn the_book_does_what_the_reference_does(sequential 1..80 => Book);
}
