//! Calls to the platform's object API and their responses.
//!
//! The API over HTTP:
//!
//! - `GET /objects/{name}` returns `{"version": n, "value": "..."}` or 404.
//! - `PUT /objects/{name}` with `If-Match: n` or `If-None-Match: *` returns the new version
//!   or 412.
//! - `GET /objects/{name}?after=n` waits until the version exceeds `n`, and returns 404 if it
//!   does not in time.
//! - `GET /objects?prefix=p` lists names.
//! - `DELETE /objects/{name}` removes an object.
//! - `GET /instances` lists live and leaving instances.

use serde::{Deserialize, Serialize};

/// The version of an object. Each change to any object gets a version greater than all
/// earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// An object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The version.
    pub version: Version,
    /// The content: text of at most 1 MB.
    pub value: String,
}

/// The precondition of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Expected {
    /// No object with that name exists.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Identifies a call, so that its response can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// The object's name.
        name: String,
    },
    /// Waits until the version of an object exceeds `after`, then reads it.
    Watch {
        /// The object's name.
        name: String,
        /// The version already known, or zero for none.
        after: Version,
    },
    /// Writes an object if the precondition holds.
    Update {
        /// The object's name.
        name: String,
        /// The precondition.
        expected: Expected,
        /// The new content.
        value: String,
    },
    /// Lists the names that begin with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Removes an object.
    Delete {
        /// The object's name.
        name: String,
    },
    /// Lists the live and leaving instances.
    Instances,
}

/// The platform's response to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The object, for a read or a watch.
    Found(Object),
    /// The object does not exist, or a watch ended without a change.
    Absent,
    /// The update or removal took effect and produced this version.
    Updated(Version),
    /// The precondition did not hold; nothing changed.
    Conflict,
    /// The names, for a list.
    Names(Vec<String>),
    /// The instances, for [`StoreCall::Instances`].
    Instances(Vec<InstanceStatus>),
    /// The call had no effect: no connection was made, or the platform refused the call.
    Unavailable,
    /// No valid response arrived; the call may or may not have taken effect.
    Lost,
}

/// An entry of the platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The name of a router instance or of an endpoint.
    pub name: String,
    /// The address, as `IP:port`.
    pub address: String,
    /// The data centre.
    pub data_centre: String,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}
