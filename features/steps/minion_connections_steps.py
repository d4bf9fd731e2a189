"""Steps for connections to minions across leaders."""

import collections
import dataclasses
import json

import behave

from clementinewood import (
    dispatcher,
    framing,
    identifiers,
    job,
    ports,
    run,
)
from clementinewood_platform import minionclient
from features import job_harness, network
from features.steps import job_decisions_steps, job_service_steps

JOB_ID = identifiers.JobId("00000000000000aa")
POLL_SECONDS = 1.5
"""Length of a leader's polls, longer than the timeout of an order."""

RETRY_SECONDS = 0.15
STEP_SECONDS = 0.02
ROUND_SECONDS = 0.9
"""Time between two rounds of orders; three of them end before a connection for
orders is tried again."""


class LimitedMinion:
    """Answers polls and orders over a limited number of connections.

    Attributes:
        limit: Connections accepted at a time.
        connections: Those that are open.
        waits: Length of each poll in milliseconds.
        lost: Orders whose responses are still to be lost.
    """

    def __init__(self, site, limit, rest):
        self.site = site
        self.limit = limit
        self.rest = rest
        self.connections = set()
        self.waits = []
        self.lost = 0
        self.address = site.sockets.listen(("127.0.0.1", 0), self.accept)

    def accept(self, peer):
        if len(self.connections) >= self.limit:
            return RejectedConnection(at_once=self.rest == "resets")
        accepted = AcceptedConnection(self)
        self.connections.add(accepted)
        if self.rest == "refuses" and len(self.connections) == self.limit:
            self.site.timers.subscribe_once(
                0.0, lambda: self.site.sockets.close_listener(self.address)
            )
        return accepted


class RejectedConnection:
    """Is reset when it is open, or when the first request arrives."""

    def __init__(self, *, at_once):
        self.at_once = at_once

    def on_open(self, connection):
        if self.at_once:
            connection.reset("too many connections")

    def on_data(self, connection, data):
        connection.reset("too many connections")

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        pass


class AcceptedConnection:
    """Answers one request at a time."""

    def __init__(self, minion):
        self.minion = minion
        self.buffer = b""

    def on_open(self, connection):
        pass

    def on_data(self, connection, data):
        self.buffer += data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        if len(rest) < length:
            return
        assert len(rest) == length, "two requests at once"
        self.buffer = b""
        fields = json.loads(rest)
        if b"/-/hold" in head:
            wait = fields.get("wait_ms", 0)
            self.minion.waits.append(wait)
            self.minion.site.timers.subscribe_once(
                wait / 1000.0, lambda: answer(connection, {"running": []})
            )
        elif self.minion.lost:
            self.minion.lost -= 1
        else:
            answer(connection, {})

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        self.minion.connections.discard(self)


def answer(connection, fields):
    fields = {"clock_ms": 1000, "born": 1, "ended": [], **fields}
    if connection.is_closed:
        return
    connection.send(
        framing.render_response(
            200,
            [(b"content-type", b"application/json")],
            json.dumps(fields).encode(),
            close=False,
        )
    )


class Leader:
    """Polls one minion without a pause and sends it orders."""

    def __init__(self, context, term):
        self.term = identifiers.Term(term)
        self.site = context.site
        self.client = minionclient.MinionClient(
            self.site.sockets, self.site.timers
        )
        harness = job_harness.JobHarness(entries=0, minions=1)
        (minion,) = harness.minions.values()
        self.minion = dataclasses.replace(
            minion.describe(), address=context.minion.address
        )
        self.has_power = True
        self.reports = 0
        self.outcomes = []
        self.poll()

    def poll(self, outcome=None):
        if not self.has_power:
            return
        self.reports += isinstance(outcome, run.MinionReport)
        if isinstance(outcome, ports.Failed):
            self.site.timers.subscribe_once(RETRY_SECONDS, self.poll)
            return
        self.client.poll(
            self.minion,
            self.term,
            acked_sequence=0,
            deadline=None,
            wait=POLL_SECONDS,
            patience=0.6,
            on_result=self.poll,
        )

    def send_orders(self, count):
        self.outcomes = []
        for position in range(count):
            order = dispatcher.StartRun(
                self.minion.minion_id,
                job.TaskId(JOB_ID, 0, 0, position),
                1,
                "",
                "",
                0.0,
            )
            self.client.start(
                self.minion, self.term, order, self.outcomes.append
            )

    def list_outcomes(self):
        return collections.Counter(item.value for item in self.outcomes)


def run_for(context, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        context.site.advance(STEP_SECONDS)


def start_minion(context, limit, rest):
    context.site = network.Network()
    context.add_cleanup(context.site.sockets.close_all)
    context.minion = LimitedMinion(context.site, limit, rest)


@behave.given(
    "a minion that accepts {limit:d} connections and keeps those of vanished"
    " peers"
)
def start_keeping(context, limit):
    start_minion(context, limit, "resets")


@behave.given("a minion that accepts {limit:d} connection and {rest} others")
def start_full(context, limit, rest):
    start_minion(context, limit, rest)


@behave.given(
    "a minion that accepts {limit:d} connections and loses one response"
)
def start_losing(context, limit):
    start_minion(context, limit, "resets")
    context.minion.lost = 1


@behave.when(
    "{leaders:d} leaders send it {count:d} orders each during a long poll and"
    " lose power"
)
def lose_leaders(context, leaders, count):
    context.opened = []
    for term in range(1, leaders + 2):
        before = len(context.minion.connections)
        context.leader = Leader(context, term)
        context.site.settle()
        context.leader.send_orders(count)
        context.site.settle()
        context.opened.append(len(context.minion.connections) - before)
        context.leader.has_power = False


@behave.then("every order of the next leader is answered")
def check_next_leader(context):
    assert set(context.leader.list_outcomes()) == {"started"}, (
        context.leader.list_outcomes()
    )


@behave.then("no leader opened more than {count:d} connections")
def check_opened(context, count):
    assert max(context.opened) <= count, context.opened


@behave.when("a leader polls it and sends it {count:d} orders {rounds:d} times")
def send_rounds(context, count, rounds):
    context.leader = Leader(context, 1)
    context.site.settle()
    send_more_rounds(context, count, rounds)


@behave.when("a leader goes on and sends it {count:d} orders {rounds:d} times")
def send_more_rounds(context, count, rounds):
    for _ in range(rounds):
        context.leader.send_orders(count)
        run_for(context, ROUND_SECONDS)
        context.count = count


@behave.then("every order of the last time is answered")
def check_last_round(context):
    outcomes = context.leader.list_outcomes()
    assert outcomes == {"started": context.count}, outcomes


@behave.then("all but {lost:d} of the orders are answered")
def check_round(context, lost):
    outcomes = context.leader.list_outcomes()
    assert outcomes == {"started": context.count - lost, "unknown": lost}, (
        outcomes
    )


@behave.then("the minion has answered its polls as well")
def check_polls(context):
    assert context.leader.reports >= 4, context.leader.reports


@behave.when("the minion accepts {limit:d} connections")
def raise_limit(context, limit):
    context.minion.limit = limit


@behave.then("its polls wait for longer than a second again")
def check_long_polls(context):
    assert context.minion.waits[-1] > 1000, context.minion.waits
    assert min(context.minion.waits) < 600, context.minion.waits


@behave.when("a leader polls it, sends it orders and steps down")
def step_down(context):
    leader = Leader(context, 1)
    context.site.settle()
    leader.send_orders(8)
    context.site.settle()
    assert context.minion.connections
    leader.has_power = False
    leader.client.disconnect()
    context.site.settle()


@behave.then("the minion has no connection left")
def check_no_connections(context):
    assert not context.minion.connections


# Whole sites.


def lose_orders(harness, minion_ids):
    """Lets no order reach some minions; returns a function that ends that."""
    originals = []
    for entry in harness.entries:
        access = entry._minions
        originals.append((access, access.start, access.stop))

        def start(minion, term, order, on_result, access=access):
            if minion.minion_id not in minion_ids:
                type(access).start(access, minion, term, order, on_result)
                return
            harness.timers.subscribe_once(
                0.01, lambda: on_result(dispatcher.StartOutcome.UNKNOWN)
            )

        def stop(minion, term, order, on_result, access=access):
            if minion.minion_id not in minion_ids:
                type(access).stop(access, minion, term, order, on_result)
                return
            harness.timers.subscribe_once(0.01, lambda: on_result(False))

        access.start, access.stop = start, stop

    def restore():
        for access, start, stop in originals:
            access.start, access.stop = start, stop

    return restore


def find_hosts(harness):
    return [minion for minion in harness.minions.values() if minion.running]


@behave.when(
    "one of its minions takes no more orders and the job's task there is to be"
    " stopped"
)
def refuse_stop(context):
    harness = context.harness
    harness.run_until(lambda: len(find_hosts(harness)) == 2, 5.0)
    harness.run_for(1.0)
    context.full = find_hosts(harness)[0]
    (context.task,) = context.full.running
    lose_orders(harness, {context.full.minion_id})
    harness.dispatcher().elector.driver.dispatcher.stop_task(context.task)


@behave.then("the task runs on another minion within {seconds:g} seconds")
def check_moved(context, seconds):
    harness = context.harness
    harness.run_until(
        lambda: any(
            context.task in minion.running
            for minion in harness.minions.values()
            if minion is not context.full
        ),
        seconds,
    )


@behave.then("the minion's own lease had ended before")
def check_lapsed(context):
    ends = [
        entry
        for entry in context.harness.history
        if entry[0] == "end" and entry[3] == context.task
    ]
    assert [entry[4] for entry in ends] == [run.RunOutcome.LEASE_EXPIRED], ends


@behave.when(
    "no order reaches {count:d} of the minions for {seconds:g} seconds"
)
def lose_most_orders(context, count, seconds):
    harness = context.harness
    restore = lose_orders(harness, set(list(harness.minions)[:count]))
    harness.timers.subscribe_once(seconds, restore)


@behave.then("every task has ended within {seconds:g} seconds")
def check_all_ended(context, seconds):
    harness = context.harness
    harness.run_until(
        lambda: all(
            harness.state_of(entry, job_service_steps.NAME)
            is job.JobState.COMPLETED
            for entry in harness.entries
        ),
        seconds,
    )


# Decisions.


@behave.given("a dispatcher with a run on its only minion")
def create_running(context):
    dispatch = job_decisions_steps.create_dispatcher(1)
    dispatch.add_job(job_decisions_steps.create_job(1), job.Progress(), 0.0)
    job_decisions_steps.poll(dispatch, 0.0)
    dispatch.plan(0.1, 0.1)
    (order,) = dispatch.handle_batch_stored(dispatch.take_batch(), 0.2)
    dispatch.handle_start_outcome(order, dispatcher.StartOutcome.STARTED, 0.3)
    context.dispatch, context.order = dispatch, order


@behave.when("it orders the run to stop and {happens}")
def order_stop(context, happens):
    dispatch, order = context.dispatch, context.order
    row = run.ReportedRun(
        task=order.task, number=order.number, checkpoint="", percent=0
    )
    job_decisions_steps.poll(dispatch, 0.9, running=[row])
    dispatch.stop_task(order.task)
    (stop,) = dispatch.plan(1.0, 1.0)
    if happens == "the stop is answered":
        dispatch.handle_stop_outcome(stop, True, 1.1)
    running = [] if happens == "the run is no longer reported" else [row]
    job_decisions_steps.poll(dispatch, 1.2, running=running)
    context.late = happens == "all responses are late"


@behave.then("after {seconds:g} seconds it {does} extend the minion's lease")
def check_extension(context, seconds, does):
    now = 1.0
    while now < 1.0 + seconds:
        now += 0.1
        context.dispatch.plan(now, now, responses_late=context.late)
    (view,) = context.dispatch.views.values()
    assert view.refuses_orders is (does == "does not"), view
