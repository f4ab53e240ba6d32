//! The decision logic of a gateway: routing, freshness of the configuration, endpoint selection
//! and admission control.

pub mod admission;
pub mod control;
pub mod directory;
pub mod eligibility;
pub mod endpoint_load;
pub mod endpoint_pauses;
pub mod evacuation;
pub mod freshness;
pub mod load_relay;
pub mod load_sums;
pub mod outage_detection;
pub mod outlier_detection;
pub mod own_delay;
pub mod part_quarantine;
pub mod part_relay;
pub mod peering;
pub mod placement;
pub mod prompt_cache;
mod reported_load;
pub mod request_quarantine;
pub mod route_table;
pub mod served_versions;
pub mod shares;
pub mod software_version;
pub mod stated_runs;
pub mod stream_versions;
pub mod warmup;
