//! Compares the ticket table with a reference state machine that has only the
//! states of a ticket, without limits, MACs and snapshots.

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
enum TicketState {
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
    Finish(u64, TicketState),
}

#[derive(Clone, Debug, Default)]
struct ReferenceTable {
    tickets: BTreeMap<u64, TicketState>,
}

impl ReferenceStateMachine for ReferenceTable {
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
        let outcome = prop_oneof![
            Just(TicketState::Answered),
            Just(TicketState::Lost),
            Just(TicketState::NotRun)
        ];
        prop_oneof![
            1 => Just(Transition::Issue),
            3 => any_ticket.clone().prop_map(Transition::Present),
            2 => (any_ticket, outcome).prop_map(|(t, o)| Transition::Finish(t, o)),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Transition) -> bool {
        match transition {
            Transition::Issue => true,
            Transition::Present(t) => state.tickets.contains_key(t),
            Transition::Finish(t, _) => state.tickets.get(t) == Some(&TicketState::Running),
        }
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::Issue => {
                let next = state.tickets.len() as u64;
                state.tickets.insert(next, TicketState::Unused);
            }
            Transition::Present(t) => {
                if state.tickets[t] == TicketState::Unused {
                    state.tickets.insert(*t, TicketState::Running);
                }
            }
            Transition::Finish(t, outcome) => {
                state.tickets.insert(*t, *outcome);
            }
        }
        state
    }
}

struct TestedTable {
    table: TicketTable,
    tickets: Vec<Ticket>,
    /// Reference states before the next transition, which decide the expected result.
    states_before: BTreeMap<u64, TicketState>,
}

fn answer(ticket: u64) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: ticket.to_be_bytes().to_vec(),
    }
}

fn expected(state: TicketState, ticket: u64) -> TicketDecision {
    match state {
        TicketState::Unused => TicketDecision::Run,
        TicketState::Running => TicketDecision::Wait,
        TicketState::Answered => TicketDecision::Replay(answer(ticket)),
        TicketState::Lost => TicketDecision::Refused(Refusal::unknown(Reason::EndpointFailed)),
        TicketState::NotRun => TicketDecision::Refused(Refusal::not_run(Reason::NoReplica)),
    }
}

impl StateMachineTest for TestedTable {
    type SystemUnderTest = Self;
    type Reference = ReferenceTable;

    fn init_test(_: &ReferenceTable) -> Self {
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        let incarnation = Incarnation::from(1_u128 << 64);
        let table = TicketTable::new(address, incarnation, [7; 32], TicketLimits::default());
        Self {
            table,
            tickets: Vec::new(),
            states_before: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, reference: &ReferenceTable, transition: Transition) -> Self {
        match transition {
            Transition::Issue => state.tickets.push(state.table.issue()),
            Transition::Present(t) => {
                let ticket = &state.tickets[usize::try_from(t).expect("the ticket number fits")];
                let digest = RequestDigest::of_request("POST", "/deposits", &t.to_be_bytes());
                let decision = state.table.present(ticket, digest);
                assert_eq!(decision, expected(state.states_before[&t], t));
            }
            Transition::Finish(t, outcome) => {
                let outcome = match outcome {
                    TicketState::Answered => TicketOutcome::Answered(answer(t)),
                    TicketState::NotRun => TicketOutcome::NotRun(Reason::NoReplica),
                    _ => TicketOutcome::Lost,
                };
                state.table.finish(t, &outcome);
            }
        }
        state.states_before.clone_from(&reference.tickets);
        state
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(SEED))]
    #[test]
    fn the_ticket_table_agrees_with_the_reference_table(sequential 1..80 => TestedTable);
}
