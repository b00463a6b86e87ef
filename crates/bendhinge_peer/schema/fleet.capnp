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

# The end of an upstream's process under a request.
struct Crash {
  upstream @0 :UInt64;
  software @1 :UInt64;
  ageMillis @2 :UInt32;
}

# A gateway's sends of a suspected request.
struct UnderWay {
  router @0 :UInt64;
  sends @1 :UInt8;
  ageMillis @2 :UInt32;
}

# A request under which upstreams crashed, by its digest.
struct Suspicion {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  crashes @2 :List(Crash);
  answered @3 :Bool;
  answeredAgeMillis @4 :UInt32;
  underWay @5 :List(UnderWay);
}

# Up to where the news of one life of a gateway were told; a life of 0 is none.
struct NewsPosition {
  life @0 :UInt64;
  number @1 :UInt64;
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
  # Up to where this message tells of the sender's reads.
  told @8 :NewsPosition;
  # Up to where the sender was told of the receiver's.
  heard @9 :NewsPosition;
  # Which members the sender knows; 0 from one that knows no states.
  roster @10 :UInt64;
  # In place of members and loads, where both ends know the same members, or hold the same list: what
  # bendhinge_fleet calls MemberStates and LoadStates.
  memberStates @11 :Data;
  loadStates @12 :Data;
  # Whether the sender wants to know of members alone.
  probe @13 :Bool;
  # What changed lately of suspected requests, or all that matters of them, and a digest of all that matters.
  suspicions @14 :List(Suspicion);
  quarantine @15 :UInt64;
  # In place of loadStates where the list is long: what bendhinge_fleet calls HighLoads.
  highLoads @16 :Data;
  # Whether the sender holds a part of a list of upstreams, and no whole one yet.
  begun @17 :Bool;
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
  # What was left of its warm-up when it said so, and the revision at which it did; 0 is no warm-up.
  warmUpLeftMillis @8 :UInt32;
  warmUpSaid @9 :UInt64;
  # When its process started, in milliseconds since 1970, and a hash of what it runs; 0 if it does not say.
  born @10 :UInt64;
  software @11 :UInt64;
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
  # Against the list of which the asker gives the digest, if it is remembered: `list` holds what is new or
  # differs and `gone` the hashes of names that are not listed any more, and `base` is that digest. Else `base` is 0
  # and the list is whole. `drained` names all data centres that are drained, in both cases.
  # A whole list comes in pieces if `inPieces`: this is the first of `length` entries, the others are read by `listPiece`.
  # A length of 0 says that the list is whole.
  upstreams @2 (base :UInt64, inPieces :Bool) -> (known :Known, list :List(Upstream), base :UInt64, gone :List(UInt64), drained :List(Text), length :UInt32);
  # Of the parts whose number leaves `page` when divided by `pages`; 0 pages are one.
  reads @3 (page :UInt32, pages :UInt32) -> (reads :List(Read), informed :Bool);
  # Entries of the list with this digest from the one at `from` on; none if the list is not remembered any more.
  listPiece @4 (digest :UInt64, from :UInt32) -> (list :List(Upstream));
  # The part of a list with which one that has just started begins; `drained` as above.
  listPart @5 () -> (list :List(Upstream), drained :List(Text));
}
