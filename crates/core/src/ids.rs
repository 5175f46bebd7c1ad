//! Names and numbers that identify things.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{AsRef, Display, Error, From};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Longest name that is accepted, in bytes.
const NAME_MAX_BYTES: usize = 63;

/// A name was empty, too long or held a character that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "`{found}` is not a name: 1 to {NAME_MAX_BYTES} of a-z, 0-9, `-`, `.` and `_`, \
     first a letter or digit"
)]
pub struct InvalidName {
    found: String,
}

fn check_name(text: &str) -> Result<(), InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    if starts_well && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    let found = text.chars().take(NAME_MAX_BYTES).collect();
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
    /// Name of a team: the unit of shares and limits.
    TeamName
);
name_type!(
    /// Name of a data centre.
    DataCentreName
);
name_type!(
    /// Name of a region, which holds data centres.
    RegionName
);
name_type!(
    /// Name of a fabric domain: VMs with a fast network among them.
    DomainName
);
name_type!(
    /// Name of an endpoint VM, unique for ever.
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
    /// Identifies one daemon process, drawn at random when it starts.
    MemberId, u64, "{:016x}"
);
number_type!(
    /// Counts the accepted writes of one shared object; it only grows.
    Revision, u64, "{}"
);
number_type!(
    /// Orders the commands given to endpoints: a lower number is out of date.
    FencingToken, u64, "{}"
);
number_type!(
    /// Hash of a request's body, by which repeats of it are recognised.
    Fingerprint, u64, "{:016x}"
);

impl FencingToken {
    /// Returns the number after this one.
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
    /// Random 128-bit number that tells one run of a daemon from every other.
    Incarnation
);
wide_id!(
    /// Identifies one request towards endpoints and callers.
    RequestId
);

/// Hashes parts to 64 bits, the same on every machine and in every version.
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
