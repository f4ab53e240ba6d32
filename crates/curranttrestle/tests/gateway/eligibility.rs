//! Guards against sending a request to an endpoint in a region that its route or customer does not allow.

use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::evacuation::{EvacuationOptions, EvacuationState};
use curranttrestle::state::gateway::ServiceConfig;

use super::support::{at, config, entry, prompt, route};

/// The regions of the data centres `a` and `b`; that of `c` is not known.
const REGIONS: [(&str, &str); 2] = [("a", "north"), ("b", "south")];

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn limited(version: u64, route_regions: &[&str], customer_regions: &[&str]) -> ServiceConfig {
    let mut config = config(version);
    config.routes[0].allowed_regions = owned(route_regions);
    for customer in config.customers.iter_mut().flatten() {
        customer.allowed_regions = owned(customer_regions);
    }
    config
}

/// One engine in each of three data centres.
fn control(regions: &[(&str, &str)], config: ServiceConfig) -> Control {
    let regions = regions.iter();
    let mut control = Control::new(ControlOptions {
        regions: regions
            .map(|(name, region)| ((*name).to_owned(), (*region).to_owned()))
            .collect(),
        evacuation: Some(EvacuationOptions::default()),
        ..ControlOptions::default()
    });
    control.apply_config(config, 10, at(0).steady_ms);
    let entries = ["a", "b", "c"].into_iter().zip(0..);
    let entries = entries.map(|(data_centre, index)| {
        let mut entry = entry("model", index);
        data_centre.clone_into(&mut entry.data_centre);
        entry
    });
    control.directory.replace(entries.collect(), at(0));
    let none = EvacuationState {
        revision: 1,
        ..EvacuationState::default()
    };
    control.evacuations.record_read(none, at(0).steady_ms);
    control
}

/// The data centres to which a request may be sent, and the reason of its refusal. The request was
/// matched to a route without limits, as by an earlier configuration.
fn data_centres(control: &Control, customer: &str) -> (String, Option<&'static str>) {
    let (route, hints) = (
        route("drafts", "host.example", "/drafts/"),
        prompt(1, 100, 100),
    );
    let request = PlacementRequest {
        route: &route,
        service: "model",
        customer,
        hints: &hints,
        excluded: &[],
        is_retry: false,
        is_resumed: false,
        required_version: None,
    };
    let entries = control.directory.all_entries();
    let sent = entries.filter(|entry| {
        let run = endpoint_run(&entry.endpoint, entry.started_unix_ms);
        control.may_send(&entry.endpoint, run, request, at(0))
    });
    let sent: String = sent.map(|entry| entry.data_centre.as_str()).collect();
    let refusal = match control.place(request, at(0)) {
        Placement::Send(choice) => {
            assert!(sent.contains(&choice.entry.data_centre));
            None
        }
        Placement::Refuse { reason, .. } => Some(reason),
    };
    (sent, refusal)
}

/// The regions that a route and its customer allow, with the data centres to which a request may be sent
/// and the reason of its refusal.
type Case = (
    &'static [&'static str],
    &'static [&'static str],
    &'static str,
    Option<&'static str>,
);

#[test]
fn request_is_sent_to_regions_that_both_its_route_and_its_customer_allow() {
    let cases: [Case; 7] = [
        (&[], &[], "abc", None),
        (&["north"], &[], "a", None),
        (&[], &["south", "west"], "b", None),
        (&["north", "south"], &["south"], "b", None),
        (&["north"], &["south"], "", Some("region")),
        (&["west"], &[], "", Some("region")),
        (&["north", "south"], &["north", "south"], "ab", None),
    ];
    for (route_regions, customer_regions, sent, refusal) in cases {
        let control = control(&REGIONS, limited(5, route_regions, customer_regions));
        let expected = (sent.to_owned(), refusal);
        assert_eq!(data_centres(&control, "customer"), expected);
    }
}

#[test]
fn limit_of_a_customer_does_not_concern_others() {
    let control = control(&REGIONS, limited(5, &[], &["south"]));
    assert_eq!(data_centres(&control, ""), ("abc".to_owned(), None));
    assert_eq!(data_centres(&control, "another"), ("abc".to_owned(), None));
}

#[test]
fn limits_of_a_new_configuration_apply_to_requests_that_arrived_before_it() {
    let mut control = control(&REGIONS, config(5));
    assert_eq!(data_centres(&control, "customer"), ("abc".to_owned(), None));
    control.apply_config(limited(6, &["south"], &[]), 11, at(1).steady_ms);
    assert_eq!(data_centres(&control, "customer"), ("b".to_owned(), None));
}

/// Settings without regions belong to deployments in which they do not matter.
#[test]
fn regions_do_not_matter_if_the_settings_have_none() {
    let control = control(&[], limited(5, &["north"], &["south"]));
    assert_eq!(data_centres(&control, "customer"), ("abc".to_owned(), None));
}

#[test]
fn evacuation_of_the_only_allowed_region_refuses_the_request() {
    let mut control = control(&REGIONS, limited(5, &["south"], &[]));
    let state = EvacuationState {
        revision: 7,
        data_centres: ["b".to_owned()].into_iter().collect(),
    };
    control.evacuations.record_read(state, at(0).steady_ms);
    let expected = (String::new(), Some("evacuated"));
    assert_eq!(data_centres(&control, "customer"), expected);
}
