@0xd2b7c1a95e604f38;
# What gateways say to each other. Regenerate src/fleet_capnp.rs as CONTRIBUTING.md says.

struct Known {
  revision @0 :UInt64;
  digest @1 :UInt64;
  ageMillis @2 :UInt32;
  held @3 :Bool;
}

struct Member {
  address @0 :UInt32;
  port @1 :UInt16;
  unused @2 :UInt64;
  ageMillis @3 :UInt32;
  leaving @4 :Bool;
  storeFailing @5 :Bool;
  linkMbps @6 :UInt32;
}

struct Load {
  upstream @0 :UInt64;
  inProgress @1 :UInt16;
  ageMillis @2 :UInt16;
}

struct Read {
  part @0 :UInt64;
  upstream @1 :UInt64;
  ageMillis @2 :UInt32;
}

struct Witness {
  router @0 :UInt64;
  ageMillis @1 :UInt32;
}

struct Doubt {
  upstream @0 :UInt64;
  answered @1 :Bool;
  answeredAgeMillis @2 :UInt32;
  witnesses @3 :List(Witness);
}

struct PeerMessage {
  sender @0 :Member;
  rules @1 :Known;
  upstreams @2 :Known;
  members @3 :List(Member);
  loads @4 :List(Load);
  reads @5 :List(Read);
  brief @6 :Bool;
  doubts @7 :List(Doubt);
}

struct Upstream {
  name @0 :Text;
  pool @1 :Text;
  address @2 :UInt32;
  port @3 :UInt16;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  draining @6 :Bool;
  made @7 :UInt64;
}

# A document as it was when it was asked for.
interface Document {
  read @0 (offset :UInt32) -> (bytes :Data);
}

interface Fleet {
  exchange @0 (message :PeerMessage) -> (message :PeerMessage);
  # In pieces: `document` is the first of `length` bytes, the others are read from `rest`. A length of
  # 0 says that the document is whole.
  rules @1 (inPieces :Bool) -> (known :Known, document :Data, length :UInt32, rest :Document);
  upstreams @2 () -> (known :Known, list :List(Upstream));
  # Of the parts whose number leaves `page` when divided by `pages`; 0 pages are one.
  reads @3 (page :UInt32, pages :UInt32) -> (reads :List(Read), informed :Bool);
}
