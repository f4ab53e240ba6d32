//! The settings of one router, read from a TOML file.

mod checks;
mod model;
mod reader;
mod section;

use super::Findings;
use reader::Reader;

pub use model::{
    Fleet, Instance, Limits, Listen, LoadReports, Log, Operators, Platform, Policy, PolicyKind,
    Secret, Settings, Threads, Timing,
};

impl Settings {
    /// Reads settings from TOML text.
    ///
    /// Missing keys take their defaults. The names of instance and data centre, the listeners,
    /// the platform's address, the fleet key and the operators' token digest have no default.
    ///
    /// # Errors
    ///
    /// Returns all findings together: syntax errors, unknown keys, wrong types and units, values
    /// out of range, missing keys and conflicts between keys, each with line and column if known.
    ///
    /// ```
    /// use curranttrestle::state::settings::Settings;
    /// let findings = Settings::parse("router.toml", "[platform]\ntimeout_s = 1\n").unwrap_err();
    /// let text = findings.to_string();
    /// assert!(text.contains("router.toml:2:1 (platform.timeout_s)"));
    /// assert!(text.contains("did you mean timeout_ms"));
    /// ```
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Findings> {
        let mut reader = Reader::new(file_name, text);
        let settings = reader.settings();
        checks::report_conflicts(&settings, &mut reader);
        reader.into_result(settings)
    }
}
