//! A router that learns of another one of its data centre makes itself known to it.

use curranttrestle::coordination::membership::{Membership, MembershipEffect, MembershipOptions};
use curranttrestle::protocol::peer::{MemberNews, MemberStatus, PeerMessage};
use curranttrestle::state::{Incarnation, Member, Now};

fn member(instance: &str, data_centre: &str, port: u16) -> Member {
    Member {
        instance: instance.into(),
        incarnation: Incarnation(1),
        data_centre: data_centre.into(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn alive(member: &Member) -> MemberNews {
    MemberNews {
        member: member.clone(),
        revision: 0,
        status: MemberStatus::Alive,
    }
}

/// The routers that `me` pings when it first hears of `others` from the first of them.
fn pinged(me: &Member, others: &[&Member]) -> Vec<u16> {
    let mut membership = Membership::new(me.clone(), Vec::new(), MembershipOptions::default());
    let ack = curranttrestle::protocol::peer::Ack {
        sequence: 77,
        subject: others[0].instance.clone(),
        news: others.iter().map(|member| alive(member)).collect(),
    };
    membership
        .receive_ack(&ack, Now::default())
        .into_iter()
        .filter_map(|effect| match effect {
            MembershipEffect::Send {
                address,
                message: PeerMessage::Ping(ping),
            } => {
                assert_eq!(ping.news[0].member, *me);
                Some(address.port())
            }
            _ => None,
        })
        .collect()
}

#[test]
fn the_members_of_the_own_data_centre_are_pinged_at_once() {
    let me = member("vannes-1", "vannes", 1);
    let near = member("vannes-0", "vannes", 2);
    let far = member("brest-0", "brest", 3);
    assert_eq!(pinged(&me, &[&far, &near]), [2]);
}
