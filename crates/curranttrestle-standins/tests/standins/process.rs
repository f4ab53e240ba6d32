//! Stand-ins as processes of their own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use curranttrestle::transport::endpoint::{AttemptError, NotRunReason};
use curranttrestle_standins::engine::{EngineFault, EngineTruth, expected_answer};
use curranttrestle_standins::remote;

use crate::common::{request, run};

/// A stand-in's process, ended when dropped.
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
fn an_engine_process_serves_fails_on_command_and_tells_the_truth() {
    let engine = Process::start(&["engine", "--name", "engine-7", "--slots", "2"]);
    smol::block_on(async {
        let first = request(1, "As a process.", 10);
        let text = run(engine.address, &first).await.unwrap();
        assert_eq!(text, expected_answer(&first.prompt, 10));
        let fault = EngineFault::RefuseNext { count: 1 };
        remote::inject(engine.admin, &fault).await.unwrap();
        let refused = run(engine.address, &request(2, "Refused.", 10)).await;
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
