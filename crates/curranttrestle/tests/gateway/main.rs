//! Tests of the gateway's decision logic, without a network.

mod admission;
mod control;
mod directory;
mod freshness;
mod peering;
mod placement;
mod relaying;
mod route_table;
mod shares;
mod support;
mod trust;
