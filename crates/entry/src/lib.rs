//! The network side of the process on an entry VM: callers, endpoints, peers and the
//! store.
//!
//! The decisions are made in `bulrushhoist-fleet` and `bulrushhoist-core`, which do no
//! I/O. A [`Dialect`] translates between the types of this project and one platform. The
//! process has one thread; see `docs/SYSTEM.md`.

mod attempt;
mod backlog;
mod body;
mod call;
mod clock;
mod connection;
mod control;
mod delivery;
mod demand;
mod dialect;
mod directory;
mod endpoint_contact;
mod events;
mod fitness;
mod forward;
mod groups;
mod history;
mod kept;
mod log_output;
mod logging;
mod metrics;
mod net;
mod node;
mod notices;
mod outcome;
mod peer_messages;
mod peers;
mod plain;
mod pool;
mod progress;
mod quarantine;
mod queues;
mod records;
mod relay;
mod routing;
mod run;
mod sends;
mod serve;
mod settings;
mod start;
mod state;
mod state_transfer;
mod store;
mod stream;
mod sync;
mod waiting;

pub use dialect::{
    Change, Changes, Consistency, DecodeError, Dialect, HeaderNames, LoadReport, LocalCall,
    ObjectKind, OddObjects, Page, StoredObject,
};
pub use run::{StartError, run};
pub use settings::{Bounds, Listen, ReadSettings, Settings, StoreSettings};
