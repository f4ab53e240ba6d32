//! What was measured.

use std::time::Duration;

use curranttrestle::protocol::Outcome;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::error::CliError;
use crate::output;

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// The significant digits of times.
const DIGITS: u8 = 3;

const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];

/// How one call ended.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The index of its customer.
    pub customer: usize,
    /// What is known of it; none when no connection was made.
    pub outcome: Option<Outcome>,
    /// Why there is no answer.
    pub reason: String,
    /// From the moment it was due to the first byte of the answer.
    pub first: Option<Duration>,
    /// From the moment it was due to its end.
    pub whole: Duration,
}

/// The calls of one customer.
struct CustomerReport {
    name: String,
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    not_connected: u64,
    first_us: Histogram<u64>,
    whole_us: Histogram<u64>,
}

/// All calls.
pub struct LoadReport {
    customers: Vec<CustomerReport>,
    reasons: IndexMap<String, u64>,
    not_made: u64,
    elapsed: Duration,
}

impl LoadReport {
    /// A report on calls of the customers named, none made yet.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        Self {
            customers: names.into_iter().map(CustomerReport::new).collect(),
            reasons: IndexMap::new(),
            not_made: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Counts a call that was made.
    pub fn sent(&mut self, customer: usize) {
        self.customers[customer].sent += 1;
    }

    /// Counts a call that was due while too many were under way.
    pub fn not_made(&mut self) {
        self.not_made += 1;
    }

    /// Counts the end of a call.
    pub fn ended(&mut self, result: &CallResult) {
        if !result.reason.is_empty() {
            *self.reasons.entry(result.reason.clone()).or_default() += 1;
        }
        self.customers[result.customer].ended(result);
    }

    /// Sets how long the run took.
    pub fn finish(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// One line on all customers.
    pub fn summary(&self) -> String {
        let total =
            |count: fn(&CustomerReport) -> u64| -> u64 { self.customers.iter().map(count).sum() };
        format!(
            "{} sent, {} answered, {} not run, {} unknown, {} not connected, {} not made",
            total(|customer| customer.sent),
            total(|customer| customer.answered),
            total(|customer| customer.not_run),
            total(|customer| customer.unknown),
            total(|customer| customer.not_connected),
            self.not_made
        )
    }

    /// The report as a JSON document. Times are in milliseconds.
    pub fn document(&self) -> serde_json::Value {
        let customers: Vec<serde_json::Value> = self
            .customers
            .iter()
            .map(CustomerReport::document)
            .collect();
        serde_json::json!({
            "elapsed_s": self.elapsed.as_secs_f64(),
            "not_made": self.not_made,
            "reasons": self.reasons,
            "customers": customers,
        })
    }

    /// Writes the report as a table.
    pub fn write_table(&self) -> Result<(), CliError> {
        let header = [
            "customer",
            "sent",
            "answered",
            "not run",
            "unknown",
            "not connected",
            "first p50 ms",
            "first p99 ms",
            "whole p50 ms",
            "whole p99 ms",
            "whole max ms",
        ];
        let rows: Vec<Vec<String>> = self.customers.iter().map(CustomerReport::row).collect();
        output::table(&header, &rows)?;
        for (reason, count) in &self.reasons {
            output::line(&format!("reason={reason} count={count}"))?;
        }
        let elapsed_s = self.elapsed.as_secs_f64();
        output::line(&format!("{}; {elapsed_s:.1} s", self.summary()))
    }

    /// The exit of the command.
    pub fn exit(&self) -> Result<(), CliError> {
        let unknown: u64 = self.customers.iter().map(|customer| customer.unknown).sum();
        if unknown > 0 {
            return Err(CliError::Unknown(format!("{unknown} calls")));
        }
        let sent: u64 = self.customers.iter().map(|customer| customer.sent).sum();
        let not_connected = self.customers.iter().map(|customer| customer.not_connected);
        if sent > 0 && not_connected.sum::<u64>() == sent {
            let message = "every connection failed".to_owned();
            return Err(CliError::NotReachable(message));
        }
        Ok(())
    }
}

impl CustomerReport {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            not_connected: 0,
            first_us: histogram(),
            whole_us: histogram(),
        }
    }

    fn ended(&mut self, result: &CallResult) {
        match result.outcome {
            Some(Outcome::Answered) => self.answered += 1,
            Some(Outcome::NotRun) => self.not_run += 1,
            Some(Outcome::Unknown) => self.unknown += 1,
            None => self.not_connected += 1,
        }
        if result.outcome == Some(Outcome::Answered) {
            self.whole_us.saturating_record(microseconds(result.whole));
            if let Some(first) = result.first {
                self.first_us.saturating_record(microseconds(first));
            }
        }
    }

    fn document(&self) -> serde_json::Value {
        serde_json::json!({
            "customer": self.name,
            "sent": self.sent,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "not_connected": self.not_connected,
            "first_ms": quantiles(&self.first_us),
            "whole_ms": quantiles(&self.whole_us),
        })
    }

    fn row(&self) -> Vec<String> {
        let at = |times: &Histogram<u64>, quantile| {
            format!("{:.1}", milliseconds(times.value_at_quantile(quantile)))
        };
        vec![
            self.name.clone(),
            self.sent.to_string(),
            self.answered.to_string(),
            self.not_run.to_string(),
            self.unknown.to_string(),
            self.not_connected.to_string(),
            at(&self.first_us, 0.5),
            at(&self.first_us, 0.99),
            at(&self.whole_us, 0.5),
            at(&self.whole_us, 0.99),
            format!("{:.1}", milliseconds(self.whole_us.max())),
        ]
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid")
}

fn quantiles(times: &Histogram<u64>) -> serde_json::Value {
    let mut document = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        let value_ms = milliseconds(times.value_at_quantile(quantile));
        document.insert(name.to_owned(), value_ms.into());
    }
    document.insert("max".to_owned(), milliseconds(times.max()).into());
    document.into()
}

fn microseconds(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

#[allow(clippy::cast_precision_loss)]
fn milliseconds(time_us: u64) -> f64 {
    time_us as f64 / 1_000.0
}
