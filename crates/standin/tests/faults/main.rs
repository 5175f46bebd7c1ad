//! Focused tests of failures, on daemons and stand-ins in one process.

mod endpoints;
mod platform;
mod world;
