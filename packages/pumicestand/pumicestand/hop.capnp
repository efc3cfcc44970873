@0xd3a1f0c29b7e4851;
# The messages that two nodes exchange on a link; hop_messages.py describes
# their fields. Times are in milliseconds.

struct HopFrame {
  union {
    hello @0 :Report;
    report @1 :Report;
    call @2 :Call;
    part @3 :Part;
    cancel @4 :UInt64;
    result @5 :Result;
    ping @6 :UInt32;
    pong @7 :UInt32;
    fetch @8 :UInt64;
    configuration @9 :Configuration;
    load @10 :Load;
    acting @11 :UInt64;
    relay @12 :Report;
    summary @13 :ZoneSummary;
    withdraw @14 :UInt64;
    freshnessRequest @15 :UInt32;
    freshnessReply @16 :FreshnessReply;
    quotaRequest @17 :QuotaRequest;
    quotaReply @18 :QuotaReply;
    sendBody @19 :UInt64;
    resume @20 :Resume;
    resumed @21 :Resumed;
  }
}

struct Target {
  instance @0 :Text;
  service @1 :Text;
  version @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  slots @5 :UInt16;
  state @6 :UInt8;
  startedMs @7 :UInt64;
}

struct Load {
  running @0 :UInt16;
  queued @1 :UInt16;
  slots @2 :UInt16;
  workMs @3 :Float32;
  failing @4 :Float32;
  slowness @5 :Float32;
  linkBusy @6 :Float32;
  bodyDelayMs @7 :Float32;
  nestedService @8 :Text;
  clientPriority @9 :UInt16;
  clientObjectiveMs @10 :Float32;
}

struct Evidence {
  route @0 :Text;
  version @1 :Text;
  calls @2 :UInt32;
  errors @3 :UInt32;
  workMs @4 :Float64;
  timed @5 :UInt32;
}

struct Verdict {
  service @0 :Text;
  version @1 :Text;
  state @2 :UInt8;
  durationMs @3 :UInt32;
  elapsedMs @4 :UInt32;
  key @5 :UInt64;
  revision @6 :UInt64;
  stored @7 :UInt8;
  era @8 :UInt32;
}

struct Suspect {
  mark @0 :UInt64;
  crashes @1 :UInt16;
  answers @2 :UInt16;
}

struct Report {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  zone @3 :Text;
  host @4 :Text;
  port @5 :UInt16;
  target @6 :Target;
  load @7 :Load;
  leaving @8 :Bool;
  storeReachable @9 :Bool;
  generation @10 :UInt64;
  evidence @11 :List(Evidence);
  verdicts @12 :List(Verdict);
  hasTarget @13 :Bool;
  linkRate @14 :Float64;
  suspects @15 :List(Suspect);
  storeEra @16 :UInt32;
  evacuations @17 :Evacuations;
  hasEvacuations @18 :Bool;
  # Set in a hello only.
  connection @19 :UInt64;
  acceptsCompressed @20 :Bool;
}

struct Evacuations {
  era @0 :UInt32;
  revision @1 :UInt64;
  zones @2 :List(Text);
}

struct FreshnessReply {
  number @0 :UInt32;
  generation @1 :UInt64;
  ageMs @2 :UInt32;
}

struct QuotaUse {
  organisation @0 :Text;
  used @1 :UInt32;
  wanted @2 :UInt32;
}

struct QuotaRequest {
  number @0 :UInt32;
  nodeCount @1 :UInt32;
  uses @2 :List(QuotaUse);
  slots @3 :UInt64;
  sentMs @4 :UInt32;
  acknowledged @5 :UInt32;
}

struct QuotaGrant {
  organisation @0 :Text;
  granted @1 :UInt32;
  delayMs @2 :UInt32;
  relaxed @3 :Bool;
}

struct QuotaReply {
  number @0 :UInt32;
  grants @1 :List(QuotaGrant);
}

struct Busy {
  version @0 :Text;
  calls @1 :UInt32;
}

struct ZoneSummary {
  zone @0 :Text;
  service @1 :Text;
  collector @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  evidence @5 :List(Evidence);
  busy @6 :List(Busy);
}

struct Call {
  id @0 :UInt64;
  service @1 :Text;
  version @2 :Text;
  instance @3 :Text;
  method @4 :Text;
  url @5 :Data;
  headers @6 :Data;
  leftMs @7 :UInt32;
  objectiveMs @8 :Int32;
  priority @9 :UInt16;
  route @10 :Text;
  requestId @11 :Text;
  idempotent @12 :Bool;
  inner @13 :Bool;
  repeated @14 :Bool;
  returned @15 :Bool;
  body @16 :Data;
  rest @17 :UInt32;
  expectedMs @18 :Float32;
  organisation @19 :Text;
  holdsBody @20 :Bool;
  probe @21 :Bool;
}

struct Part {
  id @0 :UInt64;
  body @1 :Data;
  last @2 :Bool;
}

struct Resume {
  connection @0 :UInt64;
  incarnation @1 :UInt64;
  ids @2 :List(UInt64);
}

struct Resumed {
  connection @0 :UInt64;
  notStarted @1 :List(UInt64);
  kept @2 :List(UInt64);
}

struct Result {
  id @0 :UInt64;
  outcome @1 :UInt8;
  code @2 :Text;
  retryAfterMs @3 :UInt32;
  status @4 :UInt16;
  reason @5 :Data;
  headers @6 :Data;
  body @7 :Data;
  rest @8 :UInt32;
  load @9 :Load;
  workMs @10 :Float32;
}

struct Configuration {
  generation @0 :UInt64;
  content @1 :Data;
}
