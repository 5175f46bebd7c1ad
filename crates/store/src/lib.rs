//! Client for the platform: object API and VM list.
//!
//! [`PlatformApi`] is the edge: one implementation per dialect. [`Store`] adds
//! what every dialect needs: typed objects, conditional updates that settle a
//! lost answer by reading back, and revisions that only grow.

mod api;
mod http;
mod store;

pub use api::{Cursor, Expected, Listing, PlatformApi, PlatformError, RawObject, Version};
pub use http::HttpPlatform;
pub use store::{Store, StoreError, Stored};
