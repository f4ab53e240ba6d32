//! A router that receives the first update of another router in its data centre pings it at once,
//! so that the other knows its address.

use curranttrestle::coordination::membership::{Membership, MembershipEffect, MembershipOptions};
use curranttrestle::protocol::peer::{MemberStatus, MemberUpdate, PeerMessage};
use curranttrestle::state::{Incarnation, Member, Now};

fn member(instance: &str, data_centre: &str, port: u16) -> Member {
    Member {
        instance: instance.into(),
        incarnation: Incarnation(1),
        data_centre: data_centre.into(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn alive_update(member: &Member) -> MemberUpdate {
    MemberUpdate {
        member: member.clone(),
        revision: 0,
        status: MemberStatus::Alive,
    }
}

/// Returns the ports of the routers that `me` pings after an ack from the first of `others`
/// carries updates of all of them.
fn pinged_ports(me: &Member, others: &[&Member]) -> Vec<u16> {
    let mut membership = Membership::new(me.clone(), Vec::new(), MembershipOptions::default());
    let ack = curranttrestle::protocol::peer::Ack {
        sequence: 77,
        subject: others[0].instance.clone(),
        updates: others.iter().map(|member| alive_update(member)).collect(),
    };
    membership
        .receive_ack(&ack, Now::default())
        .into_iter()
        .filter_map(|effect| match effect {
            MembershipEffect::Send {
                address,
                message: PeerMessage::Ping(ping),
            } => {
                assert_eq!(ping.updates[0].member, *me);
                Some(address.port())
            }
            _ => None,
        })
        .collect()
}

#[test]
fn only_new_members_of_the_same_data_centre_are_pinged_at_once() {
    let me = member("vannes-1", "vannes", 1);
    let local = member("vannes-0", "vannes", 2);
    let remote = member("brest-0", "brest", 3);
    assert_eq!(pinged_ports(&me, &[&remote, &local]), [2]);
}
