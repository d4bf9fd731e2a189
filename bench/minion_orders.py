"""Measures how long start orders to one minion take on a link with a delay.

A stand-in minion answers behind a proxy that delays each message. A long poll
is in progress meanwhile, as in operation. Run with `python -m
bench.minion_orders`; prints one JSON object for each delay.
"""

import dataclasses
import json
import statistics

from clementinewood import dispatcher, edge, identifiers, job, timer, transport
from clementinewood_platform import minionclient
from features import job_harness
from features.soak import proxy, simulated_services

STARTS = 32
ROUNDS = 15
DELAYS_MS = (1, 4)
JOB_ID = identifiers.JobId("00000000000000aa")
TERM = identifiers.Term(1)


def measure(delay_ms):
    """Returns one object with the figures for a one-way delay."""
    timers = timer.TimerService()
    sockets = transport.Transport(timers).register(timers)
    harness = job_harness.JobHarness(entries=0, minions=1, timers=timers)
    (minion,) = harness.minions.values()
    step = job.Step(
        count=STARTS * ROUNDS,
        need=job.Resources(1, 1),
        estimate=60.0,
    )
    harness.accepted[JOB_ID] = job.Job(
        job_id=JOB_ID,
        team=identifiers.TeamId("canvas"),
        queue=identifiers.QueueId("quotes"),
        accepted=0.0,
        steps=(step,),
        spec="",
    )
    service = simulated_services.SimulatedMinion(harness, minion)
    target = edge.Edge(sockets, timers, service).listen(("127.0.0.1", 0))
    relay = proxy.Proxy(sockets, timers, target)
    relay.mode, relay.delay = proxy.Mode.DELAY, delay_ms / 1000.0
    client = minionclient.MinionClient(sockets, timers)
    listed = dataclasses.replace(minion.describe(), address=relay.address)
    seconds, outcomes, most = [], {}, 0

    def poll():
        client.poll(
            listed,
            TERM,
            acked_sequence=0,
            deadline=minion.now + 4.0,
            wait=1.0,
            patience=0.6,
            on_result=lambda outcome: poll(),
        )

    def start_round(number):
        nonlocal most
        begun = timers.clock()
        left = set(range(STARTS))

        def finish(position, outcome):
            nonlocal most
            outcomes[outcome.value] = outcomes.get(outcome.value, 0) + 1
            left.discard(position)
            most = max(most, len(relay.pairs))
            if left:
                return
            seconds.append(timers.clock() - begun)
            if number + 1 < ROUNDS:
                timers.subscribe_once(0.2, lambda: start_round(number + 1))
            else:
                timers.stop()

        for position in range(STARTS):
            place = number * STARTS + position
            client.start(
                listed,
                TERM,
                dispatcher.StartRun(
                    minion.minion_id,
                    job.TaskId(JOB_ID, 0, 0, place),
                    1,
                    "{}",
                    "",
                    minion.now + 4.0,
                ),
                lambda outcome, position=position: finish(position, outcome),
            )

    poll()
    timers.subscribe_once(0.1, lambda: start_round(0))
    timers.run()
    sockets.close_all()
    return {
        "bench": "minion_orders",
        "delay_ms": delay_ms,
        "starts": STARTS,
        "rounds": ROUNDS,
        "connections": most,
        "outcomes": outcomes,
        "median_ms": round(statistics.median(seconds) * 1000, 1),
        "slowest_ms": round(max(seconds) * 1000, 1),
    }


if __name__ == "__main__":
    for delay in DELAYS_MS:
        print(json.dumps(measure(delay)), flush=True)
