//! The tree of each data centre that service figures travel on.

use crate::coordination::rendezvous::ranked;
use crate::state::{DataCentreId, Incarnation, InstanceId, Member, MemberView};

/// A router and its run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
}

impl Peer {
    fn of(member: &Member) -> Self {
        Self {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
        }
    }
}

/// The place of one router in the trees.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Topology {
    /// The root of the data centre.
    pub(super) root: Option<Peer>,
    /// None for the root.
    pub(super) parent: Option<Peer>,
    pub(super) children: Vec<Peer>,
    /// The roots of all other data centres; only a root sends to them.
    pub(super) remote_roots: Vec<Peer>,
    /// The number of links to the root.
    pub(super) depth: usize,
    /// How many routers the data centre has.
    pub(super) size: usize,
}

impl Topology {
    /// Places the members of a data centre by rendezvous order: the first is the root, and
    /// the member at place `i` reports to the one at place `(i - 1) / fan_in`.
    ///
    /// The rendezvous weight of a member does not depend on the view, and a parent always
    /// weighs more than its children, so that links can't form a cycle even while the
    /// routers see different members.
    pub(super) fn of(view: &MemberView, fan_in: usize) -> Self {
        let fan_in = fan_in.max(1);
        let home = &view.me.data_centre;
        let order = order(view, home);
        let place = order
            .iter()
            .position(|member| member.instance == view.me.instance)
            .unwrap_or(0);
        let parent = place
            .checked_sub(1)
            .map(|below| Peer::of(order[below / fan_in]));
        let children = order
            .iter()
            .skip(place * fan_in + 1)
            .take(fan_in)
            .map(|member| Peer::of(member))
            .collect();
        let remote_roots = match parent {
            Some(_) => Vec::new(),
            None => remote_roots(view),
        };
        Self {
            root: order.first().map(|root| Peer::of(root)),
            parent,
            children,
            remote_roots,
            depth: depth_of(place, fan_in),
            size: order.len(),
        }
    }
}

/// The number of links from a place to the root.
pub(super) fn depth_of(place: usize, fan_in: usize) -> usize {
    let mut depth = 0;
    let mut above = place;
    while above > 0 {
        above = (above - 1) / fan_in;
        depth += 1;
    }
    depth
}

fn order<'a>(view: &'a MemberView, data_centre: &'a DataCentreId) -> Vec<&'a Member> {
    let key = format!("service-tree/{data_centre}");
    ranked(&key, view.in_data_centre(data_centre))
}

fn remote_roots(view: &MemberView) -> Vec<Peer> {
    let mut data_centres: Vec<&DataCentreId> = Vec::new();
    for member in &view.live {
        let is_remote = member.data_centre != view.me.data_centre;
        if is_remote && !data_centres.contains(&&member.data_centre) {
            data_centres.push(&member.data_centre);
        }
    }
    data_centres
        .into_iter()
        .filter_map(|data_centre| order(view, data_centre).first().map(|root| Peer::of(root)))
        .collect()
}
