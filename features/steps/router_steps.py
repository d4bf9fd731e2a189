"""Steps for the router."""

import collections
import functools
import random
from unittest import mock

import behave

from clementinewood import retry, router
from features import histories


class IgnoresZones(router.Router):
    def set_zones_out(self, zones):
        pass


class IgnoresConnections(router.Router):
    def mark_leaving(self, minion, now):
        pass


class IgnoresExclusions(router.Router):
    def choose(self, pool, now, exclude=frozenset(), *, probe=True):
        return super().choose(pool, now, probe=probe)


class Overfills(router.Router):
    def start(self, minion, now):
        pass


class EjectsUnbounded(router.Router):
    def _eject_if_unhealthy(self, minion, now):
        pool = self._pools[minion.target.pool]
        if minion in pool.open:
            minion.ejected = True
            minion.probe_at = now
            pool.open.remove(minion)
            pool.ejected.append(minion)


class NeverEjects(router.Router):
    def _eject_if_unhealthy(self, minion, now):
        pass


class CountsFailuresAsIdle(router.Router):
    def finish(self, minion, outcome, seconds, now, *, blame=True):
        with mock.patch.object(router._Minion, "add_failure_load"):
            super().finish(minion, outcome, seconds, now, blame=blame)


class JudgesAlone(router.Router):
    def _eject_if_unhealthy(self, minion, now):
        with (
            mock.patch.object(router, "EJECT_MAX_PROBABILITY", 1.0),
            mock.patch.object(router, "EJECT_MARGIN", -1.0),
        ):
            super()._eject_if_unhealthy(minion, now)


FAULTS = {
    "ignores zones that are out": IgnoresZones,
    "ignores connections that leave": IgnoresConnections,
    "ignores exclusions": IgnoresExclusions,
    "overfills minions": Overfills,
    "ejects without a bound": EjectsUnbounded,
    "never ejects": NeverEjects,
    "counts failures as idleness": CountsFailuresAsIdle,
    "judges without comparison": JudgesAlone,
}


@behave.given("the router as it is")
def choose_real(context):
    context.router_kind = router.Router


@behave.given("a router that {fault}")
def choose_broken(context, fault):
    context.router_kind = FAULTS[fault]


def create(kind, count=6, slots=8):
    subject = kind("z1", random.Random(1))
    subject.update(list_minions(count, slots), 0.0)
    return subject


def list_minions(count, slots=8):
    return [
        router.Target(
            f"m{index}", "p", histories.ZONES[index % 3], ("h", 1), slots
        )
        for index in range(count)
    ]


def check_history(kind, operations):
    subject = kind("z1", random.Random(1))
    histories.RouterHistory(subject).play(operations)


def check_histories(kind):
    check = functools.partial(check_history, kind)
    histories.search(check, histories.router_operations, examples=100)


class Traffic:
    """Sends requests one after the other, each of 0.1 s, 8 at a time."""

    def __init__(self, subject):
        self.subject = subject
        self.now = 0.0
        self.failing = set()
        self.counts = collections.Counter()

    def send(self, count, *, probe=True, at_once=8):
        before = self.counts.copy()
        for _ in range(count // at_once):
            batch = []
            for _ in range(at_once):
                target = self.subject.choose("p", self.now, probe=probe)
                if target is not None:
                    self.subject.start(target.minion, self.now)
                    batch.append(target.minion)
                    self.counts[target.minion] += 1
            self.now += 0.1
            for name in batch:
                failed = name in self.failing
                outcome = retry.Outcome.FAILED if failed else None
                self.subject.finish(
                    name, outcome or retry.Outcome.SUCCEEDED, 0.1, self.now
                )
        return self.counts - before


@behave.given("a pool of {count:d} minions that has run {requests:d} requests")
def create_traffic(context, count, requests):
    context.traffic = Traffic(create(context.router_kind, count))
    context.traffic.send(requests)


@behave.when("minion {number:d} begins to fail at once")
def begin_failure(context, number):
    context.traffic.failing.add(f"m{number}")
    context.failing = f"m{number}"


@behave.when("minion {number:d} recovers")
def end_failure(context, number):
    context.traffic.failing.discard(f"m{number}")


@behave.when("{requests:d} requests are routed")
def send_requests(context, requests):
    context.traffic.send(requests)
    assert context.failing in context.traffic.subject.ejected("p")


@behave.then(
    "it gets at most {limit:d} probes in the {seconds:d} seconds after"
)
def check_probes(context, limit, seconds):
    counts = context.traffic.send(seconds * 80)
    assert 1 <= counts[context.failing] <= limit, counts


@behave.then("it is used again within {seconds:d} seconds")
def check_readmitted(context, seconds):
    context.traffic.send(seconds * 80)
    assert context.failing not in context.traffic.subject.ejected("p")
    assert context.traffic.send(800)[context.failing] > 80


@behave.then("work that cannot be repeated never reaches it")
def check_no_probe(context):
    counts = context.traffic.send(2400, probe=False)
    assert counts[context.failing] == 0, counts


def check_attraction(kind):
    """A quickly failing minion gets less than a third of a full pool's work."""
    # Ejection is disabled, since it would end the attraction of work.
    subject = create(
        type(
            "",
            (kind,),
            {"_eject_if_unhealthy": NeverEjects._eject_if_unhealthy},
        ),
        slots=2,
    )
    ends = []
    counts = collections.Counter()
    now = 0.0
    while now < 4.0:
        now = round(now + 0.005, 3)
        for end, name in [pair for pair in ends if pair[0] <= now]:
            ends.remove((end, name))
            good = name != "m1"
            outcome = retry.Outcome.SUCCEEDED if good else retry.Outcome.FAILED
            subject.finish(name, outcome, 0.2 if good else 0.005, now)
        while (target := subject.choose("p", now)) is not None:
            subject.start(target.minion, now)
            counts[target.minion] += 1
            taken = 0.005 if target.minion == "m1" else 0.2
            ends.append((now + taken, target.minion))
    assert counts["m1"] < counts.total() / 3, counts


def check_blame(kind):
    """Requests of which half fail everywhere eject no minion."""
    subject = create(kind)
    rng = random.Random(3)
    for number in range(400):
        now = 0.1 * number
        target = subject.choose("p", now)
        subject.start(target.minion, now)
        failed = rng.random() < 0.5
        outcome = retry.Outcome.FAILED if failed else retry.Outcome.SUCCEEDED
        subject.finish(target.minion, outcome, 0.1, now + 0.1)
        assert not subject.ejected("p"), number


def check_ejection(kind):
    """A minion that fails everything gets at most 4 of 200 requests."""
    traffic = Traffic(create(kind))
    traffic.send(200)
    traffic.failing.add("m1")
    # The requests take 2.5 s, so one of them may be a probe.
    counts = traffic.send(200)
    assert 0 < counts["m1"] <= 4, counts


CHECKS = {
    "starts": check_histories,
    "attraction": check_attraction,
    "blame": check_blame,
    "ejection": check_ejection,
}


@behave.then("the {name} check of the router holds")
def hold_check(context, name):
    CHECKS[name](context.router_kind)


@behave.then("the {name} check of the router fails")
def fail_check(context, name):
    try:
        CHECKS[name](context.router_kind)
    except AssertionError:
        return
    raise AssertionError(f"the {name} check noticed nothing")


def count_room(subject, minion, now):
    """Starts requests until none fits; returns how many `minion` took."""
    taken = collections.Counter()
    while (target := subject.choose("p", now)) is not None:
        subject.start(target.minion, now)
        taken[target.minion] += 1
    for name, count in taken.items():
        for _ in range(count):
            subject.finish(name, retry.Outcome.SUCCEEDED, 0.1, now)
    return taken[minion]


@behave.then(
    "a minion that joins gets at most {limit:d} of its {slots:d} slots at first"
)
def check_slow_start(context, limit, slots):
    context.subject = create(context.router_kind, 5, slots)
    assert count_room(context.subject, "m4", 100.0) == slots
    context.subject.update(list_minions(6, slots), 100.0)
    assert 1 <= count_room(context.subject, "m5", 100.0) <= limit


@behave.then("it gets all {slots:d} slots after {seconds:d} seconds")
def check_full_start(context, slots, seconds):
    assert count_room(context.subject, "m5", 100.0 + seconds) == slots


@behave.then(
    "near minions get more than {low:d} percent and less than {high:d} of "
    "light work"
)
def check_near(context, low, high):
    traffic = Traffic(create(context.router_kind))
    counts = traffic.send(1000, at_once=2)
    near = (counts["m0"] + counts["m3"]) / counts.total()
    assert low / 100 < near < high / 100, counts


@behave.then(
    "a minion that leaves the list and returns has no more than its slots"
)
def check_returned(context):
    subject = create(context.router_kind, 1, 2)
    for _ in range(2):
        subject.start(subject.choose("p", 0.0).minion, 0.0)
    subject.update([], 1.0)
    subject.update(list_minions(1, 2), 2.0)
    assert subject.choose("p", 60.0) is None
    subject.finish("m0", retry.Outcome.SUCCEEDED, 1.0, 61.0)
    assert subject.choose("p", 61.0) is not None


def mark_and_list(kind, seconds):
    """Lists the same minion again some time after its connection left."""
    subject = create(kind, 1)
    subject.mark_leaving("m0", 1.0)
    for later in range(1, seconds + 1):
        subject.update(list_minions(1), 1.0 + later)
    return subject.choose("p", 60.0)


@behave.then(
    "a minion marked as leaving gets work again {seconds:d} seconds on"
)
def check_mark_ends(context, seconds):
    assert mark_and_list(context.router_kind, seconds) is not None


@behave.then("it gets none while the mark is {seconds:d} seconds old")
def check_mark_holds(context, seconds):
    assert mark_and_list(context.router_kind, seconds) is None
