@0xb1f0a4c27d9e3865;
# Frames between nodes. Fields are only ever added and unknown fields are
# ignored, so that nodes one release apart understand each other.

struct Accepted {
  generation @0 :UInt64;
  digest @1 :Data;  # SHA-256 of the content
}

struct Target {
  service @0 :Text;
  version @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  resources @4 :List(Text);
  slots @5 :UInt16;
  connections @6 :UInt16;
  state @7 :UInt8;  # TargetState
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  status @3 :UInt8;  # Status
  zone @4 :Text;
  region @5 :Text;
  host @6 :Text;
  port @7 :UInt16;
  operatorPort @8 :UInt16;
  targets @9 :List(Target);
}

struct MoveVerdict {
  move @0 :Text;
  stage @1 :UInt16;  # thousandths of the traffic, 65535 for a rollback
  reason @2 :Text;
  decidedAt @3 :Float64;  # seconds since the epoch
  decidedBy @4 :Text;
}

struct Quarantine {
  fingerprint @0 :UInt64;
  route @1 :Text;
  until @2 :Float64;  # seconds since the epoch
}

struct Rumour {  # messages.StateUpdate
  union {
    member @0 :Member;
    accepted @1 :Accepted;
    verdict @2 :MoveVerdict;
    quarantine @3 :Quarantine;
  }
}

struct Counters {
  move @0 :Text;
  route @1 :Text;
  newCalls @2 :UInt64;
  newErrors @3 :UInt64;
  newSlow @4 :UInt64;
  oldCalls @5 :UInt64;
  oldErrors @6 :UInt64;
  oldSlow @7 :UInt64;
}

struct Evidence {
  zone @0 :Text;
  counters @1 :List(Counters);
}

struct Frame {
  protocol @0 :UInt16;
  environment @1 :Text;
  sender @2 :Text;
  incarnation @3 :UInt64;
  stamp @4 :UInt64;
  acting @5 :UInt64;  # generation in force at the sender
  accepted @6 :Accepted;
  tableHash @7 :UInt64;
  rumours @8 :List(Rumour);
  union {
    none @9 :Void;
    ping @10 :UInt32;
    ack @11 :UInt32;
    indirectPing @12 :IndirectPing;
    fetch @13 :Accepted;
    content @14 :Content;
    sync @15 :Void;
    table @16 :Void;
    floorNotice @17 :Floor;
    floorAck @18 :Floor;
    floorQuery @19 :Text;
    floorAnswer @20 :Floor;
    evidence @21 :Evidence;
    refused @22 :Text;
  }
  confirmed @23 :UInt64;  # milliseconds since the epoch
  informed @24 :Bool;
}

struct IndirectPing {
  sequence @0 :UInt32;
  target @1 :Text;  # name of the member to ping
}

struct Content {
  accepted @0 :Accepted;
  compressed @1 :Data;  # by zlib
}

struct Floor {
  name @0 :Text;
  generation @1 :UInt64;
}
