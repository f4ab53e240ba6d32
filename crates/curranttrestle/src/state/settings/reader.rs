//! Parses all tables of the settings file and collects the findings.

use std::ops::Range;

use indexmap::IndexMap;
use log::LevelFilter;
use toml::de::DeTable;

use super::section::Section;
use super::{
    Fleet, Instance, Limits, Listen, LoadReports, Log, Operators, Platform, Policy, PolicyKind,
    Settings, Threads, Timing,
};
use crate::state::sheet::KeyDigest;
use crate::state::{DataCentreId, Findings, InstanceId, Location};

/// The maximum of every interval and timeout: one day, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The maximum of the body size limit. Request bodies are buffered in memory.
const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

/// The minimum length of the fleet key.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// The names of all tables.
const TABLES: [&str; 10] = [
    "instance",
    "listen",
    "platform",
    "fleet",
    "operators",
    "limits",
    "timing",
    "policy",
    "log",
    "threads",
];

const POLICY_KINDS: [(&str, PolicyKind); 2] =
    [("fair", PolicyKind::Fair), ("naive", PolicyKind::Naive)];

const LOAD_REPORTS: [(&str, LoadReports); 3] = [
    ("reconcile", LoadReports::Reconcile),
    ("trust", LoadReports::Trust),
    ("ignore", LoadReports::Ignore),
];

const LOG_LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

/// The text of a settings file and the findings collected so far.
pub(super) struct Reader {
    file_name: String,
    text: String,
    /// The position of each key that was read, by its dotted path.
    spans: IndexMap<String, Range<usize>>,
    /// Whether the text has syntax errors. Missing keys are then not reported, because the parser
    /// may have skipped them.
    has_syntax_errors: bool,
    findings: Findings,
}

impl Reader {
    pub(super) fn new(file_name: &str, text: &str) -> Self {
        Self {
            file_name: file_name.to_owned(),
            text: text.to_owned(),
            spans: IndexMap::new(),
            has_syntax_errors: false,
            findings: Findings::default(),
        }
    }

    /// Parses all tables.
    pub(super) fn settings(&mut self) -> Settings {
        let text = self.text.clone();
        let (root, errors) = DeTable::parse_recoverable(&text);
        for error in errors {
            self.has_syntax_errors = true;
            self.add_finding(&error.span().unwrap_or(0..0), "", error.message());
        }
        let root = root.get_ref();
        self.report_unknown_tables(root);
        Settings {
            instance: read_instance(Section::new("instance", root, self)),
            listen: read_listen(Section::new("listen", root, self)),
            platform: read_platform(Section::new("platform", root, self)),
            fleet: read_fleet(Section::new("fleet", root, self)),
            operators: read_operators(Section::new("operators", root, self)),
            limits: read_limits(Section::new("limits", root, self)),
            timing: read_timing(Section::new("timing", root, self)),
            policy: read_policy(Section::new("policy", root, self)),
            log: read_log(Section::new("log", root, self)),
            threads: read_threads(Section::new("threads", root, self)),
        }
    }

    /// Adds a finding at `span` in the text.
    pub(super) fn add_finding(&mut self, span: &Range<usize>, key: &str, message: &str) {
        let location = self.location(Some(span), key);
        self.findings.add(location, message);
    }

    /// Adds a finding for a missing key, located at its `table` if the file has that table.
    pub(super) fn add_missing(&mut self, table: Option<&Range<usize>>, key: &str) {
        if !self.has_syntax_errors {
            let location = self.location(table, key);
            self.findings.add(location, "is missing and has no default");
        }
    }

    /// Records the position of a key for [`Reader::add_conflict`].
    pub(super) fn record_span(&mut self, key: String, span: Range<usize>) {
        self.spans.insert(key, span);
    }

    /// Returns whether the file contains `key`.
    pub(super) fn contains_key(&self, key: &str) -> bool {
        self.spans.contains_key(key)
    }

    /// Adds a finding for conflicting keys, located at the first of `keys` that the file contains.
    pub(super) fn add_conflict(&mut self, keys: &[&str], message: &str) {
        let found = keys.iter().find(|key| self.contains_key(key));
        let key = found.or(keys.first()).copied().unwrap_or_default();
        let span = self.spans.get(key).cloned();
        let location = self.location(span.as_ref(), key);
        self.findings.add(location, message);
    }

    /// Returns `settings` if there are no findings, and all findings ordered by position otherwise.
    pub(super) fn into_result(mut self, settings: Settings) -> Result<Settings, Findings> {
        self.findings
            .0
            .sort_by_key(|finding| (finding.place.line, finding.place.column));
        self.findings.into_result(settings)
    }

    fn report_unknown_tables(&mut self, root: &DeTable<'_>) {
        for key in root.keys() {
            if !TABLES.contains(&key.get_ref().as_ref()) {
                let message = format!("unknown key; the tables are {}", TABLES.join(", "));
                self.add_finding(&key.span(), key.get_ref(), &message);
            }
        }
    }

    fn location(&self, span: Option<&Range<usize>>, key: &str) -> Location {
        let offset = span.map(|span| span.start);
        Location::at(&self.file_name, &self.text, offset, key)
    }
}

fn read_instance(mut section: Section<'_, '_>) -> Instance {
    let name = section.name("name").unwrap_or_default();
    let data_centre = section.name("data_centre").unwrap_or_default();
    section.require(&["name", "data_centre"]);
    section.finish();
    Instance {
        name: InstanceId::new(&name),
        data_centre: DataCentreId::new(&data_centre),
    }
}

fn read_listen(mut section: Section<'_, '_>) -> Listen {
    let mut listen = Listen::default();
    section.address("callers", &mut listen.callers);
    section.address("operators", &mut listen.operators);
    section.address("peers", &mut listen.peers);
    section.require(&["callers", "operators", "peers"]);
    section.finish();
    listen
}

fn read_platform(mut section: Section<'_, '_>) -> Platform {
    let mut platform = Platform::default();
    section.address("address", &mut platform.address);
    section.integer(
        "calls_per_second",
        1..=10_000,
        &mut platform.calls_per_second,
    );
    section.integer(
        "fleet_calls_per_second",
        1..=1_000_000,
        &mut platform.fleet_calls_per_second,
    );
    section.integer("timeout_ms", 1..=MAX_DURATION_MS, &mut platform.timeout_ms);
    section.integer(
        "watch_timeout_ms",
        1..=MAX_DURATION_MS,
        &mut platform.watch_timeout_ms,
    );
    section.require(&["address"]);
    section.finish();
    platform
}

fn read_fleet(mut section: Section<'_, '_>) -> Fleet {
    let mut fleet = Fleet::default();
    section.secret("key", MIN_FLEET_KEY_BYTES, &mut fleet.key);
    section.addresses("seeds", &mut fleet.seeds);
    section.named_addresses("via", &mut fleet.via);
    section.require(&["key"]);
    section.finish();
    fleet
}

fn read_operators(mut section: Section<'_, '_>) -> Operators {
    let mut operators = Operators::default();
    let mut text = String::new();
    section.text("token_digest", &mut text);
    let mut bytes = [0; 32];
    if hex::decode_to_slice(&text, &mut bytes).is_ok() {
        operators.token_digest = KeyDigest(bytes);
    } else if !text.is_empty() {
        let span = section.span("token_digest");
        let message = "must be a SHA-256 digest: 64 hexadecimal digits";
        section.add_finding(&span, "token_digest", message);
    }
    section.require(&["token_digest"]);
    section.finish();
    operators
}

fn read_limits(mut section: Section<'_, '_>) -> Limits {
    let mut limits = Limits::default();
    let durations = 1..=MAX_DURATION_MS;
    section.integer("body_bytes", 1..=MAX_BODY_BYTES, &mut limits.body_bytes);
    section.integer(
        "header_timeout_ms",
        durations.clone(),
        &mut limits.header_timeout_ms,
    );
    section.integer(
        "sender_timeout_ms",
        durations.clone(),
        &mut limits.sender_timeout_ms,
    );
    section.integer("connections", 1..=1_000_000, &mut limits.connections);
    section.integer(
        "queue_per_customer",
        1..=1_000_000,
        &mut limits.queue_per_customer,
    );
    section.integer("deadline_ms", durations.clone(), &mut limits.deadline_ms);
    section.integer("shutdown_ms", durations, &mut limits.shutdown_ms);
    section.finish();
    limits
}

fn read_timing(mut section: Section<'_, '_>) -> Timing {
    let mut timing = Timing::default();
    let durations = 1..=MAX_DURATION_MS;
    section.integer(
        "heartbeat_interval_ms",
        durations.clone(),
        &mut timing.heartbeat_interval_ms,
    );
    section.integer(
        "suspect_after_ms",
        durations.clone(),
        &mut timing.suspect_after_ms,
    );
    section.integer(
        "dead_after_ms",
        durations.clone(),
        &mut timing.dead_after_ms,
    );
    section.integer("lease_ms", durations.clone(), &mut timing.lease_ms);
    section.integer(
        "service_round_ms",
        durations.clone(),
        &mut timing.service_round_ms,
    );
    section.integer(
        "load_report_interval_ms",
        durations,
        &mut timing.load_report_interval_ms,
    );
    section.finish();
    timing
}

fn read_policy(mut section: Section<'_, '_>) -> Policy {
    let mut policy = Policy::default();
    section.choice("kind", &POLICY_KINDS, &mut policy.kind);
    section.boolean("hedging", &mut policy.hedging);
    section.choice("load_reports", &LOAD_REPORTS, &mut policy.load_reports);
    section.finish();
    policy
}

fn read_log(mut section: Section<'_, '_>) -> Log {
    let mut log = Log::default();
    section.choice("level", &LOG_LEVELS, &mut log.level);
    section.integer("events_capacity", 1..=10_000_000, &mut log.events_capacity);
    section.finish();
    log
}

fn read_threads(mut section: Section<'_, '_>) -> Threads {
    let mut threads = Threads::default();
    section.integer("traffic", 1..=256, &mut threads.traffic);
    section.finish();
    threads
}
