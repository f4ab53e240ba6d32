//! Schedules the reads and watches of one object in the store.

use super::backoff;
use super::effect::ConfigObject;
use super::manager::ConfigSettings;
use crate::protocol::platform::{Object, StoreCall, StoreResponse, Version};
use crate::state::{InstanceId, Now};

/// The state of the calls for one object.
#[derive(Clone, Debug)]
pub(super) struct ObjectWatch {
    object: ConfigObject,
    /// The newest version seen.
    version: Version,
    /// When the call in flight was made, if any.
    call_sent_ms: Option<u64>,
    /// The earliest time of the next call.
    not_before_ms: u64,
    /// When the last successful response arrived.
    last_response_ms: u64,
    failures: u32,
    call_count: u32,
    has_responded: bool,
}

impl ObjectWatch {
    pub(super) fn new(object: ConfigObject) -> Self {
        Self {
            object,
            version: Version::default(),
            call_sent_ms: None,
            not_before_ms: 0,
            last_response_ms: 0,
            failures: 0,
            call_count: 0,
            has_responded: false,
        }
    }

    /// Whether the store has ever reported the object's content or its absence.
    pub(super) fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Returns the call that is due, if any. `pause_ms` is the approximate pause between two
    /// watches, zero for a watcher.
    pub(super) fn next_call(
        &mut self,
        me: &InstanceId,
        pause_ms: u64,
        now: Now,
    ) -> Option<StoreCall> {
        if self.call_sent_ms.is_some() || now.steady_ms < self.not_before_ms {
            return None;
        }
        let pause_ms = backoff::jitter_ms(me.as_str().as_bytes(), self.call_count, pause_ms);
        if self.has_responded && now.since_ms(self.last_response_ms) < pause_ms {
            return None;
        }
        let name = self.object.name().to_owned();
        let after = self.version;
        // After a failed read, a watch is tried: its timeout is longer, so it can succeed even if
        // the store is slow.
        let call = if self.has_responded || self.failures > 0 {
            StoreCall::Watch { name, after }
        } else {
            StoreCall::Read { name }
        };
        self.call_sent_ms = Some(now.steady_ms);
        self.call_count = self.call_count.wrapping_add(1);
        Some(call)
    }

    /// Processes a response and returns the object if it is newer than the newest version seen.
    pub(super) fn handle_response<'a>(
        &mut self,
        response: &'a StoreResponse,
        me: &InstanceId,
        settings: &ConfigSettings,
        now: Now,
    ) -> Option<&'a Object> {
        let call_sent_ms = self.call_sent_ms.take()?;
        match response {
            StoreResponse::Found(object) => {
                self.schedule_next(call_sent_ms, settings, now);
                let is_newer = object.version > self.version;
                self.version = self.version.max(object.version);
                Some(object).filter(|_| is_newer)
            }
            StoreResponse::Absent => {
                self.schedule_next(call_sent_ms, settings, now);
                None
            }
            _ => {
                self.schedule_retry(me, settings, now);
                None
            }
        }
    }

    fn schedule_next(&mut self, call_sent_ms: u64, settings: &ConfigSettings, now: Now) {
        self.has_responded = true;
        self.last_response_ms = now.steady_ms;
        self.failures = 0;
        self.not_before_ms = call_sent_ms + settings.min_call_interval_ms;
    }

    fn schedule_retry(&mut self, me: &InstanceId, settings: &ConfigSettings, now: Now) {
        self.failures = self.failures.saturating_add(1);
        let delay_ms = backoff::delay_ms(
            me.as_str().as_bytes(),
            self.failures,
            settings.initial_retry_delay_ms,
            settings.max_retry_delay_ms,
        );
        self.not_before_ms = now.steady_ms + delay_ms;
    }
}
