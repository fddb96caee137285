//! What other loaders have, and where chunks are passed on.

use std::net::SocketAddr;

use base::{Map, Model};
use beacon::{ChunkMap, Member, Msg, Role};
use catalog::WeightsVersion;
use web::{Request, Response, full, text};

use crate::Cx;
use crate::sets::Set;

/// Path of a chunk is this and `MODEL/VERSION/INDEX`.
pub(crate) const PATH: &str = "/chunks/";

/// Chunk maps of other loaders, by where they serve, model and version.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    maps: Map<(Model, WeightsVersion), Map<SocketAddr, ChunkMap>>,
}

impl Peers {
    /// Takes what a loader says it has.
    pub(crate) fn take(&mut self, map: ChunkMap) {
        let key = (map.model.clone(), map.version);
        self.maps.entry(key).or_default().insert(map.from, map);
    }

    /// What loaders have of a version of `n` chunks.
    pub(crate) fn have(
        &self,
        model: &Model,
        version: WeightsVersion,
        n: usize,
    ) -> Vec<(SocketAddr, Vec<bool>)> {
        let maps = self.maps.get(&(model.clone(), version));
        let all = maps.into_iter().flatten();
        all.map(|(addr, map)| (*addr, map.unpack(n))).collect()
    }
}

/// Other loaders.
pub(crate) fn loaders(cx: &Cx) -> Vec<Member> {
    let members = cx.members.borrow();
    let other = |m: &&Member| m.role == Role::Loader && m.vm != cx.cfg.node.vm;
    members.iter().filter(other).cloned().collect()
}

/// Tells other loaders which chunks of a version are held here.
pub(crate) fn announce(cx: &Cx, set: &Set, asks: bool) {
    let msg = chunk_map(cx, set, asks);
    cx.beacon.send(&msg, loaders(cx).iter().map(|m| m.beacon));
}

/// Tells one loader which chunks of a version are held here, if any are.
pub(crate) fn answer(cx: &Cx, map: &ChunkMap, to: SocketAddr) {
    if let Some(set) = cx.sets.get(&map.model, map.version) {
        cx.beacon.send(&chunk_map(cx, &set, false), [to]);
    }
}

fn chunk_map(cx: &Cx, set: &Set, asks: bool) -> Msg {
    Msg::Chunks(ChunkMap {
        from: cx.cfg.chunks,
        model: set.model.clone(),
        version: set.version,
        bits: ChunkMap::pack(&set.have()),
        asks,
    })
}

/// Answers `GET /chunks/MODEL/VERSION/INDEX`.
pub(crate) fn serve(cx: &Cx, req: &Request) -> Response {
    let chunk = req.uri().path().strip_prefix(PATH).and_then(|rest| {
        let mut parts = rest.split('/');
        let model = parts.next()?;
        let version = parts.next()?.parse().ok()?;
        let i = parts.next()?.parse().ok()?;
        cx.sets.get(model, version)?.get(i)
    });
    match chunk {
        Some(buf) => Response::new(full(buf)),
        None => text(404, "no such chunk here\n"),
    }
}
