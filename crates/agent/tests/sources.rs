//! Limited sources: the agents that an agent fetches chunks from, and those that fetch from it.

use std::net::SocketAddr;

use agent::swarm::{receivers, sources};
use base::Set;
use proptest::prelude::*;
use wire::Peer;

/// Returns agents of one failure domain, sorted by VM in descending order.
fn agents(n: u16) -> Vec<Peer> {
    let peer = |i: u16| Peer {
        vm: format!("vm-{:03}", n - i),
        domain: "recife".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000 + i)),
        leaving: false,
    };
    (0..n).map(peer).collect()
}

/// Selects some of the other agents for an agent.
type Select = for<'a> fn(&String, &[&'a Peer]) -> Vec<&'a Peer>;

/// Returns the agents selected for each agent, as indices into the list.
fn graph(agents: &[Peer], select: Select) -> Vec<Vec<usize>> {
    let index = |vm: &str| {
        let found = agents.iter().position(|p| p.vm == vm);
        found.expect("the agent is in the list")
    };
    let edges = |own: &Peer| {
        let others: Vec<&Peer> = agents.iter().filter(|p| p.vm != own.vm).collect();
        let selected = select(&own.vm, &others);
        selected.iter().map(|p| index(&p.vm)).collect()
    };
    agents.iter().map(edges).collect()
}

/// Returns the number of steps after which all agents have a chunk that one agent has at first.
fn steps(graph: &[Vec<usize>], first: usize) -> usize {
    let mut have: Set<usize> = [first].into_iter().collect();
    let mut steps = 0;
    while have.len() < graph.len() {
        let receives = |i: &usize| graph[*i].iter().any(|source| have.contains(source));
        let next: Vec<usize> = (0..graph.len()).filter(receives).collect();
        have.extend(next);
        steps += 1;
        assert!(steps <= graph.len(), "some agents never receive the chunk");
    }
    steps
}

proptest! {
    #[test]
    fn has_as_many_receivers_as_sources(n in 1_u16..100) {
        let graph = graph(&agents(n), sources);

        let mut receiver_counts = vec![0; graph.len()];
        graph.iter().flatten().for_each(|source| receiver_counts[*source] += 1);

        for (i, sources) in graph.iter().enumerate() {
            prop_assert_eq!(sources.len(), receiver_counts[i]);
            prop_assert!(!sources.contains(&i));
            let distinct: Set<&usize> = sources.iter().collect();
            prop_assert_eq!(distinct.len(), sources.len());
        }
    }

    #[test]
    fn receivers_are_the_inverse_of_sources(n in 1_u16..100) {
        let agents = agents(n);

        let sources = graph(&agents, sources);
        let receivers = graph(&agents, receivers);

        for (i, receivers) in receivers.iter().enumerate() {
            prop_assert!(receivers.iter().all(|receiver| sources[*receiver].contains(&i)));
            prop_assert_eq!(receivers.len(), sources[i].len());
        }
    }

    #[test]
    fn distributes_a_chunk_in_logarithmic_steps(n in 1_u16..100) {
        let graph = graph(&agents(n), sources);

        for first in 0..graph.len() {
            let digits = (u16::BITS - n.leading_zeros()) as usize;
            prop_assert!(steps(&graph, first) <= digits);
        }
    }
}
