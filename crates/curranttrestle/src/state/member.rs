//! The members of the fleet, as one router sees them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{DataCentreId, Incarnation, InstanceId};

/// One router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance name of the router.
    pub instance: InstanceId,
    /// The incarnation of the router.
    pub incarnation: Incarnation,
    /// The data centre of the router.
    pub data_centre: DataCentreId,
    /// The address on which it accepts connections from other routers.
    pub address: SocketAddr,
}

/// One router's view of the live routers, including itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The router that holds this view.
    pub local: Member,
    /// All live routers, including this one, sorted by instance. Leaving routers are not live.
    pub live: Vec<Member>,
}

impl MemberView {
    /// Returns the live routers in one data centre, sorted by instance.
    pub fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a Member> {
        self.live
            .iter()
            .filter(move |member| member.data_centre == *data_centre)
    }
}
