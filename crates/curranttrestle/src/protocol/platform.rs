//! Calls to the platform's object API, as values.
//!
//! Over HTTP: `GET /objects/{name}` answers `{"version": n, "value": "..."}` or 404;
//! `PUT /objects/{name}` with `If-Match: n` or `If-None-Match: *` answers the new version
//! or 412; `GET /objects/{name}?after=n` waits until the version exceeds `n`;
//! `GET /objects?prefix=p` lists names; `DELETE /objects/{name}` removes one;
//! `GET /instances` lists live and leaving instances.

use serde::{Deserialize, Serialize};

/// The version of an object. Every change of any object gets a greater one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its content, text of at most a megabyte.
    pub value: String,
}

/// What a conditional update expects to replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Expected {
    /// No object of that name.
    Absent,
    /// The object at this version.
    Version(Version),
}

/// Names a call, so that its answer finds its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// One call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// The object's name.
        name: String,
    },
    /// Reads an object once its version exceeds `after`.
    Watch {
        /// The object's name.
        name: String,
        /// The version already known; zero for none.
        after: Version,
    },
    /// Writes an object if it is as expected.
    Update {
        /// The object's name.
        name: String,
        /// What it must be for the update to take effect.
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

/// The platform's answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The object, in answer to a read or a watch.
    Found(Object),
    /// There is no such object, or a watch ended without news.
    Absent,
    /// The update took effect and gave this version. Also the answer to a removal.
    Updated(Version),
    /// The object was not as expected; nothing changed.
    Conflict,
    /// The names, in answer to a list.
    Names(Vec<String>),
    /// The instances.
    Instances(Vec<InstanceStatus>),
    /// The call surely had no effect: the connection was refused, or the platform said so.
    Unavailable,
    /// No answer came; the call may or may not have taken effect.
    Lost,
}

/// One line of the platform's lagging list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The name of a router instance or of an endpoint.
    pub name: String,
    /// Its address, `IP:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}
