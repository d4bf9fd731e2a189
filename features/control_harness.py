"""Simulated entries that race to write and fold one control stream."""

import dataclasses
import functools
import random

import hypothesis
from hypothesis import strategies

from clementinewood import (
    assignment,
    fleet_fold,
    fleet_record,
    ledger,
    membership,
    membership_record,
    record,
    signature,
    state,
)
from clementinewood.identifiers import EntryId, Incarnation, ZoneId

KEY = b"k" * 32
PRIVATE, PUBLIC = signature.generate_key()
TEAMS = ("sail", "rope")
POOLS = ("loft", "yard")

TEXT = """\
[bundle]
version = {version}
site = test
[zone z1]
region = r
[service sewing]
slots = 3
connections = 5
run_limit = 10s
[service cutting]
slots = 2
connections = 5
run_limit = 10s
[pool loft]
service = sewing
workers = {loft}
max_unavailable = 1
max_unavailable_zone = 9
[pool yard]
service = cutting
workers = {yard}
max_unavailable = 1
max_unavailable_zone = 9
[queue mend]
pool = loft
teams = sail, rope
capacity = 10
run_limit = 5s
[team sail]
share = 0.1
limit = {sail}
[team rope]
share = 0.1
limit = {rope}
[maintenance]
interval = 42d
"""


@functools.cache
def make_text(version, seed):
    """Returns a signed bundle; `seed` chooses limits and workers."""
    source = random.Random(seed)
    workers = [f"w{i}" for i in range(6)]
    cut = source.choice([3, 4])
    kept = workers[:cut], workers[cut : source.choice([5, 6])]
    text = TEXT.format(
        version=version,
        loft=", ".join(kept[0]),
        yard=", ".join(kept[1]),
        sail=source.randrange(2, 11),
        rope=source.randrange(2, 11),
    )
    operator = source.choice(["night", "day"])
    return signature.sign_bundle(
        text, operator, PRIVATE, signed=1.0, expires=9e9
    )


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["bundle"] * 4
            + ["join"] * 2
            + ["suspect", "refute", "remove", "remove", "leave"]
            + ["close"] * 4
            + ["assign", "step", "roll", "lease", "snapshot", "repeat"]
            + ["give", "give", "land", "land", "land", "read", "relay"]
        ),
        strategies.integers(0, 11),
        strategies.integers(0, 11),
    ),
    min_size=10,
    max_size=45,
)


RIGHTS_ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["bundle", "join", "join", "suspect", "remove"]
            + ["leave", "evict", "evict"]
            + ["close"] * 4
            + ["give"] * 4
            + ["land"] * 4
        ),
        strategies.integers(0, 11),
        strategies.integers(0, 11),
    ),
    min_size=40,
    max_size=90,
)
"""Mostly removals with rights that moved before."""


class ControlHarness:
    """One log with readers at different offsets and records under way.

    Args:
        kind: Class of the state under test.
    """

    def __init__(self, kind=state.ControlState):
        self.kind = kind
        self.log = []
        self.outcomes = []
        self.readers = [kind() for _ in range(3)]
        self.settled = 0
        self.roster = membership.Roster()
        self.in_flight = []
        self.moved = {}
        self.together = set()
        self.closed = set()
        self.counted = set()
        self.joins = 0
        self.last_version = 0
        self._post("join", 0, 0, now=True)

    @property
    def full(self):
        """The reader that has read everything."""
        return self.readers[0]

    def play(self, actions):
        for name, first, second in actions:
            self._post(name, first, second)
        while self.in_flight:
            self._deliver_append(0)

    def _post(self, name, first, second, *, now=False):
        view = self.readers[first % 3]
        # A writer is a member by now even if it has read few records.
        members = list(view.members or self.full.members) or ["nobody/0"]
        author = members[second % len(members)]
        workers = list(view.assignments)
        worker = workers[second % len(workers)] if workers else "w0"
        payload = None
        match name:
            case "bundle":
                text = make_text(view.version + 1, 12 * first + second)
                payload = view.create_bundle_payload(text)
            case "join":
                self.joins += 1
                author = Incarnation(f"e{self.joins}/{self.joins}")
                payload = record.Joined(
                    author, EntryId(f"e{self.joins}"), "::", 1, ZoneId("z1")
                )
            case "suspect":
                payload = record.Suspected(members[(second + 1) % len(members)])
            case "refute":
                payload = record.Refuted(view.next_offset, True, second > 5)
            case "remove" if view.roster.suspicions and len(members) > 1:
                suspects = list(view.roster.suspicions)
                gone = suspects[second % len(suspects)]
                payload = record.Removed(gone, view.roster.suspicions[gone])
            case "leave" if len(members) > 2:
                payload = record.Left(author, first > 5)
            case "close":
                payload = self._close(view, first, second)
                author = payload[0] if payload else author
                payload = payload[1] if payload else None
            case "assign" if worker in view.assignments:
                host = view.assignments[worker]
                payload = fleet_record.WorkerAssigned(
                    worker,
                    POOLS[first % 2],
                    host.version,
                    view.fleet.pool_versions.get(host.pool, 0),
                    self._expire(view, second),
                )
            case "step" if worker in view.assignments:
                host = view.assignments[worker]
                steps = [
                    step
                    for step in fleet_record.Step
                    if step in fleet_fold.TRANSITIONS[host.step]
                ]
                payload = fleet_record.MaintenanceStep(
                    worker,
                    steps[first % len(steps)],
                    host.version,
                    self._expire(view, second),
                    purpose=fleet_record.Purpose.MOVE
                    if second % 2
                    else fleet_record.Purpose.MAINTENANCE,
                    target=POOLS[first % 2],
                    boot=f"b{second}",
                    pool_version=view.fleet.pool_versions.get(host.pool, 0),
                )
            case "roll":
                payload = fleet_record.RollStep(
                    view.fleet.bundle_version,
                    ZoneId("z1"),
                    list(fleet_record.RollAction)[second % 3],
                    view.roll.version,
                    self._expire(view, first),
                )
            case "lease":
                payload = fleet_record.PlannerLease(
                    author, view.fleet.lease.version, 1.0 + second
                )
            case "snapshot" if view.has_base:
                payload = view.create_snapshot_payload()
            case "repeat" if self.log:
                recent = self.log[-12:]
                self.in_flight.append(recent[second % len(recent)])
            case "evict" if len(self.full.members) > 1:
                self._evict(first, second)
            case "give":
                self._give(first, second)
            case "land" if self.in_flight:
                self._deliver_append(second % len(self.in_flight))
            case "read":
                self._read(self.readers[1 + first % 2], second)
            case "relay" if self.log:
                self._relay(self.readers[1 + first % 2], second)
        if payload is not None:
            self.in_flight.append(record.create_record(author, payload))
            if now:
                self._deliver_append(0)

    def _expire(self, view, number):
        """Returns a time until which a record is valid, seldom a past one."""
        return view.time + (1000.0 if number else -1.0)

    def _evict(self, first, second):
        """Removes a member and has every live one close it."""
        live = list(self.full.members)
        gone = live.pop(second % len(live))
        author = live[first % len(live)]
        for _ in range(2):
            since = self.full.roster.suspicions.get(gone)
            payload = (
                record.Suspected(gone)
                if since is None
                else record.Removed(gone, since)
            )
            self.in_flight.append(record.create_record(author, payload))
            self._deliver_append(-1)
        for _ in live:
            if gone not in self.full.roster.escrow.removals:
                return
            place = list(self.full.roster.escrow.removals).index(gone)
            found = self._close(self.full, place, 0)
            if found is not None:
                self.in_flight.append(record.create_record(*found))
                self._deliver_append(-1)

    def _deliver_append(self, index):
        entry = self.in_flight.pop(index)
        decoded = record.decode_record(record.encode_record(entry, KEY), KEY)
        self.log.append(decoded.unwrap())
        self._read(self.full, 1)

    def _read(self, reader, count):
        for offset in range(
            reader.next_offset, min(reader.next_offset + count, len(self.log))
        ):
            outcome = reader.apply(self.log[offset], offset, 100.0 + offset)
            if reader is self.full:
                self.outcomes.append(outcome)
                assert reader.version >= self.last_version, "version reverted"
                self.last_version = reader.version
                self._follow(self.log[offset], offset, outcome)
                ends = list(reader.members)
                self.together |= {(a, b) for a in ends for b in ends}

    def _follow(self, entry, offset, outcome):
        """Folds members and limits once more, as the entries' ledgers do."""
        payload = entry.payload
        translated = membership_record.translate_payload(payload, entry.author)
        if outcome is state.Outcome.APPLIED and isinstance(
            payload, record.BundleAccepted | fleet_record.WorkerAssigned
        ):
            translated = membership.Limits(
                assignment.list_team_limits(self.full.bundle)
                | assignment.list_minion_limits(
                    self.full.bundle, self.full.assignments
                )
            )
        if translated is not None and outcome is not state.Outcome.REPEATED:
            self.roster.apply(entry.author, translated, offset)
        if (
            isinstance(payload, record.Closed)
            and outcome is state.Outcome.APPLIED
        ):
            self.counted.add((entry.author, payload.incarnation))
            self.counted.add((payload.incarnation, entry.author))

    def _relay(self, reader, count):
        """Applies records again that the reader may have folded before."""
        start = max(0, reader.next_offset - count)
        for offset in range(start, reader.next_offset):
            reader.apply(self.log[offset], offset, 100.0 + offset)

    def _give(self, first, second):
        """Moves rights between two entries that were members together."""
        names = sorted({a for a, _ in self.together})
        if len(names) < 2:
            return
        giver, taker = names[first % len(names)], names[second % len(names)]
        if (
            giver == taker
            or (giver, taker) not in self.together
            or {(giver, taker), (taker, giver)} & self.closed
        ):
            return
        key = (giver, taker, f"team:{TEAMS[second % 2]}")
        self.moved[key] = self.moved.get(key, 0) + 1 + first % 3

    def _close(self, view, first, second):
        removals = list(view.roster.escrow.removals.items())
        if not removals:
            return None
        removed, removal = removals[first % len(removals)]
        live = [
            name for name in view.members if name in removal.pending_fencers
        ]
        if not live:
            return None
        author = live[second % len(live)]
        self.closed.add((author, removed))
        amounts = [
            {
                resource: amount
                for (giver, taker, resource), amount in self.moved.items()
                if (giver, taker) == pair
            }
            for pair in ((author, removed), (removed, author))
        ]
        return author, record.Closed(removed, *amounts)

    def read_all(self):
        for reader in self.readers:
            self._read(reader, len(self.log))

    # Checks.

    def check_equal(self):
        """Every reader has the same state, snapshots or not."""
        self.read_all()
        expected = self.full.snapshot()
        for reader in self.readers:
            assert reader.snapshot() == expected, "readers differ"
        for reader in self.restore_readers():
            assert reader.snapshot() == expected, "restored reader differs"

    def restore_readers(self):
        """Yields readers that start from each snapshot in the log."""
        for offset, entry in enumerate(self.log):
            payload = entry.payload
            if not isinstance(payload, record.Snapshot):
                continue
            # Records before the snapshot's own offset have expired.
            start = max(1, payload.next_offset)
            if payload.next_offset == 0 or offset < start:
                continue
            reader = self.kind(start=start)
            for place in range(start, len(self.log)):
                reader.apply(self.log[place], place, 100.0 + place)
            assert reader.has_base
            yield reader

    def check_rights(self):
        """Rights to a resource add up to its limit."""
        escrow = self.full.roster.escrow
        for team in TEAMS:
            resource = f"team:{team}"
            held = escrow.unowned.get(resource, 0)
            for name in [*escrow.members, *escrow.removals]:
                held += escrow.issued(resource, name)
                for (giver, taker, moved), amount in self.moved.items():
                    # A closing moves what a pair exchanged to its accounts.
                    if moved == resource and (giver, taker) not in self.counted:
                        held += amount * ((taker == name) - (giver == name))
            limit = escrow.limits.get(resource, 0)
            assert held == limit, (resource, held, limit)

    def check_roster(self):
        """A plain fold of members and whole limits agrees after a restore."""
        restored = state.ControlState()
        restored.restore(self.full.snapshot()).unwrap()
        wanted = drop_zeros(self.roster.dump())
        for found in (self.full.roster, restored.roster):
            found = drop_zeros(found.dump())
            assert found == wanted, (found, wanted)
        assert list(self.full.members) == list(self.full.roster.members)

    def check_races(self):
        """Of the bundles that name the same version, one is accepted."""
        taken = set()
        for entry, outcome in zip(self.log, self.outcomes, strict=True):
            if not isinstance(entry.payload, record.BundleAccepted):
                continue
            if outcome is state.Outcome.APPLIED:
                assert entry.payload.expected not in taken, "two winners"
                taken.add(entry.payload.expected)


def drop_zeros(value):
    """Leaves out zero amounts, and accounts and limits made only of them."""
    match value:
        case dict():
            cleaned = {key: drop_zeros(item) for key, item in value.items()}
            return {
                key: item
                for key, item in cleaned.items()
                if item != 0 or key in ("changed", "departed")
            }
        case list() | tuple():
            return [drop_zeros(item) for item in value]
    return value


# Fixed, so that rewording the test does not change its examples.
PROPERTY_SEED = int(
    "dff8785e755b8af707f9890a256eb149a563d921930e45a9"
    "d9054d1999aad90f9764512c263c9800d38cc4e5475da1ef",
    16,
)


def check_property(kind, check, *, examples, actions=ACTIONS):
    """Runs `check` on harnesses with any actions; raises when it ever fails."""

    @hypothesis.seed(PROPERTY_SEED)
    @hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(actions)
    def run(steps):
        harness = ControlHarness(kind)
        harness.play(steps)
        check(harness)

    run()


class RevertingState(state.ControlState):
    """Accepts a bundle whatever version it was made against."""

    def _accept_bundle(self, payload, entry, offset):
        text = make_text(payload.version, 0)
        parsed = self._parser.parse(signature.split_signed(text).unwrap().text)
        self._install(parsed.unwrap(), "day", entry.id, entry.author, offset)
        self.bundle_text = text
        return state.Outcome.APPLIED


class LocalOrderState(state.ControlState):
    """Mints in an order that depends on what this reader alone saw."""

    calls = 0

    def apply(self, entry, offset, time):
        self.calls += 1
        if self.calls != offset + 1:
            members = self.roster.escrow.members
            reverse = list(reversed(members.items()))
            members.clear()
            members.update(reverse)
        return super().apply(entry, offset, time)


class ForgetfulState(state.ControlState):
    """Loses maintenance steps when it restores a snapshot."""

    def _load(self, data):
        loaded = super()._load(data)
        for worker, host in self.fleet.hosts.items():
            self.fleet.hosts[worker] = dataclasses.replace(
                host, step=fleet_record.Step.IN_SERVICE
            )
        return loaded


class UncarriedEscrowAccounts(ledger.EscrowAccounts):
    """Forgets what a member got from one that was settled before it."""

    def __init__(self):
        super().__init__()
        self.before = None

    def apply_fencing_record(self, fencing_record, offset):
        account = self.accounts.get(fencing_record.author, {})
        self.before = fencing_record.author, dict(account)
        counted = super().apply_fencing_record(fencing_record, offset)
        self.before = None
        return counted

    def _reissue_tokens(self, offset):
        if self.before is not None:
            author, account = self.before
            self.accounts[author] = account
        super()._reissue_tokens(offset)


class LoneEscrowAccounts(ledger.EscrowAccounts):
    """Settles removed members one by one, without waiting for each other."""

    def _groups(self):
        return [{name} for name in self.removals]


class UncarriedState(state.ControlState):
    """Keeps accounts that forget earlier settlements."""

    def __init__(self, **options):
        super().__init__(**options)
        self.roster = membership.Roster(UncarriedEscrowAccounts())


class LoneState(state.ControlState):
    """Keeps accounts that settle removed members one by one."""

    def __init__(self, **options):
        super().__init__(**options)
        self.roster = membership.Roster(LoneEscrowAccounts())
