@0xb8e3a94c5d172f60;
# RPC interface between routers. CONTRIBUTING.md describes how to regenerate src/peer_capnp.rs.

struct Summary {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  ageMillis @3 :UInt32;
  leaving @4 :Bool;
  listRevision @5 :UInt64;
  configRevision @6 :UInt64;
  configDigest @7 :Data;
  upstreams @8 :List(UpstreamCount);
  classes @9 :List(Usage);
  customers @10 :List(Usage);
  platformFails @11 :Bool;
}

struct UpstreamCount {
  upstream @0 :UInt64;
  inProgress @1 :UInt16;
  reachable @2 :Bool;
}

struct Usage {
  pool @0 :UInt64;
  name @1 :UInt64;
  inProgress @2 :UInt16;
  refused @3 :UInt16;
}

struct Holder {
  name @0 :Text;
  incarnation @1 :UInt64;
  event @2 :UInt64;
  request @3 :UInt64;
}

struct PermitAnswer {
  event @4 :UInt64;
  inProgress @5 :UInt32;
  union {
    granted @0 :UInt64;
    atBound @1 :Void;
    elsewhere @2 :Text;
    notOwner @3 :Void;
  }
}

enum Claim {
  granted @0;
  alreadyTaken @1;
  alreadyRan @2;
  cannotVouch @3;
  full @4;
  notOwner @5;
}

enum OnceOutcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct ConfigAnswer {
  union {
    none @0 :Void;
    delta @1 :Data;
    whole @2 :Text;
  }
}

interface Peer {
  exchange @0 (summaries :List(Summary)) -> (summaries :List(Summary));
  acquire @1 (upstream :Text, holder :Holder, firstChoice :Bool, chat :UInt64, limit :UInt32) -> (answer :PermitAnswer);
  release @2 (permits :List(UInt64)) -> ();
  displaced @3 (chat :UInt64, upstream :Text) -> ();
  claimOnce @4 (key :Data, holder :Holder, declaredFirst :Bool) -> (claim :Claim, event :UInt64);
  settleOnce @5 (key :Data, holder :Holder, outcome :OnceOutcome) -> ();
  configuration @6 (base :Data) -> (answer :ConfigAnswer);
  members @7 (known :UInt64) -> (list :Data);
}
