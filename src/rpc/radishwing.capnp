@0xb7f3a1c2d4e59610;

# RPC between radishwing's own processes. Served by each control process to the
# entry beside it and to the other control processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("radishwing::rpc");

# --- Common values ---------------------------------------------------------

struct Hello {
  host @0 :Text;          # Name of the entry host, from the process settings.
  dataCentre @1 :Text;
  incarnation @2 :UInt64; # Start time in ms since the Unix epoch.
  address @3 :Text;       # "ip:port" at which this control is reached; empty for an entry.
}

struct SettingsText {
  revision @0 :UInt64;    # 0: none known.
  text @1 :Text;          # The whole tree, JSON with comments.
  changeId @2 :Text;
  author @3 :Text;
}

struct RunnerInfo {
  id @0 :Text;
  service @1 :Text;
  host @2 :Text;
  dataCentre @3 :Text;
  rack @4 :Text;
  address @5 :Text;       # "ip:port"
  slots @6 :UInt16;
  connections @7 :UInt16;
  acceptsWork @8 :Bool;   # False while the host drains or the runner leaves.
  hostEpoch @9 :UInt64;
}

struct RunnerTable {
  version @0 :UInt64;     # Grows with each change; local to one control incarnation.
  runners @1 :List(RunnerInfo);
}

struct TeamTokens {
  team @0 :Text;
  count @1 :UInt32;
  epoch @2 :UInt64;
}

struct TeamUsage {
  team @0 :Text;
  pool @1 :Text;
  slotMillis @2 :UInt64;  # Slot time used since the last report, in ms.
  queued @3 :UInt32;      # Requests waiting now.
  running @4 :UInt32;     # Requests running now.
}

struct HostInFlight {
  host @0 :Text;
  count @1 :UInt32;
}

struct ServiceCounters {
  service @0 :Text;
  team @1 :Text;
  answered @2 :UInt64;
  refused @3 :UInt64;
  unknown @4 :UInt64;
  late @5 :UInt64;
}

# --- Authentication --------------------------------------------------------

# The bootstrap capability. Both sides prove the fleet secret: the MAC of the
# caller is HMAC-SHA-256(secret, "join" + role + serverNonce + clientNonce + host + incarnation);
# that of the server is HMAC-SHA-256(secret, "accept" + clientNonce + serverNonce).
interface Gate {
  challenge @0 () -> (serverNonce :Text);
  joinPeer @1 (hello :Hello, serverNonce :Text, clientNonce :Text, mac :Text)
      -> (mac :Text, peer :Peer, hello :Hello);
  joinEntry @2 (hello :Hello, serverNonce :Text, clientNonce :Text, mac :Text)
      -> (mac :Text, session :EntrySession);
}

# --- Entry and its control -------------------------------------------------

enum ClaimState {
  fresh @0;        # Recorded at both copies; the request may run.
  running @1;      # Another request with this identifier runs.
  finished @2;     # It has ended; outcome and status are set.
  conflict @3;     # Same identifier, other content.
  unavailable @4;  # A copy cannot be asked.
}

enum Outcome {
  none @0;
  answered @1;
  notRun @2;
  unknown @3;
}

struct Claim {
  requestId @0 :Text;
  team @1 :Text;
  digest @2 :Text;   # SHA-256 of method, target and declared body length.
  owner @3 :Text;    # "<host>#<incarnation>/<n>" of the entry that runs the request.
}

struct ClaimAnswer {
  state @0 :ClaimState;
  outcome @1 :Outcome;
  status @2 :UInt16;
}

enum JobVerb {
  submit @0;
  state @1;
  cancel @2;
  result @3;
}

struct JobRequest {
  verb @0 :JobVerb;
  service @1 :Text;
  team @2 :Text;
  jobId @3 :Text;
  idempotent @4 :Bool;
  body @5 :Data;
  cores @6 :UInt32;
  memoryMb @7 :UInt32;
  accelerators @8 :UInt32;
  longestRunSeconds @9 :UInt32;
}

struct JobAnswer {
  status @0 :UInt16;   # HTTP status for the caller.
  reason @1 :Text;     # Stable reason code; empty on success.
  body @2 :Data;       # JSON state, or the result.
}

interface EntrySession {
  # Sent every second and after each change of the applied versions.
  report @0 (settingsRevision :UInt64, tableVersion :UInt64,
             usage :List(TeamUsage), inFlight :List(HostInFlight),
             heldTokens :List(TeamTokens), counters :List(ServiceCounters)) -> ();
  # Answers when something newer than the named versions exists, or after 5 s
  # with the same versions.
  nextSnapshot @1 (settingsRevision :UInt64, tableVersion :UInt64)
      -> (settings :SettingsText, table :RunnerTable, cutOffMillis :UInt64);
  acquireTokens @2 (team :Text, want :UInt32) -> (granted :TeamTokens);
  returnTokens @3 (tokens :TeamTokens) -> ();
  claim @4 (claim :Claim) -> (answer :ClaimAnswer);
  finish @5 (requestId :Text, owner :Text, outcome :Outcome, status :UInt16) -> ();
  job @6 (request :JobRequest) -> (answer :JobAnswer);
  cancelRequest @7 (requestId :Text, team :Text) -> (found :Bool);
  # The entry's own callback, by which its control asks it to cancel requests.
  attach @8 (callback :EntryCallback) -> ();
}

interface EntryCallback {
  cancel @0 (requestId :Text, team :Text) -> (found :Bool);
}

# --- Control and control ---------------------------------------------------

struct MemberDigest {
  host @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  heartbeat @4 :UInt64;
  state @5 :MemberState;
  settingsRevision @6 :UInt64;   # In force at this member and its entry.
  hostEpochs @7 :UInt64;         # Sum version of host records in force there.
}

enum MemberState {
  alive @0;
  suspect @1;
  failed @2;
  left @3;
}

struct HostConfirmation {
  host @0 :Text;
  epoch @1 :UInt64;
  inFlight @2 :UInt32;
}

struct Digest {
  from @0 :Text;
  members @1 :List(MemberDigest);
  settingsRevision @2 :UInt64;     # Newest known here.
  confirmations @3 :List(HostConfirmation);  # Only hosts that are draining.
  usage @4 :List(TeamUsage);
  spareTokens @5 :List(TeamTokens);
  # Pairs of a hash of host and incarnation, and the heartbeat counter.
  beats @6 :List(UInt64);
}

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  fetchSettings @1 (afterRevision :UInt64) -> (settings :SettingsText);
  offerSettings @2 (settings :SettingsText) -> (revision :UInt64);
  lendTokens @3 (team :Text, epoch :UInt64, want :UInt32, taker :Text) -> (lent :TeamTokens);
  # Freezes lending in `epoch` and answers the balance. `settled` is false if the holder is in another epoch.
  tokenBalance @4 (team :Text, epoch :UInt64) -> (free :UInt32, inUse :UInt32, settled :Bool);
  claim @5 (claim :Claim, rosterEpoch :UInt64) -> (answer :ClaimAnswer);
  replicateClaim @6 (claim :Claim, rosterEpoch :UInt64) -> (answer :ClaimAnswer);
  finishClaim @7 (requestId :Text, owner :Text, outcome :Outcome, status :UInt16) -> ();
  cancelRequest @8 (requestId :Text, team :Text) -> (found :Bool);
  # Claims of which this peer should hold a copy under the roster of `rosterEpoch`.
  handOver @9 (rosterEpoch :UInt64, claims :List(Claim), answers :List(ClaimAnswer)) -> (accepted :Bool);
}
