//! Names, identifiers and counters.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{AsRef, Display, Error, From};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;

/// Error of a name that is empty, too long or has a character that is not
/// allowed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "`{found}` is not a name: 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-`, `.` and `_`, \
     first a letter or digit"
)]
pub struct InvalidName {
    found: String,
}

fn check_name(text: &str) -> Result<(), InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
    let starts_alphanumeric = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    if starts_alphanumeric && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    let found = text.chars().take(MAX_NAME_BYTES).collect();
    Err(InvalidName { found })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Serialize,
            Deserialize,
        )]
        #[as_ref(str)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// Name of a model or of a plain service.
    WorkloadName
);
name_type!(
    /// Name of one version of a workload.
    VersionName
);
name_type!(
    /// Name of a team, the unit to which shares and limits apply.
    TeamName
);
name_type!(
    /// Name of a data centre.
    DataCentreName
);
name_type!(
    /// Name of a region, which contains data centres.
    RegionName
);
name_type!(
    /// Name of a fabric domain, whose VMs share a fast network.
    DomainName
);
name_type!(
    /// Name of an endpoint VM, which is never reused.
    VmName
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $display:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Serialize, Deserialize,
        )]
        #[display($display, _0)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a raw number.
            #[must_use]
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// Returns the raw number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }
    };
}

number_type!(
    /// Identity of a daemon process, drawn at random when it starts.
    MemberId, u64, "{:016x}"
);
number_type!(
    /// Number of accepted writes of a shared object, which only grows.
    Revision, u64, "{}"
);
number_type!(
    /// Fencing token of orders to endpoints: orders with a lower token than an
    /// endpoint has already seen are outdated.
    FencingToken, u64, "{}"
);
number_type!(
    /// Hash of a request's workload, path and body, which identifies repeats of
    /// the request.
    Fingerprint, u64, "{:016x}"
);

impl FencingToken {
    /// Returns the token after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Revision {
    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

macro_rules! wide_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize,
            Deserialize,
        )]
        #[display("{:032x}", _0)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl $name {
            /// Returns the raw number.
            #[must_use]
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

wide_id!(
    /// Random 128-bit number that identifies one run of a daemon.
    Incarnation
);
wide_id!(
    /// Identity of a request for endpoints and callers.
    RequestId
);

/// Hashes byte strings to 64 bits, with the same result on every machine and in
/// every version.
///
/// Daemons of different versions must agree on the ranks that follow from it.
#[must_use]
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    u64::from_be_bytes(
        digest[..8]
            .try_into()
            .expect("a SHA-256 digest has 32 bytes"),
    )
}
