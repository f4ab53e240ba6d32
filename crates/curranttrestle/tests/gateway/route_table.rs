use curranttrestle::coordination::gateway::route_table::RouteTable;
use curranttrestle::state::gateway::{RouteTarget, ServiceConfig};
use proptest::prelude::*;

use super::support::{config, route};

#[test]
fn the_longest_prefix_wins() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ];
    let table = RouteTable::new(ServiceConfig {
        routes,
        ..ServiceConfig::default()
    });
    let name = |host, path| table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/x/y/z"), Some("long"));
    assert_eq!(name("a.example:80", "/x/yz"), Some("short"));
    assert_eq!(name("A.Example", "/x/y/"), Some("long"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/anything"), Some("other"));
    assert_eq!(name("c.example", "/x/y/z"), None);
}

#[test]
fn a_key_names_its_customer() {
    let table = RouteTable::new(config(1));
    assert_eq!(
        table.customer("key").map(|found| found.name.as_str()),
        Some("customer")
    );
    assert!(table.customer("other").is_none());
    assert!(table.customer("").is_none());
}

/// Removing the last customer used to open all routes.
#[test]
fn keys_are_required_when_no_customer_is_left() {
    let with_customers = |customers| {
        RouteTable::new(ServiceConfig {
            customers,
            ..ServiceConfig::default()
        })
    };
    assert!(with_customers(Some(Vec::new())).requires_keys());
    assert!(with_customers(Some(Vec::new())).customer("key").is_none());
    assert!(!with_customers(None).requires_keys());
}

#[test]
fn weights_split_a_route() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![target("most", 3), target("none", 0), target("least", 1)];
    let table = RouteTable::default();
    let drawn: Vec<_> = (0..4)
        .filter_map(|draw| table.choose_service(&split, draw))
        .collect();
    assert_eq!(drawn, ["most", "most", "most", "least"]);
    split.targets = vec![target("none", 0)];
    assert_eq!(table.choose_service(&split, 7), None);
}

fn target(service: &str, weight: u64) -> RouteTarget {
    RouteTarget {
        service: service.to_owned(),
        weight,
    }
}

proptest! {
    /// The index agrees with a linear search over all routes.
    #[test]
    fn agrees_with_a_linear_search(
        prefixes in prop::collection::hash_set("(/[ab]{0,2}){0,3}/", 0..8),
        path in "(/[ab]{0,2}){0,4}",
    ) {
        let routes: Vec<_> = prefixes
            .iter()
            .map(|prefix| route(prefix, "a.example", prefix))
            .collect();
        let naive = routes
            .iter()
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
            .map(|route| route.name.clone());
        let table = RouteTable::new(ServiceConfig { routes, ..ServiceConfig::default() });
        let found = table.route("a.example", &path).map(|route| route.name.clone());
        prop_assert_eq!(found, naive);
    }
}
