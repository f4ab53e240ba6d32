//! The router: all deciding modules put together behind one input and a list of effects.
//!
//! One control thread owns a [`Router`]. It passes in what happened, with the time, and
//! carries out the effects.

mod active;
mod capacity;
mod claims;
mod input;
mod naive;
mod options;
mod peers;
mod requests;
mod status;

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use crate::coordination::claims::ClaimBook;
use crate::coordination::config::ConfigKeeper;
use crate::coordination::cost::CostEstimator;
use crate::coordination::drain::Drain;
use crate::coordination::fair_share::FairShare;
use crate::coordination::invariant::Invariants;
use crate::coordination::membership::Membership;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::queue::Queues;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::slots::{SlotHolder, SlotOwner};
use crate::coordination::speed::SpeedTracker;
use crate::coordination::store_gate::StoreGate;
use crate::protocol::peer::PeerMessage;
use crate::state::event::{EventKind, HybridClock};
use crate::state::sheet::Sheet;
use crate::state::{AttemptId, Event, InstanceId, Member, Now, RequestId};

use active::ActiveRequests;
use naive::NaiveDispatcher;

pub use input::{AttemptResult, Decision, Dispatch, Effect, Input, NewRequest, RequestDigest};
pub use options::{Policy, RouterOptions};
pub use status::{EndpointStatus, MemberLine, QueueStatus, RouterStatus};
