//! The aggregation tree of each data centre, which carries the service counters.

use crate::coordination::rendezvous::ranked;
use crate::state::{DataCentreId, Incarnation, InstanceId, Member, MemberView};

/// A router and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
}

impl Peer {
    fn from_member(member: &Member) -> Self {
        Self {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
        }
    }
}

/// The position of one router in the trees.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Topology {
    /// The root of the data centre.
    pub(super) root: Option<Peer>,
    /// The next router on the path to the root; `None` for the root.
    pub(super) parent: Option<Peer>,
    pub(super) children: Vec<Peer>,
    /// The roots of all other data centres. Empty unless this router is a root.
    pub(super) remote_roots: Vec<Peer>,
    /// Number of links to the root.
    pub(super) depth: usize,
    /// Number of live routers in the data centre.
    pub(super) size: usize,
}

impl Topology {
    /// Builds the tree by rendezvous order: the member with rank 0 is the root, and the
    /// member with rank `i` reports to the one with rank `(i - 1) / fan_in`.
    ///
    /// The rendezvous weight of a member does not depend on the view, and a parent always
    /// has a higher weight than its children. So links can't form a cycle, even while
    /// routers have different views of the membership.
    pub(super) fn from_view(view: &MemberView, fan_in: usize) -> Self {
        let fan_in = fan_in.max(1);
        let local_data_centre = &view.local.data_centre;
        let ranked_members = ranked_members(view, local_data_centre);
        let rank = ranked_members
            .iter()
            .position(|member| member.instance == view.local.instance)
            .unwrap_or(0);
        let parent = rank
            .checked_sub(1)
            .map(|index| Peer::from_member(ranked_members[index / fan_in]));
        let children = ranked_members
            .iter()
            .skip(rank * fan_in + 1)
            .take(fan_in)
            .map(|member| Peer::from_member(member))
            .collect();
        let remote_roots = match parent {
            Some(_) => Vec::new(),
            None => remote_roots(view),
        };
        Self {
            root: ranked_members.first().map(|root| Peer::from_member(root)),
            parent,
            children,
            remote_roots,
            depth: depth_of(rank, fan_in),
            size: ranked_members.len(),
        }
    }
}

/// Returns the number of links from the member with this rank to the root.
pub(super) fn depth_of(rank: usize, fan_in: usize) -> usize {
    let mut depth = 0;
    let mut ancestor = rank;
    while ancestor > 0 {
        ancestor = (ancestor - 1) / fan_in;
        depth += 1;
    }
    depth
}

fn ranked_members<'a>(view: &'a MemberView, data_centre: &'a DataCentreId) -> Vec<&'a Member> {
    let key = format!("service-tree/{data_centre}");
    ranked(&key, view.in_data_centre(data_centre))
}

fn remote_roots(view: &MemberView) -> Vec<Peer> {
    let mut data_centres: Vec<&DataCentreId> = Vec::new();
    for member in &view.live {
        let is_remote = member.data_centre != view.local.data_centre;
        if is_remote && !data_centres.contains(&&member.data_centre) {
            data_centres.push(&member.data_centre);
        }
    }
    data_centres
        .into_iter()
        .filter_map(|data_centre| {
            ranked_members(view, data_centre)
                .first()
                .map(|root| Peer::from_member(root))
        })
        .collect()
}
