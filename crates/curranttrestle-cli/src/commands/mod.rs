//! The commands, one module each.

pub mod call;
pub mod endpoint;
pub mod experiment;
pub mod load;
pub mod sheet;
pub mod status;
pub mod timeline;
pub mod trial;

use serde::Serialize;

use crate::client::{OperatorClient, RouterStatus};
use crate::error::CliError;

/// At which routers a change is in force.
#[derive(Debug, Default, Serialize)]
struct Rollout {
    /// The instances where it is in force.
    in_force: Vec<String>,
    /// The instances where it is not in force yet.
    not_yet: Vec<String>,
    /// The operators' addresses that did not respond.
    no_answer: Vec<String>,
    /// Instances that other routers consider alive and that have not responded, usually because
    /// their operators' listeners were not given.
    not_asked: Vec<String>,
}

impl Rollout {
    fn of(
        clients: &[OperatorClient],
        statuses: &[Result<RouterStatus, CliError>],
        is_in_force: impl Fn(&RouterStatus) -> bool,
    ) -> Self {
        let mut rollout = Self::default();
        for (client, status) in clients.iter().zip(statuses) {
            match status {
                Ok(status) if is_in_force(status) => rollout.in_force.push(status.instance.clone()),
                Ok(status) => rollout.not_yet.push(status.instance.clone()),
                Err(_) => rollout.no_answer.push(client.address.to_string()),
            }
        }
        let known = statuses.iter().flatten().flat_map(|status| &status.members);
        for member in known.filter(|member| member.status == "alive") {
            let instance = &member.instance;
            let is_queried =
                rollout.in_force.contains(instance) || rollout.not_yet.contains(instance);
            if !is_queried && !rollout.not_asked.contains(instance) {
                rollout.not_asked.push(instance.clone());
            }
        }
        rollout
    }

    fn is_complete(&self) -> bool {
        self.not_yet.is_empty() && self.no_answer.is_empty()
    }

    /// Returns the lines of the report.
    fn lines(&self) -> Vec<String> {
        let groups = [
            ("in force at", &self.in_force),
            ("not yet at", &self.not_yet),
            ("no answer from", &self.no_answer),
            (
                "not asked, because no operators' listener was named",
                &self.not_asked,
            ),
        ];
        let non_empty = groups.iter().filter(|(_, names)| !names.is_empty());
        non_empty
            .map(|(title, names)| format!("{title}: {}", names.join(" ")))
            .collect()
    }
}
