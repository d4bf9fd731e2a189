"""Measures CPU time and traffic of upper limits and idempotency claims.

Reports microseconds per operation, and messages and bytes per second and entry.
Prints one JSON object per line.

python -m bench.limits [--seconds 10] [--entries 3,7,15,30]
"""

import argparse
import json
import random
import time

from clementinewood import (
    claim,
    coordination,
    identifiers,
    ledger,
    membership,
    verdict,
)

STEP_SECONDS = 0.25
SLOTS = 30
"""Number of minions; each has a slot and a connection resource."""

FRAME = 4 + 8
"""Bytes per message of length prefix, message kind and struct framing."""


def measure_acquire(count):
    """Measures microseconds of one acquire and release of a resource."""
    escrow = ledger.EscrowAccounts()
    one = ledger.Ledger(identifiers.Incarnation("one/1"), escrow)
    escrow.join(one.me, 0)
    resources = [ledger.ResourceId(f"team:t{i}") for i in range(170)]
    for resource in resources:
        escrow.set_limit(resource, 100, 1)
    started = time.perf_counter()
    for index in range(count):
        resource = resources[index % 170]
        one.acquire(resource)
        one.release(resource)
    spent = time.perf_counter() - started
    return {"case": "acquire+release", "us": round(spent / count * 1e6, 3)}


def measure_claims(count, group):
    """Measures microseconds per claim at the claimant, claimed in groups."""
    me = identifiers.Incarnation("one/1")
    table = claim.ClaimTable(me, capacity=2 * count)
    team = identifiers.TeamId("t")
    claims = [
        claim.Claim(
            claim.ClaimKey.create(team, str(index)),
            identifiers.RequestId(f"{index:032x}"),
            me,
            b"0" * 32,
        )
        for index in range(count)
    ]
    started = time.perf_counter()
    for first in range(0, count, group):
        now = first / group * 0.1
        for one in claims[first : first + group]:
            table.submit(one, now, complete=True)
        batch = table.take_batch(now)
        assert batch is not None
        for decision in table.on_batch(batch, now, now):
            assert decision.kind is claim.DecisionKind.RUN
        for one in claims[first : first + group]:
            table.finish(one.key, one.request_id, verdict.Execution.RAN, now)
    spent = time.perf_counter() - started
    return {
        "case": "claim through the log",
        "group": group,
        "us": round(spent / count * 1e6, 3),
    }


def size_of(message):
    """Estimates bytes in thrift's compact encoding with short names.

    Resources are sent as 2-byte indexes of a table that all entries share (the
    sorted resources of the bundle). Incarnations are known from the link.
    """
    match message:
        case coordination.Status():
            report = message.report
            fixed = 3 + 3 + 2 + 6 + 9 + 6 + 6 + 4
            hints = 3 * len(report.surplus) + 2 * len(report.debts)
            return FRAME + fixed + hints
        case ledger.Transfer() | coordination.TransferAck():
            return FRAME + 3 + 4
        case ledger.RightsRequest():
            return FRAME + 3 + 4 * 3
    return FRAME + 100


class Entry:
    """Runs the coordination of one entry with synthetic demand."""

    def __init__(self, number):
        self.coordination = coordination.Coordination(
            identifiers.Incarnation(f"e{number}/1")
        )
        self.running = {}
        self.spent = 0.0


def create_entries(count, teams, limit):
    """Creates `count` entries that have joined over one control stream."""
    entries = [Entry(number) for number in range(count)]
    records = [(e.coordination.me, membership.Joined()) for e in entries]
    limits = {ledger.ResourceId(f"team:t{i}"): limit for i in range(teams)}
    for index in range(SLOTS):
        limits[ledger.ResourceId(f"slot:m{index}")] = 8
        limits[ledger.ResourceId(f"connection:m{index}")] = 64
    records.append((entries[0].coordination.me, membership.Limits(limits)))
    for entry in entries:
        for offset, (author, payload) in enumerate(records):
            entry.coordination.on_control(author, payload, offset, 0.0)
    return entries


def drive(entry, demand, rng, now):
    """Starts runs of 1 s on average, as far as escrow tokens allow."""
    one, balancer = entry.coordination.ledger, entry.coordination.balancer
    for resource, ends in list(entry.running.items()):
        kept = [end for end in ends if end > now]
        for _ in range(len(ends) - len(kept)):
            one.release(resource)
        entry.running[resource] = kept
    for resource, wanted in demand.items():
        ends = entry.running.setdefault(resource, [])
        lacking = wanted - len(ends)
        while lacking > 0 and one.acquire(resource):
            ends.append(now + rng.uniform(0.5, 1.5))
            lacking -= 1
        balancer.set_waiting(resource, max(0, lacking))


def measure_links(count, teams, load, seconds):
    """Measures messages and bytes that one entry sends per second.

    Loads: "idle"; "busy", where each team's demand is half of its limit and
    moves between entries; "full", where the demand at all entries exceeds the
    limit of every team.
    """
    rng = random.Random(1)
    limit = 4 * count
    entries = create_entries(count, teams, limit)
    by_name = {entry.coordination.me: entry for entry in entries}
    sent = size = 0
    now, inbox, spent = 0.0, [], 0.0
    demand = {entry.coordination.me: {} for entry in entries}
    warm = 3.0
    while now < warm + seconds:
        now += STEP_SECONDS
        for entry in entries:
            if load != "idle" and rng.random() < STEP_SECONDS / 2:
                demand[entry.coordination.me] = {
                    ledger.ResourceId(f"team:t{team}"): (
                        rng.choice((0, 0, 0, 8)) if load == "busy" else limit
                    )
                    for team in range(teams)
                }
        started = time.perf_counter()
        messages, inbox = inbox, []
        for sender, receiver, message in messages:
            by_name[receiver].coordination.on_message(sender, message, now)
        for entry in entries:
            entry.coordination.on_control_head(now - 0.1)
            drive(entry, demand[entry.coordination.me], rng, now)
            entry.coordination.advance(now, log_usable=True)
            out = entry.coordination.take_messages()
            inbox.extend((entry.coordination.me, peer, m) for peer, m in out)
            if now > warm:
                sent += len(out)
                size += sum(size_of(m) for _, m in out)
        if now > warm:
            spent += time.perf_counter() - started
    return {
        "case": "links",
        "entries": count,
        "teams": teams,
        "load": load,
        "messages_per_entry_s": round(sent / count / seconds, 1),
        "bytes_per_entry_s": round(size / count / seconds),
        "core_percent": round(100 * spent / count / seconds, 2),
    }


def main():
    """Prints all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--entries", default="3,7,15,30")
    parser.add_argument("--teams", default="6,40,170")
    options = parser.parse_args()
    print(json.dumps(measure_acquire(300_000)))
    for group in (1, 20):
        print(json.dumps(measure_claims(20_000, group)))
    for count in map(int, options.entries.split(",")):
        for teams in map(int, options.teams.split(",")):
            for load in ("idle", "busy", "full"):
                figures = measure_links(count, teams, load, options.seconds)
                print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
