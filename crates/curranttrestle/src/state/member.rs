//! The members of the fleet, as one router sees them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{DataCentreId, Incarnation, InstanceId};

/// One router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it listens for other routers.
    pub address: SocketAddr,
}

/// The live routers as one router sees them, itself included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The router that sees.
    pub me: Member,
    /// All live routers, sorted by instance, itself included. Leaving ones are not live.
    pub live: Vec<Member>,
}

impl MemberView {
    /// The live routers of one data centre, sorted by instance.
    pub fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a Member> {
        self.live
            .iter()
            .filter(move |member| member.data_centre == *data_centre)
    }
}
