//! Stand-ins in separate processes.
//!
//! A separate test binary, because a child process holds copies of its parent's listeners between
//! fork and exec, which would disturb tests that run concurrently in the same binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use curranttrestle::protocol::endpoint::StreamRequest;
use curranttrestle::state::{CustomerId, PoolId};
use curranttrestle::transport::endpoint::{
    AttemptError, EndpointClient, EndpointClientOptions, NotRunReason, Result,
};
use curranttrestle_standins::engine::{EngineFault, EngineTruth, expected_response};
use curranttrestle_standins::remote;

const PROMPT: &str = "As a process.";

/// Sends a request to an engine and reads the complete response.
async fn run(address: SocketAddr) -> Result<String> {
    let request = StreamRequest {
        attempt: String::from("router-1.1.1"),
        request: String::from("request-1"),
        customer: CustomerId::new("roofers"),
        operation: String::from("draft"),
        pool: PoolId::new("model"),
        prompt: PROMPT.to_owned(),
        max_tokens: 10,
        expected_cost: None,
    };
    let client = EndpointClient::new(EndpointClientOptions::default());
    let mut stream = client.start_stream(address, &request).await?;
    let mut text = String::new();
    while let Some(chunk) = stream.next().await? {
        text.push_str(&chunk.text);
    }
    Ok(text)
}

/// The process of a stand-in, killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_curranttrestle-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = |key: &str| {
            let field = line.split_whitespace().find_map(|field| {
                let (name, value) = field.split_once('=')?;
                (name == key).then_some(value)
            });
            field.unwrap().parse().unwrap()
        };
        Self {
            address: address("address"),
            admin: address("admin"),
            child,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn an_engine_process_serves_accepts_faults_and_reports_ground_truth() {
    let engine = Process::start(&["engine", "--name", "engine-7", "--slots", "2"]);
    smol::block_on(async {
        let text = run(engine.address).await.unwrap();
        assert_eq!(text, expected_response(PROMPT, 10));
        let fault = EngineFault::RefuseNext { count: 1 };
        remote::inject(engine.admin, &fault).await.unwrap();
        let refused = run(engine.address).await;
        let reason = NotRunReason::Refused;
        assert_eq!(refused, Err(AttemptError::NotRun { reason }));
        let truth: EngineTruth = remote::truth(engine.admin).await.unwrap();
        assert_eq!((truth.admitted, truth.refused), (1, 1));
        let malformed = remote::inject(engine.admin, &"no such fault").await;
        assert!(malformed.is_err());
    });
}

#[test]
fn each_kind_of_stand_in_starts() {
    for kind in ["platform", "engine", "service"] {
        let process = Process::start(&[kind]);
        assert_ne!(process.address.port(), 0);
        assert_ne!(process.admin, process.address);
    }
}
