//! Tests of single faults, with daemons and stand-ins in one process.

mod deployment;
mod endpoints;
mod platform;
