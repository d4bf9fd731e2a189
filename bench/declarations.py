"""Measures bundles, the replay of control records and the log client.

Reports milliseconds and bytes at 120, 1200 and 12000 workers. Run with
`python -m bench.declarations [NAME...]`; prints one JSON object per line.
"""

import json
import random
import statistics
import sys
import time

from bench import sites
from clementinewood import (
    bundle,
    fleet_fold,
    fleet_record,
    httpclient,
    logclient,
    logservice,
    record,
    state,
    timer,
    transport,
)

SIZES = (120, 1200, 12000)
FOREVER = 9e9
POOLS, TEAMS = 168, 170
CHANGES_A_DAY = 9400
CONTROL_BUDGET_BYTES_PER_SECOND = 10 * 1024
"""Limit of control traffic per node, in bytes per second."""


def report(name, **figures):
    rounded = {
        key: round(value, 3) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({"bench": name, **rounded}), flush=True)


def create_log_builder(workers):
    builder = sites.LogBuilder()
    builder.accept(sites.create_text(workers=workers, pools=POOLS, teams=TEAMS))
    return builder


def create_events(builder, count, rng):
    """Appends `count` assignments, steps and leases as a planner does."""
    workers = list(builder.state.assignments)
    pools = list(builder.state.bundle.pools)
    for _ in range(count):
        worker = rng.choice(workers)
        host = builder.state.assignments[worker]
        pool_version = builder.state.fleet.pool_versions.get(host.pool, 0)
        match rng.randrange(8):
            case 0:
                lease = builder.state.planner_lease
                builder.append(
                    fleet_record.PlannerLease(
                        sites.name_entry(1), lease.version if lease else 0, 5.0
                    )
                )
            case 1 | 2 | 3 if host.step is fleet_record.Step.IN_SERVICE:
                pool = rng.choice([p for p in pools if p != host.pool])
                builder.append(
                    fleet_record.WorkerAssigned(
                        worker, pool, host.version, pool_version, FOREVER
                    )
                )
            case _:
                steps = fleet_fold.TRANSITIONS[host.step]
                # A pool's budget may reject a cordon, but never a loss.
                builder.append(
                    fleet_record.MaintenanceStep(
                        worker,
                        rng.choice(
                            [
                                step
                                for step in fleet_record.Step
                                if step in steps
                                and step is not fleet_record.Step.CORDONED
                            ]
                        ),
                        host.version,
                        FOREVER,
                        pool_version=pool_version,
                    )
                )


def run_parse():
    for workers in SIZES:
        text = sites.create_text(workers=workers, pools=POOLS, teams=TEAMS)
        times = []
        for _ in range(5):
            begin = time.perf_counter()
            bundle.parse_bundle(text).unwrap()
            times.append(time.perf_counter() - begin)
        report(
            "parse",
            workers=workers,
            text_bytes=len(text),
            median_ms=statistics.median(times) * 1e3,
        )


def run_fold():
    for workers in SIZES:
        builder = create_log_builder(workers)
        start = len(builder.log)
        create_events(builder, 5000, random.Random(1))
        target = create_log_builder(workers).state
        begin = time.perf_counter()
        decoded = [
            record.decode_record(data, sites.CLUSTER_KEY).unwrap()
            for data in builder.log[start:]
        ]
        middle = time.perf_counter()
        for offset, entry in enumerate(decoded, start=start):
            target.apply(entry, offset, 1.8e9 + offset)
        end = time.perf_counter()
        assert target.outcomes[state.Outcome.APPLIED] == len(builder.log)
        report(
            "fold",
            workers=workers,
            records=len(decoded),
            records_per_second=len(decoded) / (end - begin),
            decode_us=(middle - begin) / len(decoded) * 1e6,
            apply_us=(end - middle) / len(decoded) * 1e6,
            record_bytes=statistics.mean(map(len, builder.log[start:])),
        )


def run_snapshot():
    for workers in SIZES:
        builder = create_log_builder(workers)
        for events in (0, 2000):
            create_events(builder, events, random.Random(1))
            makes, restores = [], []
            for _ in range(5):
                begin = time.perf_counter()
                data = builder.state.snapshot()
                makes.append(time.perf_counter() - begin)
                begin = time.perf_counter()
                restored = state.ControlState()
                restored.restore(data).unwrap()
                restores.append(time.perf_counter() - begin)
            assert restored.snapshot() == data
            report(
                "snapshot",
                workers=workers,
                planner_records=events,
                bytes=len(data),
                create_ms=statistics.median(makes) * 1e3,
                restore_ms=statistics.median(restores) * 1e3,
            )


def run_change():
    """Measures bundles that differ from the version before in one option.

    The baseline for bytes per second is to append every bundle as a whole.
    """
    for workers in SIZES:
        rng = random.Random(1)
        builder = create_log_builder(workers)
        text = sites.create_text(workers=workers, pools=POOLS, teams=TEAMS)
        deltas, wholes, makes, folds = [], [], [], []
        for version in range(2, 386):
            text = sites.change_text(text, version, rng)
            signed = sites.sign(text)
            begin = time.perf_counter()
            payload = builder.state.create_bundle_payload(signed)
            middle = time.perf_counter()
            size = builder.append(payload)
            folds.append(time.perf_counter() - middle)
            makes.append(middle - begin)
            (deltas if payload.delta else wholes).append(size)
        mean = (sum(deltas) + sum(wholes)) / (len(deltas) + len(wholes))
        # Records are sent as base64 inside JSON.
        wire = mean * 4 / 3 + 60
        report(
            "change",
            workers=workers,
            changes=len(makes),
            delta_bytes=statistics.mean(deltas),
            delta_bytes_max=max(deltas),
            whole_bytes=statistics.mean(wholes),
            mean_bytes=mean,
            read_bytes_per_second=wire * CHANGES_A_DAY / 86400,
            always_whole_bytes_per_second=(
                (statistics.mean(wholes) * 4 / 3 + 60) * CHANGES_A_DAY / 86400
            ),
            make_ms=statistics.median(makes) * 1e3,
            fold_ms=statistics.median(folds) * 1e3,
            fold_ms_max=max(folds) * 1e3,
        )


class Cluster:
    """Runs clients of one simulated log in one process, in real time."""

    def __init__(self, clients, *, delay=0.0):
        self.timers = timer.TimerService()
        self.sockets = transport.Transport(self.timers).register(self.timers)
        self.service = logservice.LogService(self.sockets, self.timers)
        self.service.faults.delay = delay
        # Bundles of an author who is not a member have no effect.
        self.append(sites.create_joined(1))
        address = self.service.listen(("127.0.0.1", 0))
        self.states = [state.ControlState() for _ in range(clients)]
        self.seen = []
        self.clients = [
            logclient.LogClient(
                httpclient.HttpClient(self.sockets, self.timers, address),
                self.timers,
                "control",
                lambda found, number=number: self.fold(number, found),
                key=sites.CLUSTER_KEY,
                rate=logclient.AppendRate(1000.0),
            )
            for number in range(clients)
        ]
        for client in self.clients:
            client.start()

    def append(self, payload):
        """Appends a record to the log directly, without a client."""
        entry = record.create_record(sites.name_entry(1), payload)
        data = record.encode_record(entry, sites.CLUSTER_KEY)
        self.service.append("control", data)

    def fold(self, number, found):
        for item in found:
            self.states[number].apply(item.record, item.offset, item.time)
            self.seen.append((number, item.offset, time.perf_counter()))


def run_traffic():
    """Measures bytes of HTTP that one entry exchanges with the log."""
    total = [0]
    send = transport.Connection.send

    def count(connection, data):
        total[0] += len(data)
        return send(connection, data)

    transport.Connection.send = count
    try:
        for period in (None, 2.0, 0.5):
            cluster = Cluster(1)
            text = sites.create_text(workers=12000, pools=POOLS, teams=TEAMS)
            rng = random.Random(1)
            made = [1]

            def change(cluster=cluster, made=made, rng=rng):
                nonlocal text
                made[0] += 1
                text = sites.change_text(text, made[0], rng)
                cluster.append(
                    cluster.states[0].create_bundle_payload(sites.sign(text))
                )

            cluster.append(
                state.ControlState().create_bundle_payload(sites.sign(text))
            )
            marks = []

            def mark(marks=marks):
                marks.append((total[0], time.process_time()))

            cluster.timers.subscribe_once(1.0, mark)
            if period:
                cluster.timers.subscribe_every(period, change)
            cluster.timers.subscribe_once(11.0, mark)
            cluster.timers.subscribe_once(11.01, cluster.timers.stop)
            cluster.timers.run()
            report(
                "traffic",
                changes_per_second=0 if period is None else 1 / period,
                bytes_per_second=(marks[1][0] - marks[0][0]) / 10,
                budget_bytes_per_second=CONTROL_BUDGET_BYTES_PER_SECOND,
                core_percent_with_stand_in=(
                    (marks[1][1] - marks[0][1]) / 10 * 100
                ),
            )
    finally:
        transport.Connection.send = send


def run_propagation():
    """Measures ms from `append` until the last of 7 entries has applied it."""
    for delay in (0.0, 0.005, 0.05):
        cluster = Cluster(7, delay=delay)
        text = sites.create_text(workers=12000, pools=POOLS, teams=TEAMS)
        rng = random.Random(1)
        begun = []

        def append(cluster=cluster, begun=begun, rng=rng):
            nonlocal text
            if len(begun) == 60:
                cluster.timers.stop()
                return
            version = len(begun) + 1
            if version > 1:
                text = sites.change_text(text, version, rng)
            payload = cluster.states[0].create_bundle_payload(sites.sign(text))
            begun.append(time.perf_counter())
            cluster.clients[0].append(
                record.create_record(sites.name_entry(1), payload),
                lambda outcome: None,
            )

        cluster.timers.subscribe_every(0.4, append)
        cluster.timers.run()
        last = {}
        for _, offset, at in cluster.seen:
            last[offset] = max(last.get(offset, 0.0), at)
        delays = sorted(
            (last[offset] - begin) * 1e3
            for offset, begin in enumerate(begun, start=1)
            # The first bundle is sent whole and blocks the event loop that
            # all seven share for half a second, which delays the next.
            if offset > 3
        )
        assert all(one.version == len(begun) for one in cluster.states)
        report(
            "propagation",
            entries=len(cluster.states),
            log_delay_ms=delay * 1e3,
            changes=len(delays),
            median_ms=statistics.median(delays),
            max_ms=delays[-1],
        )


RUNS = {
    "parse": run_parse,
    "fold": run_fold,
    "snapshot": run_snapshot,
    "change": run_change,
    "traffic": run_traffic,
    "propagation": run_propagation,
}


def main(names):
    for name in names or RUNS:
        RUNS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
