//! Priorities of the routes of a service.

use std::time::Duration;

use base::Map;
use catalog::{
    Access, Catalog, Engine, Priorities, RequestLimits, Route, RouteKind, Service, Share,
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

    assert_eq!(distinct("llm"), [0, 2]);
    assert_eq!(distinct("other"), [1, 2]);
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
    let priorities = Priorities::of("llm", &routes);

    let bound = |priority, ms| {
        let objective = priorities.bound_objective(priority, Duration::from_millis(ms));
        objective.as_millis()
    };

    assert_eq!(
        (bound(0, 700), bound(1, 900), bound(2, 900)),
        (700, 400, 200)
    );
    assert_eq!(bound(1, 100), 100);
    assert!(priorities.differ());
    assert!(!Priorities::of("llm", &routes[1..]).differ());
}
