//! Signals: the log settings are read again, and a second stop ends at once.

mod common;

use base::Outcome;
use common::{Shape, World, row, until};
use lab::caller::RequestSpec;

const MODEL: &str = "changelog";

async fn ready_world() -> World {
    let shape = Shape {
        engines: 1,
        agent_lines: vec!["stop_notice: 20s".to_owned()],
        ..Shape::default()
    };
    let world = World::start(shape).await;
    let version = world.publish(1, 100_000);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), 1).await;
    world
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_settings_are_read_again_and_faulty_ones_change_nothing() {
    let world = ready_world().await;
    let vm = world.entry(0).vm;
    world.add_settings(&vm, "log_format: json");
    world.signal(&vm, "HUP");
    let read_again = async || world.log(&vm).contains("the log settings were read again");
    until("the log settings to be read again", read_again).await;
    let json = |line: &str| serde_json::from_str::<serde_json::Value>(line).is_ok();
    assert!(
        world.log(&vm).lines().last().is_some_and(json),
        "lines are JSON now"
    );
    world.add_settings(&vm, "log_level: loud");
    world.signal(&vm, "HUP");
    let refused = async || world.log(&vm).contains("logs stay as they are");
    until("the faulty settings to be refused", refused).await;
    let s = world
        .send(0, &RequestSpec::completion(MODEL, "still"))
        .await;
    assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_stop_ends_at_once() {
    let mut world = ready_world().await;
    let vm = world.upstream(0).vm;
    world.signal(&vm, "TERM");
    until("the planned stop to begin", async || {
        world.log(&vm).contains("stopping")
    })
    .await;
    world.signal(&vm, "TERM");
    assert_eq!(
        world.ended(&vm).await,
        Some(1),
        "it does not wait for its notice"
    );
    assert!(world.log(&vm).contains("ended by a second signal"));
}
