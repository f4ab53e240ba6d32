//! Operators' changes at a router in this process, with a platform stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle::state::settings::{Fleet, Instance, Listen, Operators, Platform};
use curranttrestle::state::settings::{Secret, Settings};
use curranttrestle::state::sheet::KeyDigest;
use curranttrestle::transport::http_client::unpooled_client;
use curranttrestle_standins::platform::{self, PlatformFault, PlatformHandle, PlatformOptions};
use curranttrestled::Daemon;
use serde_json::{Value, json};
use trillium_client::Status;

const TOKEN: &str = "operator-token";
const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// How long a router may take to see a sheet on a busy machine.
const DEADLINE: Duration = Duration::from_mins(1);

/// Starts a router with the usual timeouts.
fn start(platform: &PlatformHandle, name: &str, seeds: Vec<SocketAddr>) -> Daemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Daemon::start(&Settings {
        instance: Instance {
            name: name.into(),
            data_centre: "rennes".into(),
        },
        listen: Listen {
            callers: any,
            operators: any,
            peers: any,
        },
        platform: Platform {
            address: platform.address(),
            ..Platform::default()
        },
        fleet: Fleet {
            key: Secret::new("a fleet key of some length"),
            seeds,
            ..Fleet::default()
        },
        operators: Operators {
            token_digest: KeyDigest::of(TOKEN),
        },
        ..Settings::default()
    })
    .unwrap()
}

fn sheet() -> String {
    let digest = hex::encode(KeyDigest::of("key").0);
    format!(
        "customer,atelier,1,{digest},\noperation,answer,chat,yes,0,10\n\
         endpoint,m1,chat,model,rennes,127.0.0.1:9,8,yes,no\n"
    )
}

/// Sends a body to the operators' listener; returns the status and the answer.
fn post(router: &Daemon, path: &str, id: Option<&str>, body: String) -> (u16, String) {
    let url = format!("http://{}{path}", router.operators_addr());
    smol::block_on(async {
        let mut conn = unpooled_client(CONNECT_TIMEOUT_MS)
            .post(url.as_str())
            .with_request_header("Authorization", format!("Bearer {TOKEN}"))
            .with_body(body);
        if let Some(id) = id {
            conn = conn.with_request_header("Attempt-Id", id.to_owned());
        }
        let mut conn = conn.await.unwrap();
        let status = conn.status().map_or(0, |status: Status| status as u16);
        let answer = conn.response_body().read_string().await.unwrap();
        (status, answer)
    })
}

fn number(answer: &(u16, String)) -> u64 {
    assert_eq!(answer.0, 200, "{answer:?}");
    let answer: Value = answer.1.parse().unwrap();
    answer["number"].as_u64().unwrap()
}

fn stop(platform: PlatformHandle, routers: Vec<Daemon>) {
    for router in &routers {
        router.stop();
    }
    for router in routers {
        router.join();
    }
    platform.stop();
}

#[test]
fn a_repeat_with_the_same_id_is_answered_with_the_same_acceptance() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    let first = start(&platform, "rennes-1", Vec::new());
    let second = start(&platform, "rennes-2", vec![first.peers_addr()]);
    let id = Some("0199c3f2-5f5e-7e41-a1b2-5a4f8f0c9d11");
    let accepted = number(&post(&first, "/v1/sheets", id, sheet()));
    assert_eq!(number(&post(&second, "/v1/sheets", id, sheet())), accepted);
    assert_eq!(number(&post(&first, "/v1/sheets", id, sheet())), accepted);
    let later = number(&post(&second, "/v1/sheets", None, sheet()));
    assert!(later > accepted);
    // The repeat is told of the sheet that has replaced it, and changes nothing.
    let repeat = post(&first, "/v1/sheets", id, sheet());
    assert_eq!(number(&repeat), accepted);
    let repeat: Value = repeat.1.parse().unwrap();
    assert_eq!(repeat["replaced_by"]["number"], later);
    let (status, _) = post(&first, "/v1/sheets", Some("no-uuid"), sheet());
    assert_eq!(status, 400);
    stop(platform, vec![first, second]);
}

#[test]
fn a_slow_store_does_not_refuse_operators() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    let router = start(&platform, "rennes-1", Vec::new());
    let first = number(&post(&router, "/v1/sheets", None, sheet()));
    let mark = json!({ "endpoint": "m1", "mark": "leaving" }).to_string();
    let start = Instant::now();
    // Until the sheet is in force at the router, it knows no such endpoint.
    while post(&router, "/v1/marks", None, mark.clone()).0 == 404 {
        assert!(start.elapsed() < DEADLINE);
        std::thread::sleep(Duration::from_millis(50));
    }
    platform.inject(PlatformFault::Slow { delay_ms: 1_500 });
    let second = number(&post(&router, "/v1/sheets", None, sheet()));
    assert_eq!(second, first + 1);
    let mark = json!({ "endpoint": "m1", "mark": "stop" }).to_string();
    let (status, answer) = post(&router, "/v1/marks", None, mark);
    assert_eq!(status, 200, "{answer}");
    platform.inject(PlatformFault::Heal);
    stop(platform, vec![router]);
}

#[test]
fn a_router_that_starts_while_the_store_is_slow_gets_the_sheet() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    platform.inject(PlatformFault::Slow { delay_ms: 1_500 });
    let router = start(&platform, "rennes-1", Vec::new());
    number(&post(&router, "/v1/sheets", None, sheet()));
    let mark = json!({ "endpoint": "m1", "mark": "leaving" }).to_string();
    let start = Instant::now();
    while post(&router, "/v1/marks", None, mark.clone()).0 == 404 {
        assert!(start.elapsed() < DEADLINE);
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("slow_store_in_force_ms={}", start.elapsed().as_millis());
    platform.inject(PlatformFault::Heal);
    stop(platform, vec![router]);
}
