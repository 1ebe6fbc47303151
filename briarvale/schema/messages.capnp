@0xb7c4e5a1d2f30918;
# Messages between Briarvale's processes. The suffix of a field name is its unit.

enum WorkClass { online @0; batch @1; }
enum VmHealth { alive @0; suspect @1; dead @2; leaving @3; }
enum ServerHealth { ready @0; draining @1; ejected @2; down @3; }
enum Outcome { finished @0; cancelled @1; failed @2; crashed @3; revoked @4; }

struct Challenge { nonce @0 :Data; }
struct Hello { vm @0 :Text; role @1 :Text; bootId @2 :Text; proof @3 :Data; }
struct Welcome { vm @0 :Text; }

struct SlotRequest {
  requestId @0 :Text;
  backendServer @1 :Text;
  member @2 :Text;
  workClass @3 :WorkClass;
  slotCount @4 :UInt16;
  costTokens @5 :UInt32;
  deadlineMs @6 :UInt64;
  fingerprint @7 :Text;
  startByMs @8 :UInt64;
  promptTokens @9 :UInt32;
  isSuspect @10 :Bool;
  traceparent @11 :Text;
  prefixIds @12 :List(Text);
  excluded @13 :List(Text);
  priority @14 :UInt16;
  availabilityZone @15 :Text;
  workedMs @16 :UInt32;
  # Token counts of the parts in `prefixIds`, in the same order; the last part is the request's own.
  prefixTokens @17 :List(UInt32);
  # Expected length of the answer; 0 if unknown.
  outputTokens @18 :UInt32;
}
struct SlotGrant {
  requestId @0 :Text;
  grantId @1 :Text;
  backendServer @2 :Text;
  slotCount @3 :UInt16;
  expiresAtMs @4 :UInt64;
  held @5 :UInt32;
  queued @6 :UInt32;
  limit @7 :UInt32;
}
struct SlotRefusal {
  requestId @0 :Text;
  code @1 :Text;
  retryAtMs @2 :UInt64;
  held @3 :UInt32;
  queued @4 :UInt32;
  limit @5 :UInt32;
}
struct SlotWithdraw { requestId @0 :Text; }
struct SlotRevoke { grantId @0 :Text; slotCount @1 :UInt16; reason @2 :Text; }
struct SlotRelease {
  grantId @0 :Text;
  outcome @1 :Outcome;
  tokens @2 :UInt32;
  timeBetweenTokensMs @3 :UInt32;
  backendServer @4 :Text;
  fingerprint @5 :Text;
  serverStartedAtMs @6 :UInt64;
  isServerDraining @7 :Bool;
  # Times since the request was sent, and the events of this run; all 0 if the answer was no stream.
  firstEventMs @8 :UInt32;
  lastEventMs @9 :UInt32;
  eventCount @10 :UInt32;
}
struct HeldGrant {
  grantId @0 :Text;
  backendServer @1 :Text;
  member @2 :Text;
  workClass @3 :WorkClass;
  slotCount @4 :UInt16;
  costTokens @5 :UInt32;
  fingerprint @6 :Text;
  pool @7 :Text;
}
struct HolderReport { grants @0 :List(HeldGrant); }
struct SlotHeartbeat { sequence @0 :UInt32; }

struct VmState {
  vm @0 :Text;
  host @1 :Text;
  region @2 :Text;
  availabilityZone @3 :Text;
  health @4 :VmHealth;
  incarnation @5 :UInt64;
  configRevision @6 :UInt64;
  runsBatch @7 :Bool;
}
struct ServerState {
  backendServer @0 :Text;
  owner @1 :Text;
  health @2 :ServerHealth;
  streams @3 :UInt32;
  queued @4 :UInt32;
  limit @5 :UInt32;
  observedAtMs @6 :UInt64;
  adapters @7 :List(Text);
}
struct ViewSubscribe { role @0 :Text; }
# A delta holds only the states that changed; the receiver keeps the others.
struct View {
  vms @0 :List(VmState);
  servers @1 :List(ServerState);
  configRevision @2 :UInt64;
  isDelta @3 :Bool;
}

struct ConfigFetch { haveRevision @0 :UInt64; }
struct ConfigDocument { name @0 :Text; digest @1 :Text; body @2 :Data; }
# Unless baseRevision is 0, `documents` has only the documents that changed since that revision, and
# `removed` the names of those that no longer exist.
struct ConfigBundle {
  revision @0 :UInt64;
  documents @1 :List(ConfigDocument);
  baseRevision @2 :UInt64;
  removed @3 :List(Text);
}

# A crash of a backend server, and when the attempt that it ended had begun.
struct CrashSite { backendServer @0 :Text; atMs @1 :UInt64; beganAtMs @2 :UInt64; }
# Crashes up to clearedAtMs no longer count against the request with this fingerprint.
struct SuspectNotice {
  fingerprint @0 :Text;
  crashes @1 :UInt16;
  quarantined @2 :Bool;
  expiresAtMs @3 :UInt64;
  sites @4 :List(CrashSite);
  clearedAtMs @5 :UInt64;
}

# A run that was lost, before it had answered, as its server crashed. `contentKeys` are hashes of what the
# request holds: its body, and the parts of its prompt that other requests may share.
struct CrashReport {
  backendServer @0 :Text;
  beganAtMs @1 :UInt64;
  atMs @2 :UInt64;
  contentKeys @3 :List(UInt64);
}
# A run with this content had answered at `atMs`, so that earlier crashes were not due to the content.
struct ContentClearance { contentKey @0 :UInt64; atMs @1 :UInt64; }

struct Probe {
  sequence @0 :UInt32;
  source @1 :Text;
  target @2 :Text;
  updates @3 :List(VmState);
  configRevision @4 :UInt64;
  servers @5 :List(ServerState);
  suspects @6 :List(SuspectNotice);
  crashes @7 :List(CrashReport);
  clearances @8 :List(ContentClearance);
}
struct ProbeAck {
  sequence @0 :UInt32;
  source @1 :Text;
  updates @2 :List(VmState);
  configRevision @3 :UInt64;
  servers @4 :List(ServerState);
  suspects @5 :List(SuspectNotice);
  crashes @6 :List(CrashReport);
  clearances @7 :List(ContentClearance);
}
struct ProbeRequest { sequence @0 :UInt32; source @1 :Text; target @2 :Text; }
struct ProbeNack { sequence @0 :UInt32; source @1 :Text; target @2 :Text; }
struct Gossip {
  source @0 :Text;
  updates @1 :List(VmState);
  configRevision @2 :UInt64;
  servers @3 :List(ServerState);
  suspects @4 :List(SuspectNotice);
  crashes @5 :List(CrashReport);
  clearances @6 :List(ContentClearance);
}
struct StateFetch { vm @0 :Text; }
struct StateSnapshot {
  vms @0 :List(VmState);
  servers @1 :List(ServerState);
  suspects @2 :List(SuspectNotice);
  crashes @3 :List(CrashReport);
  clearances @4 :List(ContentClearance);
}

struct FeedRow {
  name @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isDeleted @3 :Bool;
  isJson @4 :Bool;
}
# `number` tells subscriptions and list requests of one connection apart; each response repeats it.
struct FeedSubscribe { kind @0 :Text; revision @1 :UInt64; number @2 :UInt32; }
struct FeedUpdate {
  kind @0 :Text;
  revision @1 :UInt64;
  rows @2 :List(FeedRow);
  number @3 :UInt32;
}
struct FeedList { kind @0 :Text; number @1 :UInt32; }
struct FeedLost { kind @0 :Text; number @1 :UInt32; }
struct FeedBeat { sequence @0 :UInt32; }

# A node requests tokens of a workspace, or only renews or ends the delegation of its share (`tokenCount` 0).
# `ownerEpoch` and `stampMs` repeat the owner's last answer, which arrived `sinceStampMs` ago.
struct RateRequest {
  requestId @0 :UInt64;
  group @1 :UInt16;
  workspace @2 :Text;
  tokenCount @3 :UInt16;
  ratePerS @4 :Float64;
  burst @5 :Float64;
  configVersion @6 :UInt64;
  isDelegating @7 :Bool;
  isTolerance @8 :Bool;
  ownerEpoch @9 :UInt64;
  stampMs @10 :UInt64;
  sinceStampMs @11 :UInt64;
}
# `isPartial`: the owner does not know the past, or not all shares, so that it may refuse too much.
struct RateAnswer {
  requestId @0 :UInt64;
  granted @1 :UInt16;
  retryAfterMs @2 :UInt32;
  isPartial @3 :Bool;
  ownerEpoch @4 :UInt64;
  stampMs @5 :UInt64;
}

struct Envelope {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    slotRequest @3 :SlotRequest;
    slotGrant @4 :SlotGrant;
    slotRefusal @5 :SlotRefusal;
    slotWithdraw @6 :SlotWithdraw;
    slotRevoke @7 :SlotRevoke;
    slotRelease @8 :SlotRelease;
    holderReport @9 :HolderReport;
    viewSubscribe @10 :ViewSubscribe;
    view @11 :View;
    configFetch @12 :ConfigFetch;
    configBundle @13 :ConfigBundle;
    suspectNotice @14 :SuspectNotice;
    probe @15 :Probe;
    probeAck @16 :ProbeAck;
    probeRequest @17 :ProbeRequest;
    probeNack @18 :ProbeNack;
    gossip @19 :Gossip;
    stateFetch @20 :StateFetch;
    stateSnapshot @21 :StateSnapshot;
    slotHeartbeat @22 :SlotHeartbeat;
    feedSubscribe @23 :FeedSubscribe;
    feedUpdate @24 :FeedUpdate;
    feedLost @25 :FeedLost;
    feedBeat @26 :FeedBeat;
    feedList @27 :FeedList;
    rateRequest @28 :RateRequest;
    rateAnswer @29 :RateAnswer;
  }
}
