//! The commands, each in a module of its own.

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

/// Where a change is in force and where not.
#[derive(Debug, Default, Serialize)]
struct Spread {
    /// The routers where it is in force.
    in_force: Vec<String>,
    /// The routers where it is not yet.
    not_yet: Vec<String>,
    /// The addresses that did not answer.
    no_answer: Vec<String>,
    /// Live routers that others know, whose operators' listener was not named.
    not_asked: Vec<String>,
}

impl Spread {
    fn of(
        clients: &[OperatorClient],
        statuses: &[Result<RouterStatus, CliError>],
        is_in_force: impl Fn(&RouterStatus) -> bool,
    ) -> Self {
        let mut spread = Self::default();
        for (client, status) in clients.iter().zip(statuses) {
            match status {
                Ok(status) if is_in_force(status) => spread.in_force.push(status.instance.clone()),
                Ok(status) => spread.not_yet.push(status.instance.clone()),
                Err(_) => spread.no_answer.push(client.address.to_string()),
            }
        }
        let known = statuses.iter().flatten().flat_map(|status| &status.members);
        for member in known.filter(|member| member.status == "alive") {
            let instance = &member.instance;
            let is_asked = spread.in_force.contains(instance) || spread.not_yet.contains(instance);
            if !is_asked && !spread.not_asked.contains(instance) {
                spread.not_asked.push(instance.clone());
            }
        }
        spread
    }

    fn is_complete(&self) -> bool {
        self.not_yet.is_empty() && self.no_answer.is_empty()
    }

    /// The lines of the report.
    fn lines(&self) -> Vec<String> {
        let parts = [
            ("in force at", &self.in_force),
            ("not yet at", &self.not_yet),
            ("no answer from", &self.no_answer),
            (
                "not asked, because no operators' listener was named",
                &self.not_asked,
            ),
        ];
        let named = parts.iter().filter(|(_, names)| !names.is_empty());
        named
            .map(|(title, names)| format!("{title}: {}", names.join(" ")))
            .collect()
    }
}
