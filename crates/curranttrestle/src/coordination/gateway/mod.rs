//! The decisions of a gateway: which route, whether the configuration is fresh enough,
//! which endpoint, and whether the request is taken at all.

pub mod admission;
pub mod control;
pub mod directory;
pub mod endpoint_load;
pub mod freshness;
pub mod peering;
pub mod placement;
pub mod prompt_cache;
pub mod relaying;
pub mod route_table;
pub mod shares;
pub mod trust;
