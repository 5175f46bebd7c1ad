//! The shell of an entry VM: everything that touches a socket.
//!
//! The decisions are in `bulrushhoist-fleet` and `bulrushhoist-core`. A platform
//! is met through a [`Dialect`], which translates and decides nothing. The
//! process has one thread; see `docs/SYSTEM.md`.

mod attempt;
mod body;
mod call;
mod clock;
mod control;
mod dialect;
mod directory;
mod events;
mod groups;
mod link;
mod links;
mod logging;
mod metrics;
mod net;
mod node;
mod outcome;
mod peers;
mod plain;
mod relay;
mod run;
mod serve;
mod settings;
mod state;
mod store;
mod stream;
mod sync;

pub use dialect::{
    Change, Changes, DecodeError, Dialect, HeaderNames, ListAge, LoadFigures, ObjectKind, OwnCall,
    Page, StoredObject,
};
pub use logging::logger;
pub use run::{StartError, run};
pub use settings::{Bounds, Listen, Settings, StoreSettings};
