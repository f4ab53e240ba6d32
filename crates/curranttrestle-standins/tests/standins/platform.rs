//! The platform stand-in and its client.

use std::net::SocketAddr;

use curranttrestle::protocol::platform::{
    Expected, InstanceStatus, Object, StoreAnswer, StoreCall, Version,
};
use curranttrestle::transport::platform::{PlatformClient, PlatformClientOptions};
use curranttrestle_standins::platform::{PlatformOptions, start};

fn client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(PlatformClientOptions {
        address,
        timeout_ms: 500,
        ..PlatformClientOptions::default()
    })
}

fn update(name: &str, expected: Expected, value: &str) -> StoreCall {
    StoreCall::Update {
        name: name.to_owned(),
        expected,
        value: value.to_owned(),
    }
}

fn read(name: &str) -> StoreCall {
    StoreCall::Read {
        name: name.to_owned(),
    }
}

fn found(version: u64, value: &str) -> StoreAnswer {
    StoreAnswer::Found(Object {
        version: Version(version),
        value: value.to_owned(),
    })
}

#[test]
fn updates_take_effect_only_as_expected() {
    let platform = start(PlatformOptions::default()).unwrap();
    let client = client(platform.address());
    let name = "claims/17 a?b%c";
    smol::block_on(async {
        assert_eq!(client.call(&read(name)).await, StoreAnswer::Absent);
        let created = client.call(&update(name, Expected::Absent, "one")).await;
        assert_eq!(created, StoreAnswer::Updated(Version(1)));
        let again = client.call(&update(name, Expected::Absent, "two")).await;
        assert_eq!(again, StoreAnswer::Conflict);
        let changed = update(name, Expected::Version(Version(1)), "three");
        assert_eq!(
            client.call(&changed).await,
            StoreAnswer::Updated(Version(2))
        );
        assert_eq!(client.call(&changed).await, StoreAnswer::Conflict);
        assert_eq!(client.call(&read(name)).await, found(2, "three"));
        let prefix = String::from("claims/");
        let names = client.call(&StoreCall::List { prefix }).await;
        assert_eq!(names, StoreAnswer::Names(vec![name.to_owned()]));
        let name = name.to_owned();
        let removed = client.call(&StoreCall::Delete { name: name.clone() }).await;
        assert_eq!(removed, StoreAnswer::Updated(Version(3)));
        let removed = client.call(&StoreCall::Delete { name }).await;
        assert_eq!(removed, StoreAnswer::Absent);
    });
    assert_eq!(platform.truth().effects, 3);
}

#[test]
fn a_watch_answers_when_the_object_changes() {
    let platform = start(PlatformOptions::default()).unwrap();
    let client = client(platform.address());
    let watch = |after| StoreCall::Watch {
        name: String::from("sheet"),
        after: Version(after),
    };
    smol::block_on(async {
        let first = watch(0);
        let write = update("sheet", Expected::Absent, "one");
        let (seen, _) = smol::future::zip(client.call(&first), client.call(&write)).await;
        assert_eq!(seen, found(1, "one"));
        assert_eq!(client.call(&first).await, seen, "old news come at once");
    });
    assert_eq!(platform.truth().total.watches, 2);
}

#[test]
fn the_list_of_instances_lags() {
    let platform = start(PlatformOptions {
        instance_lag_ms: 300,
        ..PlatformOptions::default()
    })
    .unwrap();
    let status = InstanceStatus {
        name: String::from("engine-1"),
        address: String::from("127.0.0.1:1"),
        data_centre: String::from("rennes"),
        leaving: false,
    };
    platform.stand_in().put_instance(status.clone());
    let client = client(platform.address());
    smol::block_on(async {
        let call = StoreCall::Instances;
        assert_eq!(client.call(&call).await, StoreAnswer::Instances(vec![]));
        smol::Timer::after(std::time::Duration::from_millis(400)).await;
        assert_eq!(
            client.call(&call).await,
            StoreAnswer::Instances(vec![status])
        );
    });
}
