//! Priorities of the routes of a service.

use std::sync::Arc;
use std::time::Duration;

use base::Map;
use catalog::{
    Access, Catalog, Engine, Iteration, Priorities, RequestLimits, Route, RouteKind, Service,
    Share, WorkspacePolicy, urgency,
};

fn route(priority: u8, objective_ms: u64, services: &[&str]) -> Route {
    let share = |service: &&str| Share {
        service: (*service).to_owned(),
        weight: 1,
    };
    Route {
        name: format!("r-{priority}-{objective_ms}"),
        host: "test.example".to_owned(),
        prefix: format!("/{priority}/{objective_ms}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(objective_ms),
        max_attempts: 1,
        priority,
        public: true,
        gap_objective: None,
        allowed_places: Vec::new(),
        shares: services.iter().map(share).collect(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        engine: Some(Engine {
            models: Vec::new(),
            layers: 1,
            prompt_rate: 30_000.0,
            chunk_bytes: 0,
            chunks: 0,
            iteration: Iteration::default(),
        }),
        origin: None,
        cold_rate: None,
        priorities: Priorities::default(),
    }
}

/// Guards against priorities of another service's routes, and against a route split between services counting for one.
#[test]
fn service_has_the_priorities_of_all_its_routes() {
    let routes = vec![
        route(2, 800, &["llm", "other"]),
        route(0, 400, &["llm"]),
        route(0, 300, &["llm"]),
        route(1, 100, &["other"]),
    ];
    let limits = RequestLimits {
        head_bytes: 1,
        body_bytes: 1,
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let services = ["llm", "other", "unused"].map(service).to_vec();
    let catalog = Catalog::new(1, routes, services, Access::Keys(Map::default()), limits);

    let distinct = |name: &str| {
        catalog
            .service(name)
            .expect("a service")
            .priorities
            .distinct()
    };

    assert_eq!(distinct("llm"), [(0, 0), (2, 2)]);
    assert_eq!(distinct("other"), [(1, 1), (2, 2)]);
    assert!(distinct("unused").is_empty());
}

/// Guards against a less urgent route with a long objective finding capacity where a more urgent one finds none.
#[test]
fn bound_objective_is_at_most_that_of_more_urgent_routes() {
    let routes = [
        route(0, 400, &["llm"]),
        route(1, 200, &["llm"]),
        route(1, 900, &["llm"]),
    ];
    let priorities = Priorities::of("llm", &routes, &Access::Open);

    let bound = |priority, ms| {
        let objective = priorities.bound_objective((priority, priority), Duration::from_millis(ms));
        objective.as_millis()
    };

    assert_eq!(
        (bound(0, 700), bound(1, 900), bound(2, 900)),
        (700, 400, 200)
    );
    assert_eq!(bound(1, 100), 100);
    assert!(priorities.differ());
    assert!(!Priorities::of("llm", &routes[1..], &Access::Open).differ());
}

/// Guards against routes that count alike because all workspaces have the same priority, and against a workspace's own
/// priority that goes after its route's.
#[test]
fn workspace_priority_precedes_that_of_the_route() {
    let routes = [route(0, 400, &["llm"]), route(2, 800, &["llm"])];
    let keys = [("a", Some(1)), ("b", Some(1)), ("c", Some(0))];
    let access = Access::Keys(
        keys.into_iter()
            .map(|(key, p)| (key.to_owned(), workspace(p)))
            .collect(),
    );

    let priorities = Priorities::of("llm", &routes, &access);

    assert_eq!(priorities.distinct(), [(0, 0), (0, 2), (1, 0), (1, 2)]);
    assert_eq!(urgency(&routes[1], Some(1)), (1, 2));
    assert_eq!(urgency(&routes[1], None), (2, 2));
}

/// Guards against admission by priority where only workspaces differ: routes decide whether it takes effect.
#[test]
fn workspaces_alone_make_no_difference() {
    let routes = [route(1, 400, &["llm"]), route(1, 800, &["llm"])];
    let keys = [("a", Some(0)), ("b", None)];
    let access = Access::Keys(
        keys.into_iter()
            .map(|(key, p)| (key.to_owned(), workspace(p)))
            .collect(),
    );

    assert!(!Priorities::of("llm", &routes, &access).differ());
}

fn workspace(priority: Option<u8>) -> Arc<WorkspacePolicy> {
    Arc::new(WorkspacePolicy {
        workspace: "w".to_owned(),
        priority,
        allowed_places: Vec::new(),
    })
}
