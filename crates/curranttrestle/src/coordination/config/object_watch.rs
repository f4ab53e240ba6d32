//! When to read or watch one object of the store.

use super::backoff;
use super::effect::ConfigObject;
use super::keeper::ConfigSettings;
use crate::protocol::platform::{Object, StoreAnswer, StoreCall, Version};
use crate::state::{InstanceId, Now};

/// The state of the calls about one object.
#[derive(Clone, Debug)]
pub(super) struct ObjectWatch {
    object: ConfigObject,
    /// The newest version seen.
    version: Version,
    /// When the call that waits for its answer was made.
    called_ms: Option<u64>,
    /// No call is made before.
    not_before_ms: u64,
    /// When the last answer came.
    answered_ms: u64,
    failures: u32,
    calls: u32,
    answered: bool,
}

impl ObjectWatch {
    pub(super) fn new(object: ConfigObject) -> Self {
        Self {
            object,
            version: Version::default(),
            called_ms: None,
            not_before_ms: 0,
            answered_ms: 0,
            failures: 0,
            calls: 0,
            answered: false,
        }
    }

    /// Whether the store ever told what it holds.
    pub(super) fn answered(&self) -> bool {
        self.answered
    }

    /// The call that is due, if any. A router that is no watcher pauses for about `pause_ms`
    /// between two watches.
    pub(super) fn next_call(
        &mut self,
        me: &InstanceId,
        pause_ms: u64,
        now: Now,
    ) -> Option<StoreCall> {
        if self.called_ms.is_some() || now.steady_ms < self.not_before_ms {
            return None;
        }
        let pause_ms = backoff::spread_ms(me.as_str().as_bytes(), self.calls, pause_ms);
        if self.answered && now.since_ms(self.answered_ms) < pause_ms {
            return None;
        }
        let name = self.object.name().to_owned();
        let after = self.version;
        // A watch may take longer than a read, so that it succeeds at a slow store too.
        let call = if self.answered || self.failures > 0 {
            StoreCall::Watch { name, after }
        } else {
            StoreCall::Read { name }
        };
        self.called_ms = Some(now.steady_ms);
        self.calls = self.calls.wrapping_add(1);
        Some(call)
    }

    /// Takes an answer and returns the object when it is news.
    pub(super) fn take_answer<'a>(
        &mut self,
        answer: &'a StoreAnswer,
        me: &InstanceId,
        settings: &ConfigSettings,
        now: Now,
    ) -> Option<&'a Object> {
        let called_ms = self.called_ms.take()?;
        match answer {
            StoreAnswer::Found(object) => {
                self.plan_next(called_ms, settings, now);
                let is_news = object.version > self.version;
                self.version = self.version.max(object.version);
                Some(object).filter(|_| is_news)
            }
            StoreAnswer::Absent => {
                self.plan_next(called_ms, settings, now);
                None
            }
            _ => {
                self.plan_retry(me, settings, now);
                None
            }
        }
    }

    fn plan_next(&mut self, called_ms: u64, settings: &ConfigSettings, now: Now) {
        self.answered = true;
        self.answered_ms = now.steady_ms;
        self.failures = 0;
        self.not_before_ms = called_ms + settings.call_interval_ms;
    }

    fn plan_retry(&mut self, me: &InstanceId, settings: &ConfigSettings, now: Now) {
        self.failures = self.failures.saturating_add(1);
        let delay_ms = backoff::delay_ms(
            me.as_str().as_bytes(),
            self.failures,
            settings.first_retry_ms,
            settings.longest_retry_ms,
        );
        self.not_before_ms = now.steady_ms + delay_ms;
    }
}
