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
}

impl Record {
    /// A record of news heard now.
    pub fn new(news: MemberNews, now: Now) -> Self {
        Self {
            news,
            since_ms: now.steady_ms,
            heard_ms: now.steady_ms,
        }
    }

    /// Whether the member takes part in decisions.
    pub fn is_live(&self) -> bool {
        match self.news.status {
            MemberStatus::Alive | MemberStatus::Suspect => true,
            MemberStatus::Leaving | MemberStatus::Dead => false,
        }
    }

    /// Whether a suspect member's time to refute is over, or a leaving one fell silent.
    pub fn is_overdue(&self, dead_after_ms: u64, now: Now) -> bool {
        match self.news.status {
            MemberStatus::Suspect => now.since_ms(self.since_ms) >= dead_after_ms,
            MemberStatus::Leaving => {
                now.since_ms(self.heard_ms.max(self.since_ms)) >= 2 * dead_after_ms
            }
            MemberStatus::Alive | MemberStatus::Dead => false,
        }
    }

    /// Whether the member has been dead for so long that it is forgotten.
    pub fn is_forgotten(&self, forget_after_ms: u64, now: Now) -> bool {
        self.news.status == MemberStatus::Dead && now.since_ms(self.since_ms) >= forget_after_ms
    }
}

/// Whether `new` replaces `old`: by run, then by revision, then by the worse status.
pub fn supersedes(new: &MemberNews, old: &MemberNews) -> bool {
    let rank = |news: &MemberNews| (news.member.incarnation, news.revision, news.status);
    rank(new) > rank(old)
}
