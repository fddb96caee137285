//! Whom agents take chunks from where these are a few.

use std::net::SocketAddr;

use agent::swarm::{receivers, sources};
use base::Set;
use proptest::prelude::*;
use wire::Peer;

/// Agents of one failure domain, the last by VM first.
fn agents(n: u16) -> Vec<Peer> {
    let peer = |i: u16| Peer {
        vm: format!("vm-{:03}", n - i),
        domain: "recife".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000 + i)),
        leaving: false,
    };
    (0..n).map(peer).collect()
}

/// How some of all agents are chosen for one.
type Choose = for<'a> fn(&String, &[&'a Peer]) -> Vec<&'a Peer>;

/// Whom each agent is connected with, as places in the list.
fn graph(agents: &[Peer], choose: Choose) -> Vec<Vec<usize>> {
    let place = |vm: &str| {
        let found = agents.iter().position(|p| p.vm == vm);
        found.expect("an agent of the list")
    };
    let of = |own: &Peer| {
        let others: Vec<&Peer> = agents.iter().filter(|p| p.vm != own.vm).collect();
        let chosen = choose(&own.vm, &others);
        chosen.iter().map(|p| place(&p.vm)).collect()
    };
    agents.iter().map(of).collect()
}

/// Steps until a chunk that one agent has is everywhere.
fn steps(graph: &[Vec<usize>], first: usize) -> usize {
    let mut have: Set<usize> = [first].into_iter().collect();
    let mut steps = 0;
    while have.len() < graph.len() {
        let gets = |i: &usize| graph[*i].iter().any(|source| have.contains(source));
        let next: Vec<usize> = (0..graph.len()).filter(gets).collect();
        have.extend(next);
        steps += 1;
        assert!(steps <= graph.len(), "some never get it");
    }
    steps
}

proptest! {
    #[test]
    fn each_is_asked_by_as_many_as_it_asks(n in 1_u16..100) {
        let graph = graph(&agents(n), sources);

        let mut asked = vec![0; graph.len()];
        graph.iter().flatten().for_each(|source| asked[*source] += 1);

        for (i, sources) in graph.iter().enumerate() {
            prop_assert_eq!(sources.len(), asked[i]);
            prop_assert!(!sources.contains(&i));
            let different: Set<&usize> = sources.iter().collect();
            prop_assert_eq!(different.len(), sources.len());
        }
    }

    #[test]
    fn those_that_take_from_an_agent_are_those_whose_source_it_is(n in 1_u16..100) {
        let agents = agents(n);

        let sources = graph(&agents, sources);
        let receivers = graph(&agents, receivers);

        for (i, receivers) in receivers.iter().enumerate() {
            prop_assert!(receivers.iter().all(|taker| sources[*taker].contains(&i)));
            prop_assert_eq!(receivers.len(), sources[i].len());
        }
    }

    #[test]
    fn a_chunk_is_everywhere_after_as_many_steps_as_the_number_has_binary_digits(n in 1_u16..100) {
        let graph = graph(&agents(n), sources);

        for first in 0..graph.len() {
            let digits = (u16::BITS - n.leading_zeros()) as usize;
            prop_assert!(steps(&graph, first) <= digits);
        }
    }
}
