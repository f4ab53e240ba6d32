//! What one router believes of one other member.

use crate::protocol::peer::{MemberNews, MemberStatus};
use crate::state::Now;

/// The newest news of a member and when it was heard.
#[derive(Clone, Debug)]
pub struct Record {
    /// The newest news.
    pub news: MemberNews,
    /// Since when it holds, in steady time.
    pub since_ms: u64,
    /// When the member itself was last heard, in steady time.
    pub heard_ms: u64,
    /// When this router last told the member of its own suspicion, in steady time.
    pub warned_ms: Option<u64>,
    /// Since when a leaving member has not answered probes, in steady time.
    pub silent_since_ms: Option<u64>,
}

impl Record {
    /// A record of news heard now.
    pub fn new(news: MemberNews, now: Now) -> Self {
        Self {
            news,
            since_ms: now.steady_ms,
            heard_ms: now.steady_ms,
            warned_ms: None,
            silent_since_ms: None,
        }
    }

    /// Takes note that a message came from the member.
    pub fn heard(&mut self, now: Now) {
        self.heard_ms = now.steady_ms;
        self.silent_since_ms = None;
    }

    /// Replaces the news.
    pub fn update(&mut self, news: &MemberNews, now: Now) {
        let heard_ms = if news.status == MemberStatus::Alive {
            now.steady_ms
        } else {
            self.heard_ms
        };
        *self = Self {
            heard_ms,
            ..Self::new(news.clone(), now)
        };
    }

    /// Gives the member its whole time again, because this router did not listen meanwhile.
    pub fn restart_timeouts(&mut self, now: Now) {
        if self.news.status == MemberStatus::Suspect {
            self.since_ms = now.steady_ms;
        }
        self.silent_since_ms = None;
    }

    /// Whether the member takes part in decisions.
    pub fn is_live(&self) -> bool {
        match self.news.status {
            MemberStatus::Alive | MemberStatus::Suspect => true,
            MemberStatus::Leaving | MemberStatus::Dead => false,
        }
    }

    /// Whether the member is believed dead.
    pub fn is_dead(&self) -> bool {
        self.news.status == MemberStatus::Dead
    }

    /// Whether the member's time to refute or to answer is over.
    pub fn is_overdue(&self, dead_after_ms: u64, now: Now) -> bool {
        match self.news.status {
            MemberStatus::Suspect => now.since_ms(self.since_ms) >= dead_after_ms,
            MemberStatus::Leaving => self
                .silent_since_ms
                .is_some_and(|since_ms| now.since_ms(since_ms) >= dead_after_ms),
            MemberStatus::Alive | MemberStatus::Dead => false,
        }
    }

    /// Whether the member has been dead for so long that it is forgotten.
    pub fn is_forgotten(&self, forget_after_ms: u64, now: Now) -> bool {
        self.is_dead() && now.since_ms(self.since_ms) >= forget_after_ms
    }
}

/// Whether `new` replaces `old`: by run, then by revision, then by the worse status.
pub fn supersedes(new: &MemberNews, old: &MemberNews) -> bool {
    let rank = |news: &MemberNews| (news.member.incarnation, news.revision, news.status);
    rank(new) > rank(old)
}
