namespace py clementinewood

// The envelope of every record. The field `mac` stays the last one and has the
// highest number: readers authenticate the bytes before it without decoding
// them.
struct Record {
  1: i32 format
  2: binary id
  3: string author
  4: i32 kind
  5: binary payload
  32: binary mac
}

struct BundleAccepted {
  1: i64 expected
  2: i64 version
  3: bool delta
  4: binary content
  5: binary digest
}

struct Joined {
  1: string incarnation
  2: string entry
  3: string host
  4: i32 port
  5: string zone
  6: i32 newest_format
}

struct Removed {
  1: string incarnation
  2: i64 expected
}

struct Suspected {
  1: string incarnation
}

struct Refuted {
  1: i64 offset
  2: bool flushed
  3: bool complete
  // Earlier writers leave out what follows.
  4: list<string> debts = []
  5: i64 opened = -1
}

struct Closed {
  1: string incarnation
  2: map<string, i64> given
  3: map<string, i64> received
}

struct Left {
  1: string incarnation
  2: bool complete
}

struct WorkerAssigned {
  1: string worker
  2: string pool
  3: i64 expected
  4: i64 pool_version
  5: double valid_until
}

struct MaintenanceStep {
  1: string worker
  2: string step
  3: i64 expected
  4: double valid_until
  5: string purpose
  6: optional string target
  7: string boot
  8: i64 pool_version
}

struct RollStep {
  1: i64 bundle
  2: string zone
  3: string action
  4: i64 expected
  5: double valid_until
  6: string reason
}

struct PlannerLease {
  1: string holder
  2: i64 expected
  3: double seconds
}

struct MaintenancePause {
  1: bool paused
  2: i64 expected
  3: double valid_until
}

struct Snapshot {
  1: i64 next_offset
  2: binary content
}

struct Claim {
  1: string team
  2: binary key_digest
  3: binary request_digest
  4: string request
  5: string claimant
  6: bool outage
}

struct ClaimOutcome {
  1: string team
  2: binary key_digest
  3: string request
  4: string execution
}

struct Claims {
  1: list<Claim> claims
  2: list<ClaimOutcome> outcomes
}

// What follows is the content of a snapshot.

struct MemberImage {
  1: string incarnation
  2: string entry
  3: string host
  4: i32 port
  5: string zone
  6: i64 joined_offset
  7: i32 newest_format
}

struct AcceptedImage {
  1: i64 version
  2: string operator
  3: string digest
  4: i64 offset
  5: double time
  6: string author
}

// Runs are pairs of a first place and a count; places count the workers, or
// the resources, in the order in which the bundle declares them.

// Columns hold a value for each run of hosts that have the same one; the
// hosts stand in the order in which the bundle declares them, then by name.

struct TextColumn {
  1: list<string> values
  2: list<i32> counts
}

struct IntColumn {
  1: list<i64> values
  2: list<i32> counts
}

struct TimeColumn {
  1: list<double> values
  2: list<i32> counts
}

// Most hosts were last changed, and many assigned, when they were maintained;
// a time of -1 stands for that one.
struct HostsImage {
  1: list<string> others
  2: list<i32> missing
  3: TextColumn pool
  4: IntColumn version
  5: TextColumn step
  6: TextColumn purpose
  7: TextColumn target
  8: TextColumn boot
  9: IntColumn revision
  10: TimeColumn maintained
  11: TimeColumn since
  12: TimeColumn assigned
}

struct FleetImage {
  1: HostsImage hosts
  2: i64 bundle_version
  3: map<string, i64> revisions
  4: map<string, i64> pool_versions
  5: string lease_holder
  6: double lease_until
  7: i64 lease_version
  8: bool paused
  9: double pause_since
  10: i64 pause_version
  11: list<string> roll_zones
  12: map<string, i64> zone_versions
  13: string roll_zone
  14: double roll_since
  15: string roll_halted
  16: i64 roll_version
  17: list<string> roll_done
  18: i64 offset
  19: double time
}

// Resources whose limit and rights are alike, which is most of them.
struct MintGroup {
  1: list<i32> runs
  2: list<string> others
  3: i64 limit
  4: i64 unminted
  5: map<string, i64> minted
}

// Resources whose limit or rights last fell at the same offset.
struct LoweredGroup {
  1: list<i32> runs
  2: list<string> others
  3: i64 offset
}

struct ClosingImage {
  1: string incarnation
  2: bool wait
  3: i64 joined_offset
  4: list<string> waiting
}

struct StateImage {
  1: i64 next_offset
  2: i64 bundle_offset
  3: string bundle_text
  4: list<AcceptedImage> history
  5: list<MemberImage> members
  8: list<MintGroup> mints
  9: list<ClosingImage> closings
  11: list<string> ended
  12: list<binary> seen
  15: i64 snapshot_offset
  16: double snapshot_time
  17: double time
  18: map<string, i64> suspicions
  19: list<LoweredGroup> lowered
  20: i64 changed
  21: i64 departed
  22: bool crashed
  23: FleetImage fleet
}
