//! Tests of the gateway's decision logic, without a network.

mod admission;
mod control;
mod directory;
mod freshness;
mod load_relay;
mod load_sums;
mod mixed_load;
mod outage_detection;
mod outlier_detection;
mod peering;
mod placement;
mod prompt_mix;
mod prompt_uses;
mod request_quarantine;
mod route_table;
mod shares;
mod support;
