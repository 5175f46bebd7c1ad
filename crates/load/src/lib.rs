//! Open-loop load and experiment tool.
//!
//! Requests arrive at a given rate whether or not earlier ones were answered, as
//! they do in production, so that a slow system does not slow its load down. Only
//! a complete and correct answer in time counts as a success.

mod caller;
mod compare;
mod decisions;
mod entries;
mod experiment;
mod leader_cost;
mod options;
mod report;
mod sampler;
mod schedule;

pub use compare::{CompareOptions, Comparison, Latency, compare};
pub use decisions::{DecisionCost, measure_decisions};
pub use experiment::run;
pub use leader_cost::{LeaderCost, measure_leader_choice};
pub use options::{Command, RunOptions, parse};
pub use report::Report;
