//! Tests sheet and mark submissions against routers in this process and a platform stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle::state::settings::{Fleet, Instance, Listen, Operators, Platform};
use curranttrestle::state::settings::{Secret, Settings};
use curranttrestle::state::sheet::KeyDigest;
use curranttrestle::transport::http_client::fresh_connections;
use curranttrestle_standins::platform::{self, PlatformFault, PlatformHandle, PlatformOptions};
use curranttrestled::Daemon;
use serde_json::{Value, json};
use trillium_client::Status;

const TOKEN: &str = "operator-token";
const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// The longest time a router may take to receive a sheet, generous for busy machines.
const DEADLINE: Duration = Duration::from_mins(1);

/// Starts a router with the default timeouts.
fn start_router(platform: &PlatformHandle, name: &str, seeds: Vec<SocketAddr>) -> Daemon {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Daemon::start(&Settings {
        instance: Instance {
            name: name.into(),
            data_centre: "rennes".into(),
        },
        listen: Listen {
            callers: any_port,
            operators: any_port,
            peers: any_port,
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

/// Sends a POST request to the operators' listener. Returns the status and the body.
fn post(router: &Daemon, path: &str, id: Option<&str>, body: String) -> (u16, String) {
    let url = format!("http://{}{path}", router.operators());
    smol::block_on(async {
        let mut conn = fresh_connections(CONNECT_TIMEOUT_MS)
            .post(url.as_str())
            .with_request_header("Authorization", format!("Bearer {TOKEN}"))
            .with_body(body);
        if let Some(id) = id {
            conn = conn.with_request_header("Attempt-Id", id.to_owned());
        }
        let mut conn = conn.await.unwrap();
        let status = conn.status().map_or(0, |status: Status| status as u16);
        let body = conn.response_body().read_string().await.unwrap();
        (status, body)
    })
}

fn sheet_number(response: &(u16, String)) -> u64 {
    assert_eq!(response.0, 200, "{response:?}");
    let body: Value = response.1.parse().unwrap();
    body["number"].as_u64().unwrap()
}

fn stop_all(platform: PlatformHandle, routers: Vec<Daemon>) {
    for router in &routers {
        router.stop();
    }
    for router in routers {
        router.join();
    }
    platform.stop();
}

#[test]
fn a_retried_submission_returns_the_same_sheet_number() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    let first = start_router(&platform, "rennes-1", Vec::new());
    let second = start_router(&platform, "rennes-2", vec![first.peers()]);
    let id = Some("0199c3f2-5f5e-7e41-a1b2-5a4f8f0c9d11");
    let accepted = sheet_number(&post(&first, "/v1/sheets", id, sheet()));
    assert_eq!(
        sheet_number(&post(&second, "/v1/sheets", id, sheet())),
        accepted
    );
    assert_eq!(
        sheet_number(&post(&first, "/v1/sheets", id, sheet())),
        accepted
    );
    let later = sheet_number(&post(&second, "/v1/sheets", None, sheet()));
    assert!(later > accepted);
    // A retry reports the sheet that has replaced this one, and changes nothing.
    let retry = post(&first, "/v1/sheets", id, sheet());
    assert_eq!(sheet_number(&retry), accepted);
    let retry: Value = retry.1.parse().unwrap();
    assert_eq!(retry["replaced_by"]["number"], later);
    let (status, _) = post(&first, "/v1/sheets", Some("no-uuid"), sheet());
    assert_eq!(status, 400);
    stop_all(platform, vec![first, second]);
}

#[test]
fn operator_changes_succeed_while_the_store_is_slow() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    let router = start_router(&platform, "rennes-1", Vec::new());
    let first = sheet_number(&post(&router, "/v1/sheets", None, sheet()));
    let mark = json!({ "endpoint": "m1", "mark": "leaving" }).to_string();
    let start = Instant::now();
    // The endpoint is unknown to the router until the sheet is in force there.
    while post(&router, "/v1/marks", None, mark.clone()).0 == 404 {
        assert!(start.elapsed() < DEADLINE);
        std::thread::sleep(Duration::from_millis(50));
    }
    platform.inject(PlatformFault::Slow { delay_ms: 1_500 });
    let second = sheet_number(&post(&router, "/v1/sheets", None, sheet()));
    assert_eq!(second, first + 1);
    let mark = json!({ "endpoint": "m1", "mark": "stop" }).to_string();
    let (status, body) = post(&router, "/v1/marks", None, mark);
    assert_eq!(status, 200, "{body}");
    platform.inject(PlatformFault::Heal);
    stop_all(platform, vec![router]);
}

#[test]
fn a_router_started_while_the_store_is_slow_receives_the_sheet() {
    let platform = platform::start(PlatformOptions::default()).unwrap();
    platform.inject(PlatformFault::Slow { delay_ms: 1_500 });
    let router = start_router(&platform, "rennes-1", Vec::new());
    sheet_number(&post(&router, "/v1/sheets", None, sheet()));
    let mark = json!({ "endpoint": "m1", "mark": "leaving" }).to_string();
    let start = Instant::now();
    while post(&router, "/v1/marks", None, mark.clone()).0 == 404 {
        assert!(start.elapsed() < DEADLINE);
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("slow_store_in_force_ms={}", start.elapsed().as_millis());
    platform.inject(PlatformFault::Heal);
    stop_all(platform, vec![router]);
}
