@0xd2b7c1a95e604f38;
# RPC interface between gateways. CONTRIBUTING.md describes how to regenerate src/fleet_capnp.rs.

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
  # A hash of its data centre if it takes requests that other gateways forward, otherwise 0.
  forwardingDataCentre @7 :UInt32;
  # Whether it implements `recordStreams` and `findStream`.
  holdsStreamRecords @8 :Bool;
  # A hash of its data centre if it implements `issuePermit`, otherwise 0.
  permitsDataCentre @9 :UInt32;
}

# The pools whose upstreams a gateway does not reach, identified by hashes of their names.
struct Partition {
  router @0 :UInt64;
  ageMillis @1 :UInt32;
  pools @2 :List(UInt64);
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

# The crash of an upstream's process while it ran a request.
struct Crash {
  upstream @0 :UInt64;
  software @1 :UInt64;
  ageMillis @2 :UInt32;
}

# The sends of a suspected request that a gateway has in progress.
struct UnderWay {
  router @0 :UInt64;
  sends @1 :UInt8;
  ageMillis @2 :UInt32;
}

# A request during which upstreams crashed, identified by its digest.
struct Suspicion {
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  crashes @2 :List(Crash);
  answered @3 :Bool;
  answeredAgeMillis @4 :UInt32;
  underWay @5 :List(UnderWay);
}

# The crash of an upstream's process while it ran a request with a part of a prompt; `request` is a hash of it.
struct PartCrash {
  upstream @0 :UInt64;
  software @1 :UInt64;
  request @2 :UInt64;
  sentAgeMillis @3 :UInt32;
  ageMillis @4 :UInt32;
}

# A part of prompts during whose requests upstreams crashed, identified by its digest.
struct PartSuspicion {
  part @0 :UInt64;
  # A hash of the name of the pool that the requests are sent to.
  pool @1 :UInt64;
  crashes @2 :List(PartCrash);
  answered @3 :Bool;
  answeredAgeMillis @4 :UInt32;
  # Complete responses of the pool to other requests since the first crash.
  otherResponses @5 :UInt32;
  underWay @6 :List(UnderWay);
}

# A position in the log of updates of one incarnation of a gateway; a life of 0 means no position.
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
  # The position in the sender's log up to which this message contains its reads.
  told @8 :NewsPosition;
  # The position in the receiver's log up to which the sender has received its reads.
  heard @9 :NewsPosition;
  # Digest of the members that the sender knows; 0 if the sender does not support member states.
  roster @10 :UInt64;
  # Replace `members` and `loads` if both ends know the same members or hold the same list; encoded
  # as the compact states of bendhinge_fleet.
  memberStates @11 :Data;
  loadStates @12 :Data;
  # Whether the sender requests only the members.
  probe @13 :Bool;
  # Recent changes of the quarantine, or all of its current histories, and a digest of the latter.
  suspicions @14 :List(Suspicion);
  quarantine @15 :UInt64;
  # Replaces `loadStates` for long lists; contains only the high loads.
  highLoads @16 :Data;
  # Whether the sender holds a part of an upstream list but no complete one.
  begun @17 :Bool;
  # In a request to the preferred relay, the subtotal of the figures of the sender and of the gateways that use it as
  # their relay; in the response, the totals of the fleet. Encoded as PackedTotals of bendhinge_fleet.
  totals @18 :Data;
  # The gateways that do not reach all pools, and those that reach them again since recently.
  partitions @19 :List(Partition);
  # The same as `suspicions` and `quarantine` for parts of prompts.
  partSuspicions @20 :List(PartSuspicion);
  partQuarantine @21 :UInt64;
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
  # The rest of the warm-up that the upstream reported, and the revision of that report; 0 means no warm-up.
  warmUpLeftMillis @8 :UInt32;
  warmUpSaid @9 :UInt64;
  # The start time of its process in milliseconds since the Unix epoch, and a hash of its software; 0 if not reported.
  born @10 :UInt64;
  software @11 :UInt64;
}

# The software that began a stream, identified by a keyed hash of its customer and first request. A software of 0 means
# that several streams have this hash and were begun by different software.
struct StreamRecord {
  stream @0 :UInt64;
  software @1 :UInt64;
  expiresInMillis @2 :UInt32;
}

# Software that upstreams of a pool run or have run; pool and software are hashes.
struct ServedSoftware {
  pool @0 :UInt64;
  software @1 :UInt64;
  # Time since it was last listed.
  ageMillis @2 :UInt32;
}

# A snapshot of a document at the time of the request.
interface Document {
  read @0 (offset :UInt32) -> (bytes :Data);
}

# Counts a request to an upstream until it is released.
interface Permit {}

interface Fleet {
  exchange @0 (message :PeerMessage) -> (message :PeerMessage);
  # With `inPieces`, `document` is the first chunk of `length` bytes and the others are read from `rest`.
  # A length of 0 means that `document` is complete.
  rules @1 (inPieces :Bool) -> (known :Known, document :Data, length :UInt32, rest :Document);
  # Returns a delta relative to the list with the digest `base` if it is still retained: `list` contains the new
  # and changed entries, `gone` the hashes of the names that were removed, and the returned `base` is that digest.
  # Otherwise `base` is 0 and the list is complete. `drained` names all drained data centres in both cases.
  # With `inPieces`, a complete list is returned in chunks: `list` is the first chunk of `length` entries, and
  # `listPiece` returns the others. A length of 0 means that `list` is complete.
  upstreams @2 (base :UInt64, inPieces :Bool) -> (known :Known, list :List(Upstream), base :UInt64, gone :List(UInt64), drained :List(Text), length :UInt32);
  # Returns the reads of the parts whose ID modulo `pages` is `page`; 0 pages mean one page.
  reads @3 (page :UInt32, pages :UInt32) -> (reads :List(Read), informed :Bool);
  # Returns entries of the list with this digest, starting at index `from`; none if the list is no longer retained.
  listPiece @4 (digest :UInt64, from :UInt32) -> (list :List(Upstream));
  # Returns the partial list that a gateway uses after startup until it has a complete one; `drained` as above.
  listPart @5 () -> (list :List(Upstream), drained :List(Text));
  # Hands over records of streams.
  recordStreams @6 (records :List(StreamRecord)) -> ();
  # Returns the record of a stream, if there is one, and the software that the upstreams of its pool have run; a pool of
  # 0 stands for all pools. No other software was listed within `watchedMillis`.
  findStream @7 (stream :UInt64, pool :UInt64) -> (records :List(StreamRecord), watchedMillis :UInt32, served :List(ServedSoftware));
  # Returns a permit to send a request to the upstream, and the number of other requests there. There is no permit if
  # that number has reached the limit. A permit expires after its lifetime.
  issuePermit @8 (upstream :UInt64, limit :UInt32, lifetimeMillis :UInt32) -> (inProgress :UInt32, permit :Permit);
}
