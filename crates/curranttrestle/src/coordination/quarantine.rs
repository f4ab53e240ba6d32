//! Placeholder until the real one lands.
#![allow(missing_docs, clippy::pedantic, unused)]
use crate::protocol::peer::PeerMessage;
use crate::state::*;
#[derive(Debug, Clone, Copy, Default)]
pub struct QuarantineOptions;
#[derive(Debug, PartialEq)]
pub enum Admission {
    Free,
    Alone,
    Refused,
}
#[derive(Debug)]
pub struct Quarantine;
impl Quarantine {
    pub fn new(_: QuarantineOptions) -> Self {
        Self
    }
    pub fn admission(&self, _: &[u8; 16], _: Now) -> Admission {
        Admission::Free
    }
    pub fn endpoint_died(&mut self, _: &EndpointId, _: &[[u8; 16]], _: Now) {}
    pub fn finished_alone(&mut self, _: &[u8; 16], _: Now) {}
    pub fn tick(&mut self, _: &MemberView, _: Now) -> Vec<(InstanceId, PeerMessage)> {
        vec![]
    }
}
