@0xc1d5a9f0b7e34a61;

# Protocol between medlarpind daemons. Deadlines are sent as the time left, because the clocks of
# the daemons are not synchronised.

struct ShardTask {
  shard @0 :UInt32;
  leaf @1 :Text;
  # Other leafs that hold the shard at this index version, in order of preference.
  alternatives @2 :List(Text);
}

struct Batch {
  requestIdHigh @0 :UInt64;
  requestIdLow @1 :UInt64;
  team @2 :Text;
  service @3 :Text;
  query @4 :Text;
  indexVersion @5 :UInt64;
  timeLeftUs @6 :UInt64;
  idempotent @7 :Bool;
  # A canary batch has one task and runs under the fingerprint's canary lock.
  canary @8 :Bool;
  # True if another gatherer sent the batch as hedges or retries; it is not hedged again.
  extra @9 :Bool;
  tasks @10 :List(ShardTask);
  # First attempt number that the gatherer may use in leaf request ids.
  firstAttempt @11 :UInt32;
}

struct ShardResult {
  shard @0 :UInt32;
  union {
    rows @1 :List(Text);
    uncovered @2 :UncoveredReason;
  }
  # True if a leaf may have started to process this shard's request.
  mayHaveRun @3 :Bool;
}

enum UncoveredReason {
  versionGone @0;
  noReplica @1;
  deadlinePassed @2;
  leafRefused @3;
  leafLost @4;
  gathererLost @5;
  quarantined @6;
  invalidReply @7;
  queueFull @8;
  paused @9;
  noConnection @10;
}

struct BatchReply {
  results @0 :List(ShardResult);
  # Number of leaf requests in addition to the first one of each shard.
  extraLeafRequests @1 :UInt32;
  # Leafs that reported that they no longer hold the index version.
  versionGoneLeafs @2 :List(Text);
  quarantine @3 :Quarantine;
  # Total number of leaf requests sent.
  leafRequests @4 :UInt32;
  # Leafs of the group that are much slower than the others.
  slowLeafs @5 :List(Text);
}

struct Quarantine {
  # Zero if there is no quarantine.
  fingerprint @0 :UInt64;
  timeLeftMs @1 :UInt64;
}

struct CallerQuery {
  requestIdHigh @0 :UInt64;
  requestIdLow @1 :UInt64;
  team @2 :Text;
  service @3 :Text;
  query @4 :Text;
  # Empty means all shards.
  shards @5 :List(UInt32);
  timeLeftUs @6 :UInt64;
  ticket @7 :Text;
}

# The answer to a forwarded query; the body is the JSON that the caller receives.
struct CallerAnswer {
  httpStatus @0 :UInt16;
  body @1 :Data;
}

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  leaving @3;
}

struct MemberUpdate {
  vm @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  state @3 :MemberState;
}

struct Heartbeat {
  sender @0 :MemberUpdate;
  vmListRevision @1 :UInt64;
  settingsRevision @2 :UInt64;
  settingsDigest @3 :UInt64;
  updates @4 :List(MemberUpdate);
  quarantines @5 :List(Quarantine);
  # Address of the sender's RPC listener. A daemon that starts while the platform is down
  # learns from it where to fetch the settings and the VM list.
  senderAddress @6 :Text;
  # True if the sender depends on no earlier process of the receiver's VM: it holds no lease of a
  # team's units from that VM and waits for no units of removed VMs. Once all daemons have reported
  # this, a restarted receiver may use its shares of the teams' limits.
  clearOfReceiver @7 :Bool;
}

enum VmState {
  live @0;
  leaving @1;
}

struct Vm {
  name @0 :Text;
  rpcAddress @1 :Text;
  failureDomain @2 :Text;
  region @3 :Text;
  state @4 :VmState;
}

struct VmList {
  # Zero if the peer has no revision above the requested one.
  revision @0 :UInt64;
  vms @1 :List(Vm);
}

struct SettingsText {
  path @0 :Text;
  revision @1 :UInt64;
  text @2 :Text;
  # A later text of the same path that was rejected; revision 0 if there is none.
  rejectedRevision @3 :UInt64;
  rejectedText @4 :Text;
  # Hash of the text in force, if it is omitted because the receiver should have it; otherwise zero.
  knownHash @5 :UInt64;
}

struct SettingsTree {
  # Zero if the peer has no revision above the requested one.
  revision @0 :UInt64;
  texts @1 :List(SettingsText);
}

struct LeafGroup {
  service @0 :Text;
  failureDomain @1 :Text;
  index @2 :UInt32;
}

struct FormerHolder {
  vm @0 :Text;
  # Revision of the newest VM list that ranked the VM, or may have ranked it.
  lastRanked @1 :UInt64;
}

struct HolderHistory {
  group @0 :LeafGroup;
  # Revision of the newest VM list that the history covers.
  revision @1 :UInt64;
  # Current holders, and former ones that may still have connections.
  holders @2 :List(FormerHolder);
}

# Team limit whose units are lent.
enum TeamLimit {
  rate @0;
  concurrency @1;
}

interface Peer {
  gather @0 (batch :Batch) -> (reply :BatchReply);
  run @1 (query :CallerQuery) -> (answer :CallerAnswer);
  exchange @2 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  fetchSettings @3 (aboveRevision :UInt64) -> (tree :SettingsTree);
  borrowShare @4 (team :Text, limit :TeamLimit, borrower :Text, units :UInt64) -> (grantedUnits :UInt64, leaseMs :UInt64);
  fetchVmList @5 (aboveRevision :UInt64) -> (list :VmList);
  # The reply omits groups of which the peer does not have the complete history.
  fetchHolderHistory @6 (groups :List(LeafGroup)) -> (histories :List(HolderHistory));
}

# A daemon that serves published routes, and the time since any daemon last heard from it.
# Its data fits into two words, because lists of daemons make up most of the control traffic.
struct KnownDaemon {
  ipv4 @0 :UInt32;
  port @1 :UInt16;
  silentMs @2 :UInt32;
  # CPU capacity of the VM, in thousandths of a standard core.
  cpuMillicores @3 :UInt16;
  # Time since the start of the process; 0 if unknown.
  upMs @4 :UInt32;
}

# A request that a leaf was running when its connection broke or it fell silent, with no answer from any leaf.
struct CrashReport {
  fingerprint @0 :UInt64;
  leaf @1 :Text;
  # Hash of the request's identifier.
  requestHash @2 :UInt64;
  # Time since the leaf was lost.
  ageMs @3 :UInt32;
  # Identifies the request alone, whatever the service; 0 from a daemon of an older release.
  request @4 :UInt64;
  # Time since the leaf is last known to have lived before the request could end it; at least ageMs. 0 from a
  # daemon of an older release.
  intactAgeMs @5 :UInt32;
  # Only of a silent leaf: time since the leaf was last found to be silent.
  silentAgeMs @6 :UInt32;
}

# What a leaf states about the rate of requests that it takes from all daemons together.
struct LeafRate {
  leaf @0 :Text;
  # False if the leaf no longer states a limit.
  isLimited @1 :Bool;
  requestsPerS @2 :Float64;
  # Time since a daemon heard this of the leaf.
  ageMs @3 :UInt32;
}

# Address at which other daemons reach a daemon.
struct DaemonAddress {
  ipv4 @0 :UInt32;
  port @1 :UInt16;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

# An item of the platform's store, as published.
struct PublishedItem {
  key @0 :Text;
  # Empty if the item was withdrawn.
  value @1 :Data;
  isWithdrawn @2 :Bool;
}

# A failure domain that stays evacuated for a while after the store was restored from a copy that lacks
# the key of the evacuation.
struct KeptEvacuation {
  failureDomain @0 :Text;
  timeLeftMs @1 :UInt32;
}

# Protocol between daemons that serve published routes.
interface RoutePeer {
  # Exchanges the daemons that both sides know, their quarantined requests, the versions of their
  # configurations in force, 0 if there is none, their latest crash reports, and the evacuations that a
  # restored store lacks.
  greet @0 (sender :KnownDaemon, known :List(KnownDaemon), quarantines :List(Quarantine), configVersion :UInt64, crashes :List(CrashReport), keptEvacuations :List(KeptEvacuation)) -> (known :List(KnownDaemon), responder :KnownDaemon, quarantines :List(Quarantine), configVersion :UInt64, crashes :List(CrashReport), keptEvacuations :List(KeptEvacuation));
  # Returns all items at a revision of the store; revision 0 if the peer has not read them yet. era
  # rises each time the store is restored from a copy and gives revisions out again. passesEvacuations
  # tells that the items include the keys of evacuated failure domains, which a daemon of an older release
  # leaves out.
  publishedItems @1 () -> (revision :UInt64, items :List(PublishedItem), era :UInt64, passesEvacuations :Bool);
  # Waits for changes after a revision. If isWhole, the reply holds all published items, because the
  # peer does not know the individual changes. storeSilentMs is the time since the peer last heard
  # from the store. passesEvacuations has the same meaning as in publishedItems.
  publishedChanges @2 (afterRevision :UInt64, waitMs :UInt32, afterEra :UInt64) -> (revision :UInt64, storeSilentMs :UInt32, isWhole :Bool, items :List(PublishedItem), era :UInt64, passesEvacuations :Bool);
  # Serves a request on behalf of the sender, whose caller sent it ageMs ago: its VM is too small to
  # gather the query, or does not reach the leafs. If isServed is false, no leaf got the request, and
  # reaching names daemons that have served requests of the receiver lately. configVersion is that in force
  # on either side, or 0 if it is not known; a request is not served under another one. isProven
  # tells that leafs have answered an equal request of the sender lately. leaving has the runs of leafs
  # that have lately told the receiver that they leave. A daemon of an older release only serves queries over
  # many shards.
  serveRequest @3 (method :Text, path :Text, headers :List(Header), body :Data, ageMs :UInt32, timeLeftMs :UInt32, configVersion :UInt64, isProven :Bool) -> (isServed :Bool, status :UInt16, headers :List(Header), body :Data, reaching :List(DaemonAddress), configVersion :UInt64, leaving :List(Text));
  # Tells of crash reports that the receiver may not know; it passes on those that are new to it.
  reportCrashes @4 (reports :List(CrashReport)) -> ();
  # Tells of rates that leafs state; the receiver passes on those that change what it knows.
  reportLeafRates @5 (rates :List(LeafRate)) -> ();
  # Asks for permission to send one request to a leaf of whose rate the receiver permits the
  # requests. rate is what the sender knows, and knownRate what the receiver knows after the call; if
  # that is no limit, no permission is needed. If isPermitted is false, the sender may ask again
  # after waitMs.
  permitLeafRequest @6 (rate :LeafRate) -> (isPermitted :Bool, waitMs :UInt32, knownRate :LeafRate);
  # Returns the published text of the configuration in force; empty if there is none.
  publishedConfig @7 () -> (value :Data);
  # Tells of leafs that have been silent since requests were sent to them, and may have ended. The receiver passes
  # on those because of which it refuses equal requests.
  reportSilentLeafs @8 (reports :List(CrashReport)) -> ();
}
