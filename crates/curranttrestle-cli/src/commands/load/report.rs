//! Collects and reports the measurements of a load run.

use std::time::Duration;

use curranttrestle::protocol::Outcome;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::error::CliError;
use crate::output;

/// The longest recordable latency; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// The number of significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];

/// The result of one call.
#[derive(Clone, Debug)]
pub struct CallSample {
    /// The index of the customer.
    pub customer: usize,
    /// The outcome; `None` if no connection was made.
    pub outcome: Option<Outcome>,
    /// Why the call was not answered; empty if it was.
    pub reason: String,
    /// The time from when the call was due to the first content byte.
    pub first_byte: Option<Duration>,
    /// The time from when the call was due to its end.
    pub total_time: Duration,
}

/// The counts and latencies of one customer's calls.
struct CustomerReport {
    name: String,
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    not_connected: u64,
    first_byte_us: Histogram<u64>,
    total_time_us: Histogram<u64>,
}

/// The counts and latencies of all calls of a run.
pub struct LoadReport {
    customers: Vec<CustomerReport>,
    reasons: IndexMap<String, u64>,
    not_made: u64,
    elapsed: Duration,
}

impl LoadReport {
    /// Creates an empty report for the customers with these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        Self {
            customers: names.into_iter().map(CustomerReport::new).collect(),
            reasons: IndexMap::new(),
            not_made: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, customer: usize) {
        self.customers[customer].sent += 1;
    }

    /// Records that a call was not made because too many were in flight.
    pub fn record_not_made(&mut self) {
        self.not_made += 1;
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, result: &CallSample) {
        if !result.reason.is_empty() {
            *self.reasons.entry(result.reason.clone()).or_default() += 1;
        }
        self.customers[result.customer].record_result(result);
    }

    /// Sets the elapsed time of the run.
    pub fn set_elapsed(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// Returns the totals of all customers as one line.
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

    /// Returns the report as a JSON document. Latencies are in milliseconds.
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

    /// Returns an error if outcomes are unknown or no call was connected.
    pub fn result(&self) -> Result<(), CliError> {
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
            first_byte_us: histogram(),
            total_time_us: histogram(),
        }
    }

    fn record_result(&mut self, result: &CallSample) {
        match result.outcome {
            Some(Outcome::Answered) => self.answered += 1,
            Some(Outcome::NotRun) => self.not_run += 1,
            Some(Outcome::Unknown) => self.unknown += 1,
            None => self.not_connected += 1,
        }
        if result.outcome == Some(Outcome::Answered) {
            self.total_time_us
                .saturating_record(microseconds(result.total_time));
            if let Some(first_byte) = result.first_byte {
                self.first_byte_us
                    .saturating_record(microseconds(first_byte));
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
            "first_ms": quantiles(&self.first_byte_us),
            "whole_ms": quantiles(&self.total_time_us),
        })
    }

    fn row(&self) -> Vec<String> {
        let format_quantile = |latencies: &Histogram<u64>, quantile| {
            format!("{:.1}", milliseconds(latencies.value_at_quantile(quantile)))
        };
        vec![
            self.name.clone(),
            self.sent.to_string(),
            self.answered.to_string(),
            self.not_run.to_string(),
            self.unknown.to_string(),
            self.not_connected.to_string(),
            format_quantile(&self.first_byte_us, 0.5),
            format_quantile(&self.first_byte_us, 0.99),
            format_quantile(&self.total_time_us, 0.5),
            format_quantile(&self.total_time_us, 0.99),
            format!("{:.1}", milliseconds(self.total_time_us.max())),
        ]
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn quantiles(latencies: &Histogram<u64>) -> serde_json::Value {
    let mut document = serde_json::Map::new();
    for (name, quantile) in QUANTILES {
        let value_ms = milliseconds(latencies.value_at_quantile(quantile));
        document.insert(name.to_owned(), value_ms.into());
    }
    document.insert("max".to_owned(), milliseconds(latencies.max()).into());
    document.into()
}

fn microseconds(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

#[allow(clippy::cast_precision_loss)]
fn milliseconds(time_us: u64) -> f64 {
    time_us as f64 / 1_000.0
}
