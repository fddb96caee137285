//! Allowed places of routes and workspaces.

use base::{Domains, Place};
use decide::residency::is_allowed;

fn domains() -> Domains {
    let list = [
        ("rec-a", "recife"),
        ("rec-b", "recife"),
        ("for-a", "fortaleza"),
    ];
    Domains::new(list.map(|(d, r)| (d.to_owned(), r.to_owned())).to_vec())
}

fn regions(names: &[&str]) -> Vec<Place> {
    names
        .iter()
        .map(|name| Place::Region((*name).to_owned()))
        .collect()
}

#[test]
fn empty_lists_allow_every_failure_domain() {
    assert!(is_allowed(&domains(), "for-a", &[], &[]));
    assert!(is_allowed(&domains(), "unknown", &[], &[]));
}

#[test]
fn list_allows_only_failure_domains_of_its_regions() {
    let recife = regions(&["recife"]);

    for (route, workspace) in [(&recife[..], &[][..]), (&[][..], &recife[..])] {
        assert!(is_allowed(&domains(), "rec-a", route, workspace));
        assert!(is_allowed(&domains(), "rec-b", route, workspace));
        assert!(!is_allowed(&domains(), "for-a", route, workspace));
    }
}

#[test]
fn route_and_workspace_lists_both_apply() {
    let (both, fortaleza) = (regions(&["recife", "fortaleza"]), regions(&["fortaleza"]));

    assert!(is_allowed(&domains(), "for-a", &both, &fortaleza));
    assert!(!is_allowed(&domains(), "rec-a", &both, &fortaleza));
    assert!(!is_allowed(
        &domains(),
        "rec-a",
        &regions(&["recife"]),
        &fortaleza
    ));
}

#[test]
fn failure_domain_of_unknown_region_is_in_no_allowed_place() {
    assert!(!is_allowed(
        &domains(),
        "unknown",
        &regions(&["recife"]),
        &[]
    ));
    assert!(!is_allowed(
        &Domains::default(),
        "rec-a",
        &regions(&["recife"]),
        &[]
    ));
}
