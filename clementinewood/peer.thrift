namespace py clementinewood

// Messages on links between entries. A frame on the wire is a 4-byte
// big-endian length, a 16-byte MAC (after the handshake) and one Frame, which
// holds exactly one message. Structs have the names and fields of the data
// classes that they carry, which document them.

struct Challenge {
  1: i32 version
  2: string entry
  3: string incarnation
  4: string zone
  5: binary nonce
}

struct Proof {
  1: binary mac
}

struct Probe {
  1: i64 sequence
}

struct ProbeAck {
  1: i64 sequence
}

struct ClaimKey {
  1: string team
  2: binary digest
}

struct Claim {
  1: ClaimKey key
  2: string request_id
  3: string claimant
  4: binary request
  5: bool outage
}

struct Outcome {
  1: ClaimKey key
  2: string request_id
  3: string execution
}

struct ClaimAsk {
  1: Claim claim
  2: i64 changed
}

struct ClaimAnswer {
  1: ClaimKey key
  2: string request_id
  3: string record
  4: i64 covered
}

struct Releases {
  1: list<Outcome> outcomes
}

struct Report {
  1: i64 offset
  2: list<string> debts
  3: i64 opened
  4: map<string, i64> surplus
  6: bool whole
}

struct Confirmation {
  1: i64 offset
  2: bool complete
  3: list<Claim> claims
}

struct Status {
  1: i64 sequence
  2: i64 echo
  3: bool reachable
  4: i64 known
  5: double age
  6: Report report
  7: bool awaits
  8: optional Confirmation confirmation
  9: bool leaving
}

struct Transfer {
  1: string resource
  2: string giver
  3: string receiver
  4: i64 total
}

struct TransferAck {
  1: Transfer transfer
}

struct RightsRequest {
  1: string resource
  2: i64 need
  3: i64 extra
  4: i64 held
  5: i64 demand
}

struct RelayedRecord {
  1: i64 offset
  2: double time
  3: binary data
}

struct RelayRecords {
  1: string stream
  2: i64 next_offset
  3: list<RelayedRecord> records
}

struct RelayRequest {
  1: string stream
  2: i64 next_offset
}

struct TeamUsage {
  1: string team
  2: i64 queued
  3: i64 running
  4: double slot_seconds
  5: double urgent_seconds
  6: double raised
}

struct PoolUsage {
  1: string pool
  2: i64 running
  3: i64 queued
  4: i64 completed
  5: double busy
}

struct WorkerUsage {
  1: string worker
  2: i64 running
}

struct FleetUsage {
  1: i64 next_offset
  2: list<PoolUsage> pools
  3: list<WorkerUsage> workers
}

struct UsageReport {
  1: list<TeamUsage> teams
  2: i64 version
  3: optional FleetUsage fleet
  4: bool fresh
}

struct Frame {
  1: i64 sequence
  2: optional Challenge challenge
  3: optional Proof proof
  4: optional Probe probe
  5: optional ProbeAck probe_ack
  6: optional Status status
  7: optional Transfer transfer
  8: optional TransferAck transfer_ack
  9: optional RightsRequest rights_request
  10: optional ClaimAsk claim_ask
  11: optional ClaimAnswer claim_answer
  12: optional Releases releases
  13: optional RelayRecords relay_records
  14: optional RelayRequest relay_request
  15: optional UsageReport usage_report
}
