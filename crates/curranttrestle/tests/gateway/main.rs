//! Tests of the gateway's decision logic, without a network.

mod admission;
mod control;
mod directory;
mod eligibility;
mod evacuation;
mod freshness;
mod load_relay;
mod load_sums;
mod naive_decisions;
mod outage_detection;
mod outlier_detection;
mod own_delay;
mod peering;
mod placement;
mod prompt_uses;
mod request_quarantine;
mod route_table;
mod served_versions;
mod shares;
mod stated_runs;
mod stream_versions;
mod support;
mod warmup;
mod warmup_simulation;
