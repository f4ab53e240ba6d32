//! Requests that crash endpoints.
//!
//! A request is known by the digest of its operation and body, whatever its key. When an
//! endpoint dies, all requests that ran on it become suspects. A suspect runs only alone on
//! an endpoint. Finished alone, it is free again; the death of a second endpoint gets it
//! refused for a time. What is known only grows and is merged between all routers.
//!
//! A request that crashes every endpoint never finishes. One that recently finished beside
//! others therefore stays free after a first death, so that a popular innocent request is
//! not slowed down by a crash that another one caused.

use indexmap::IndexMap;

use crate::protocol::peer::{EndpointDeath, PeerMessage, Suspicion, Suspicions};
use crate::state::{EndpointId, InstanceId, MemberView, Now};

/// The digest of a request's operation and body.
pub type RequestDigest = [u8; 16];

/// The most sightings of deaths that are kept of one request; the latest stay.
const MAX_DEATHS: usize = 16;

/// How suspects are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// How many dead endpoints get a request refused.
    pub refused_deaths: usize,
    /// How long a request stays suspected or refused after the last death.
    pub refuse_ms: u64,
    /// How long it is remembered that a request finished.
    pub finished_memory_ms: u64,
    /// Deaths of one endpoint that are seen within this time are the same one.
    pub same_death_ms: u64,
    /// How long after a death a suspect waits, so that the news reaches every router first.
    pub settle_ms: u64,
    /// The time between two messages that repeat what is known.
    pub gossip_interval_ms: u64,
    /// The most suspects in one repeated message.
    pub max_gossip: usize,
    /// The most suspects that are remembered.
    pub max_suspects: usize,
    /// The most finished requests that are remembered.
    pub max_finished: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            refused_deaths: 2,
            refuse_ms: 600_000,
            finished_memory_ms: 600_000,
            same_death_ms: 2_000,
            settle_ms: 250,
            gossip_interval_ms: 1_000,
            max_gossip: 32,
            max_suspects: 1_024,
            max_finished: 4_096,
        }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Beside others.
    Free,
    /// Only while nothing else runs on the endpoint.
    Alone,
    /// Not at all.
    Refused,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The sightings of deaths, sorted by time.
    deaths: Vec<EndpointDeath>,
    cleared_unix_ms: u64,
    finished_unix_ms: u64,
}

impl Suspect {
    /// Adds a death, unless it is known already; true when it is new.
    fn add(&mut self, death: &EndpointDeath) -> bool {
        let Err(place) = self.deaths.binary_search(death) else {
            return false;
        };
        self.deaths.insert(place, death.clone());
        if self.deaths.len() > MAX_DEATHS {
            self.deaths.remove(0);
        }
        true
    }

    /// The number of deaths that still count, and whether the request was alone in one.
    fn count(&self, now: Now, options: &QuarantineOptions) -> (usize, bool) {
        let counted = self
            .deaths
            .iter()
            .filter(|death| death.seen_unix_ms > self.cleared_unix_ms)
            .filter(|death| now.unix_ms < death.seen_unix_ms + options.refuse_ms);
        let mut firsts: IndexMap<&EndpointId, Vec<u64>> = IndexMap::new();
        let mut died_alone = false;
        for death in counted {
            died_alone |= death.alone;
            let seen = firsts.entry(&death.endpoint).or_default();
            // Several routers see the same death, each at its own time.
            let is_same = seen
                .last()
                .is_some_and(|first| death.seen_unix_ms <= first + options.same_death_ms);
            if !is_same {
                seen.push(death.seen_unix_ms);
            }
        }
        (firsts.values().map(Vec::len).sum(), died_alone)
    }

    /// When the last death was seen; zero for none.
    fn last_death_unix_ms(&self) -> u64 {
        let seen = self.deaths.iter().map(|death| death.seen_unix_ms);
        seen.max().unwrap_or_default()
    }

    fn admission(&self, now: Now, options: &QuarantineOptions) -> Admission {
        let (deaths, died_alone) = self.count(now, options);
        let has_finished = now.unix_ms < self.finished_unix_ms + options.finished_memory_ms;
        match deaths {
            0 => Admission::Free,
            _ if died_alone => Admission::Refused,
            1 if has_finished => Admission::Free,
            deaths if deaths >= options.refused_deaths && !has_finished => Admission::Refused,
            _ => Admission::Alone,
        }
    }
}

/// The suspected requests, as one router knows them.
///
/// ```
/// use curranttrestle::coordination::quarantine::{Admission, Quarantine, QuarantineOptions};
/// use curranttrestle::state::Now;
/// let now = Now { steady_ms: 0, unix_ms: 1_700_000_000_000 };
/// let mut quarantine = Quarantine::new(QuarantineOptions::default());
/// quarantine.endpoint_died(&"m1".into(), &[[1; 16], [2; 16]], false, now);
/// assert_eq!(quarantine.admission(&[1; 16], now), Admission::Alone);
/// quarantine.finished(&[1; 16], true, now.plus_ms(10));
/// assert_eq!(quarantine.admission(&[1; 16], now.plus_ms(10)), Admission::Free);
/// quarantine.endpoint_died(&"m2".into(), &[[2; 16]], true, now.plus_ms(20));
/// assert_eq!(quarantine.admission(&[2; 16], now.plus_ms(20)), Admission::Refused);
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    suspects: IndexMap<RequestDigest, Suspect>,
    /// When each request last finished, the latest last.
    finished: IndexMap<RequestDigest, u64>,
    /// Suspects of which all routers are to be told at once.
    news: Vec<RequestDigest>,
    next_gossip_ms: u64,
    round: usize,
}

impl Quarantine {
    /// Nothing is suspected.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            suspects: IndexMap::new(),
            finished: IndexMap::new(),
            news: Vec::new(),
            next_gossip_ms: 0,
            round: 0,
        }
    }

    /// How a request may run.
    #[must_use]
    pub fn admission(&self, digest: &RequestDigest, now: Now) -> Admission {
        self.suspects
            .get(digest)
            .map_or(Admission::Free, |suspect| {
                suspect.admission(now, &self.options)
            })
    }

    /// Whether a request may be handed to an endpoint now; `alone` when nothing else runs on
    /// that endpoint and nothing else will. Ask right before each dispatch: the request may
    /// have become a suspect while it waited.
    #[must_use]
    pub fn may_start(&self, digest: &RequestDigest, alone: bool, now: Now) -> bool {
        let Some(suspect) = self.suspects.get(digest) else {
            return true;
        };
        match suspect.admission(now, &self.options) {
            Admission::Free => true,
            Admission::Alone => {
                alone && now.unix_ms >= suspect.last_death_unix_ms() + self.options.settle_ms
            }
            Admission::Refused => false,
        }
    }

    /// Whether a request is known to have finished here.
    #[must_use]
    pub fn has_finished(&self, digest: &RequestDigest) -> bool {
        self.finished.contains_key(digest)
    }

    /// An endpoint died while requests of this router ran on it; `alone` when it ran nothing
    /// but the one given. Call [`Self::tick`] next, so that other routers hear of it before
    /// the caller can send its request again.
    pub fn endpoint_died(
        &mut self,
        endpoint: &EndpointId,
        running: &[RequestDigest],
        alone: bool,
        now: Now,
    ) {
        let death = EndpointDeath {
            endpoint: endpoint.clone(),
            seen_unix_ms: now.unix_ms,
            alone: alone && running.len() == 1,
        };
        for digest in running {
            let finished_unix_ms = self.finished.get(digest).copied().unwrap_or_default();
            let suspect = self.suspects.entry(*digest).or_default();
            suspect.finished_unix_ms = suspect.finished_unix_ms.max(finished_unix_ms);
            if suspect.add(&death) {
                self.news.push(*digest);
            }
        }
        self.forget_oldest();
    }

    /// A request finished; `alone` when nothing ran beside it.
    pub fn finished(&mut self, digest: &RequestDigest, alone: bool, now: Now) {
        self.finished.shift_remove(digest);
        self.finished.insert(*digest, now.unix_ms);
        if self.finished.len() > self.options.max_finished {
            self.finished.shift_remove_index(0);
        }
        let Some(suspect) = self.suspects.get_mut(digest) else {
            return;
        };
        let before = suspect.admission(now, &self.options);
        suspect.finished_unix_ms = suspect.finished_unix_ms.max(now.unix_ms);
        if alone {
            suspect.cleared_unix_ms = suspect.cleared_unix_ms.max(now.unix_ms);
        }
        if suspect.admission(now, &self.options) != before {
            self.news.push(*digest);
        }
    }

    /// Takes what another router knows.
    pub fn receive(&mut self, suspicions: &Suspicions, now: Now) {
        for received in &suspicions.suspects {
            let finished_unix_ms = self.finished.get(&received.digest).copied();
            let suspect = self.suspects.entry(received.digest).or_default();
            for death in &received.deaths {
                suspect.add(death);
            }
            suspect.cleared_unix_ms = suspect.cleared_unix_ms.max(received.cleared_unix_ms);
            suspect.finished_unix_ms = suspect
                .finished_unix_ms
                .max(received.finished_unix_ms)
                .max(finished_unix_ms.unwrap_or_default());
        }
        self.forget_expired(now);
        self.forget_oldest();
    }

    /// The messages that are due: news to all routers, and what is known to the next one.
    pub fn tick(&mut self, members: &MemberView, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let others: Vec<&InstanceId> = members
            .live
            .iter()
            .map(|member| &member.instance)
            .filter(|instance| **instance != members.me.instance)
            .collect();
        let mut messages = Vec::new();
        if let Some(news) = self.take_news() {
            let news = PeerMessage::Suspicions(news);
            messages.extend(others.iter().map(|to| ((*to).clone(), news.clone())));
        }
        if !self.is_repeat_due(now) || others.is_empty() {
            return messages;
        }
        let receiver = others[self.round % others.len()];
        if let Some(known) = self.next_known() {
            messages.push((receiver.clone(), PeerMessage::Suspicions(known)));
        }
        messages
    }

    /// What is due to be told to everybody at once: news, and some of what is known.
    pub fn broadcast(&mut self, now: Now) -> Suspicions {
        let mut told = self.take_news().unwrap_or_default();
        if self.is_repeat_due(now)
            && let Some(known) = self.next_known()
        {
            told.suspects.extend(known.suspects);
        }
        told
    }

    fn take_news(&mut self) -> Option<Suspicions> {
        let news = std::mem::take(&mut self.news);
        self.suspicions(news.iter())
    }

    /// Whether it is time to repeat what is known; it is not again for an interval.
    fn is_repeat_due(&mut self, now: Now) -> bool {
        if now.steady_ms < self.next_gossip_ms {
            return false;
        }
        self.next_gossip_ms = now.steady_ms + self.options.gossip_interval_ms;
        self.forget_expired(now);
        true
    }

    /// Some of what is known, other requests each time.
    fn next_known(&mut self) -> Option<Suspicions> {
        let first = self.round * self.options.max_gossip;
        self.round += 1;
        let count = self.suspects.len().min(self.options.max_gossip);
        let known = self.suspects.keys().cycle();
        let known = known.skip(first % self.suspects.len().max(1)).take(count);
        self.suspicions(known)
    }

    /// The number of requests that are suspected or refused.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    fn suspicions<'a>(
        &self,
        digests: impl Iterator<Item = &'a RequestDigest>,
    ) -> Option<Suspicions> {
        let suspects: Vec<Suspicion> = digests
            .filter_map(|digest| {
                let suspect = self.suspects.get(digest)?;
                Some(Suspicion {
                    digest: *digest,
                    deaths: suspect.deaths.clone(),
                    cleared_unix_ms: suspect.cleared_unix_ms,
                    finished_unix_ms: suspect.finished_unix_ms,
                })
            })
            .collect();
        (!suspects.is_empty()).then_some(Suspicions { suspects })
    }

    /// Forgets what decides nothing any more.
    fn forget_expired(&mut self, now: Now) {
        let refuse_ms = self.options.refuse_ms;
        for suspect in self.suspects.values_mut() {
            suspect
                .deaths
                .retain(|death| now.unix_ms < death.seen_unix_ms + refuse_ms);
        }
        self.suspects
            .retain(|_, suspect| !suspect.deaths.is_empty());
    }

    /// Keeps the number of suspects bounded. Those that died last stay.
    fn forget_oldest(&mut self) {
        while self.suspects.len() > self.options.max_suspects {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_death_unix_ms())
                .map(|(digest, _)| *digest);
            if let Some(oldest) = oldest {
                self.suspects.shift_remove(&oldest);
            }
        }
    }
}
