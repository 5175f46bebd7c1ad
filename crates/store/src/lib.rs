//! Client of the platform's object API and VM list.
//!
//! [`PlatformApi`] is the interface to the platform, with one implementation
//! per dialect. [`Store`] adds what is common to all dialects: typed objects,
//! conditional updates that resolve a lost answer by reading the object back,
//! and revisions that only grow.

mod api;
mod http;
mod store;

pub use api::{Cursor, Expected, Listing, PlatformApi, PlatformError, RawObject, Version};
pub use http::HttpPlatform;
pub use store::{Store, StoreError, Stored};
