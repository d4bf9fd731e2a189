// Messages on links between entries. Each frame on the wire is a 4-byte
// big-endian length, a 16-byte MAC (after the handshake) and one Frame.

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

// Usage of one team at the sender.
struct TeamUsage {
  1: string team
  2: i32 running
  3: i32 queued
  4: double slot_seconds
}

// A resource of which the sender can give, or of which it needs more.
struct RightsReport {
  1: string resource
  2: i32 surplus
  3: i32 needed
}

struct Status {
  1: i64 sequence
  2: i64 control_offset
  3: double head_age
  4: bool log_reachable
  5: i64 bundle_version
  6: list<TeamUsage> usage
  7: list<RightsReport> rights
  8: bool draining
  9: bool fresh
}

struct StatusAck {
  1: i64 sequence
}

// Cumulative total given by the sender to the receiver of one resource.
struct Transfer {
  1: string resource
  2: i64 total
}

struct Transfers {
  1: list<Transfer> transfers
}

struct TransferAcks {
  1: list<Transfer> received
}

struct RightsRequest {
  1: list<RightsReport> wanted
}

struct RelayedRecord {
  1: i64 offset
  2: double time
  3: binary data
}

struct RelayRequest {
  1: string stream
  2: i64 from_offset
}

struct Relay {
  1: string stream
  2: i64 from_offset
  3: i64 head
  4: double head_age
  5: list<RelayedRecord> records
}

struct Claim {
  1: string team
  2: binary digest
  3: binary request_digest
  4: string request_id
  5: string claimant
}

struct ClaimAsk {
  1: i64 sequence
  2: Claim claim
}

struct ClaimAnswer {
  1: i64 sequence
  2: bool recorded
}

struct ClaimSync {
  1: list<Claim> unflushed
  2: bool complete
}

struct Leaving {
  1: string incarnation
}

struct Frame {
  1: i64 sequence
  2: optional Challenge challenge
  3: optional Proof proof
  4: optional Status status
  5: optional StatusAck status_ack
  6: optional Transfers transfers
  7: optional TransferAcks transfer_acks
  8: optional RightsRequest rights_request
  9: optional RelayRequest relay_request
  10: optional Relay relay
  11: optional ClaimAsk claim_ask
  12: optional ClaimAnswer claim_answer
  13: optional ClaimSync claim_sync
  14: optional Leaving leaving
}
