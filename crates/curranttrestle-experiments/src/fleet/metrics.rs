//! The metrics that a router shows.

use std::net::SocketAddr;

use indexmap::IndexMap;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::load::exchange;

/// The values of one router's metrics, by name and by the value of their label.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    values: IndexMap<(String, String), f64>,
}

impl Metrics {
    /// Reads the text format; lines that are not understood are left out.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Self {
            values: lines.filter_map(parse_line).collect(),
        }
    }

    /// One value; zero when there is none. The label is empty for a metric without one.
    pub fn value(&self, name: &str, label: &str) -> f64 {
        let key = (name.to_owned(), label.to_owned());
        self.values.get(&key).copied().unwrap_or_default()
    }

    /// The labels of a metric.
    pub fn labels(&self, name: &str) -> Vec<&str> {
        let keys = self.values.keys().filter(|(own, _)| own == name);
        keys.map(|(_, label)| label.as_str()).collect()
    }
}

fn parse_line(line: &str) -> Option<((String, String), f64)> {
    let (name, value) = line.rsplit_once(' ')?;
    let value = value.parse().ok()?;
    let (name, labels) = name.split_once('{').unwrap_or((name, ""));
    let label = labels.split('"').nth(1).unwrap_or_default();
    Some(((name.to_owned(), label.to_owned()), value))
}

/// Reads the metrics at an operators' listener; none when they can't be had.
pub fn read_metrics(operators: SocketAddr, token: &str) -> Metrics {
    let url = format!("http://{operators}/metrics");
    let conn = Client::new(ClientConfig::default())
        .get(url.as_str())
        .with_request_header("Authorization", format!("Bearer {token}"));
    let (_, text) = smol::block_on(exchange(conn));
    Metrics::parse(&text)
}
