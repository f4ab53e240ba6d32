//! Crash detection after a connection to an endpoint broke.
//!
//! A broken connection does not prove a crash: something between the two ends may have closed
//! it. The router polls the endpoint for its load. If there is no response, or one with another
//! incarnation, the endpoint crashed, and every request that ran on it becomes a suspect. The
//! interrupted request is not retried before the result is known, so that it cannot crash a
//! second endpoint without being a suspect.

use crate::protocol::endpoint::LoadReport;
use crate::state::event::EventKind;
use crate::state::{EndpointId, Now, RequestId};

use super::active::RunningAttempt;
use super::{Effect, PollPurpose, RequestDigest, Router};

/// An interrupted attempt whose endpoint may have crashed.
#[derive(Clone, Debug)]
pub struct CrashCheck {
    /// Interrupted attempt.
    running: RunningAttempt,
    /// Digests of all requests that ran on the endpoint.
    digests: Vec<RequestDigest>,
    /// Incarnation of the endpoint when the attempt ran, if known.
    incarnation: Option<u64>,
    /// Description of the interruption.
    detail: String,
}

impl CrashCheck {
    /// Whether the endpoint crashed, judging by its load report. `None` means that it did not
    /// respond.
    fn has_crashed(&self, report: Option<&LoadReport>) -> bool {
        match (report, self.incarnation) {
            (None, _) => true,
            (Some(report), Some(incarnation)) => report.incarnation != incarnation,
            (Some(_), None) => false,
        }
    }
}

impl Router {
    /// Starts a crash check of an endpoint, or joins one that is in progress.
    pub(super) fn check_crash(
        &mut self,
        running: RunningAttempt,
        digests: Vec<RequestDigest>,
        incarnation: Option<u64>,
        detail: String,
        now: Now,
    ) {
        let endpoint = running.endpoint.clone();
        if let Some(active) = self.active.requests.get_mut(&running.request) {
            active.attempt_lost = true;
        }
        let Some(address) = self.endpoint_address(&endpoint) else {
            self.attempt_interrupted(&running, &detail, now);
            return;
        };
        let is_checking = self
            .crash_checks
            .iter()
            .any(|check| check.running.endpoint == endpoint);
        self.crash_checks.push(CrashCheck {
            incarnation: incarnation.or_else(|| self.endpoints.incarnation(&endpoint)),
            running,
            digests,
            detail,
        });
        if !is_checking {
            self.effects.push(Effect::PollLoad {
                endpoint,
                purpose: PollPurpose::CrashCheck,
                address,
            });
        }
    }

    /// Whether another request is subject to a crash check that involves this digest.
    pub(super) fn has_pending_crash_check(
        &self,
        request: RequestId,
        digest: &RequestDigest,
    ) -> bool {
        self.crash_checks
            .iter()
            .any(|check| check.running.request != request && check.digests.contains(digest))
    }

    /// Completes the crash checks of an endpoint with its load report.
    pub(super) fn crash_checked(
        &mut self,
        endpoint: &EndpointId,
        report: Option<&LoadReport>,
        now: Now,
    ) {
        let (checked, others) = std::mem::take(&mut self.crash_checks)
            .into_iter()
            .partition(|check| check.running.endpoint == *endpoint);
        self.crash_checks = others;
        let checked: Vec<CrashCheck> = checked;
        if checked.iter().any(|check| check.has_crashed(report)) {
            self.endpoint_crashed(endpoint, &checked, now);
        }
        for check in checked {
            self.attempt_interrupted(&check.running, &check.detail, now);
        }
    }

    /// Quarantines all requests that ran on a crashed endpoint.
    fn endpoint_crashed(&mut self, endpoint: &EndpointId, checked: &[CrashCheck], now: Now) {
        let mut digests: Vec<RequestDigest> = Vec::new();
        for digest in checked.iter().flat_map(|check| &check.digests) {
            if !digests.contains(digest) {
                digests.push(*digest);
            }
        }
        let alone = checked.iter().any(|check| check.running.exclusive);
        self.quarantine
            .endpoint_crashed(endpoint, &digests, alone, now);
        self.mark_unreachable(endpoint, now);
        self.emit(
            now,
            EventKind::Quarantine,
            None,
            &[("endpoint", endpoint), ("suspects", &digests.len())],
        );
        // Inform the other routers before the caller can retry its request.
        let messages = self.quarantine.tick(self.membership.view(), now);
        self.send_all(messages, now);
    }
}
