//! Reads the metrics of a router.

use std::net::SocketAddr;

use indexmap::IndexMap;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::load::exchange;

/// The metrics of one router, keyed by name and by the value of the first label. Other labels are
/// ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    values: IndexMap<(String, String), f64>,
}

impl Metrics {
    /// Parses the Prometheus text format. Skips lines that can't be parsed.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Self {
            values: lines.filter_map(parse_line).collect(),
        }
    }

    /// The value of a metric, or zero if it is missing. `label` is empty for a metric without one.
    pub fn value(&self, name: &str, label: &str) -> f64 {
        let key = (name.to_owned(), label.to_owned());
        self.values.get(&key).copied().unwrap_or_default()
    }

    /// The label values of a metric.
    pub fn label_values(&self, name: &str) -> Vec<&str> {
        let keys = self.values.keys().filter(|(metric, _)| metric == name);
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

/// Reads the metrics from the operators' listener of a router. Returns empty metrics if the request
/// fails.
pub fn read_metrics(operators_address: SocketAddr, token: &str) -> Metrics {
    let url = format!("http://{operators_address}/metrics");
    let conn = Client::new(ClientConfig::default())
        .get(url.as_str())
        .with_request_header("Authorization", format!("Bearer {token}"));
    let (_, text) = smol::block_on(exchange(conn));
    Metrics::parse(&text)
}
