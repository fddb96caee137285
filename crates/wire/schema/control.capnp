@0xb1d3f5a7c9e80246;
# Control links: agent to entry and entry to entry. docs/CONTROL.md says what travels here and
# what on HTTP. Fields are only ever added at the end.

struct AgentInfo {
  vm @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  listen @3 :Text;
  peer @4 :Text;
  service @5 :Bool;
  repeatable @6 :Bool;
}

struct Holding {
  # A version this VM fetches, holds or has live.
  model @0 :Text;
  version @1 :Text;
  live @2 :Bool;
  permille @3 :UInt16;
}

struct Beat {
  revision @0 :UInt64;
  running @1 :UInt32;
  leaving @2 :Bool;
  holdings @3 :List(Holding);
  entriesSeen @4 :UInt64;
  sameHoldings @5 :Bool;
  # The holdings are those of the last heartbeat on this link and are left out.
}

struct Freshness {
  # The revision this process serves by, and how long ago the platform confirmed it.
  revision @0 :UInt64;
  ageMs @1 :UInt64;
}

struct BeatReply {
  fresh @0 :Freshness;
  intervalMs @1 :UInt32;
  leaving @2 :Bool;
  entriesSeen @3 :UInt64;
  entries @4 :List(Text);
}

struct Edition {
  revision @0 :UInt64;
  edit @1 :Text;
  author @2 :Text;
  atMs @3 :UInt64;
  # The table's text: so many lines from the head and the tail of the base revision's, and those
  # between. All of it stands in the middle where the base is 0.
  base @4 :UInt64;
  head @5 :UInt32;
  tail @6 :UInt32;
  middle @7 :Text;
  check @8 :UInt64;
}

struct Peer {
  vm @0 :Text;
  domain @1 :Text;
  addr @2 :Text;
  leaving @3 :Bool;
}

struct Replica {
  # An agent of another failure domain that has a version live.
  model @0 :Text;
  version @1 :Text;
  vm @2 :Text;
  listen @3 :Text;
  incarnation @4 :UInt64;
}

struct Rollout {
  # Agents of one failure domain that fetch or hold a version.
  version @0 :Text;
  peers @1 :List(Peer);
}

struct AgentDigest {
  # An agent that has joined the entry that tells of it.
  info @0 :AgentInfo;
  beat @1 :Beat;
}

struct Note {
  vm @0 :Text;
  domain @1 :Text;
  control @2 :Text;
  fresh @3 :Freshness;
  leaving @4 :Bool;
  entries @5 :List(Text);
  # State of what the sender tells, and the last state it has of the receiver's. What the receiver
  # has already is left out.
  state @6 :UInt64;
  seen @7 :UInt64;
  told @8 :Bool;
  # Within a failure domain.
  agents @9 :List(AgentDigest);
  # Between failure domains.
  replicas @10 :List(Replica);
  rollouts @11 :List(Rollout);
}

struct Claim {
  key @0 :Text;
  value @1 :Text;
  ttlS @2 :UInt64;
}

enum Claimed {
  won @0;
  taken @1;
  unknown @2;
  down @3;
}

interface Seat {
  beat @0 (beat :Beat) -> (reply :BeatReply);
  watch @1 (have :UInt64) -> (edition :Edition);
  peers @2 (version :Text) -> (peers :List(Peer));
  offer @3 (edition :Edition) -> ();
}

interface Entry {
  join @0 (info :AgentInfo) -> (seat :Seat);
  exchange @1 (note :Note) -> (note :Note);
  watch @2 (have :UInt64) -> (edition :Edition);
  claim @3 (claims :List(Claim)) -> (results :List(Claimed));
  offer @4 (edition :Edition) -> ();
}
