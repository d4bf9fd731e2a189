"""Serves the platform's HTTP interfaces from the state of `job_harness`."""

import base64
import dataclasses
import enum
import json
from urllib import parse

from clementinewood import dispatcher, identifiers, job, ports, run
from clementinewood_platform import storeclient, wire

APPEND_SECONDS = 0.004
SLOW_SECONDS = 0.24
LATE_SECONDS = 3.0
LATE_ORDER_SECONDS = 4.0
CRASH_DELAY_SECONDS = 0.2
MOST_WAITING_SECONDS = 2.0
PAGE_ITEMS = 500
JSON = [(b"content-type", b"application/json")]
ORDERS = ("/-/run-start", "/-/run-stop")

STREAMS = {topic: stream for stream, topic in storeclient.TOPICS.items()}
START_REASONS = {
    dispatcher.StartOutcome.FENCED: "fence",
    dispatcher.StartOutcome.SUPERSEDED: "old",
    dispatcher.StartOutcome.TOO_LATE: "late",
    dispatcher.StartOutcome.NO_ROOM: "room",
}
MACHINE_REASONS = {
    ports.MachineOutcome.FENCED: "fence",
    ports.MachineOutcome.BUSY: "busy",
}


def answer(exchange, status, fields):
    exchange.respond(status, JSON, json.dumps(fields).encode())


class SimulatedService:
    """Dispatches requests to the function for their path."""

    def __init__(self, harness):
        self.harness = harness
        self.calls = {}

    def handle_exchange(self, exchange):
        path, _, query = exchange.request.target.partition("?")
        call = self.calls.get(path)
        if call is None:
            answer(exchange, 404, {"error": path})
            return
        call(exchange, dict(parse.parse_qsl(query)))

    def render_refusal(self, refusal):
        return refusal.status, JSON, b"{}"

    def later(self, seconds, callback):
        self.harness.timers.subscribe_once(seconds, callback)


class StoreMode(enum.Enum):
    """Says how the store answers one entry."""

    HEALTHY = "sound"
    REFUSING = "refusing"
    SILENT = "silent"
    LOSSY = "lossy"
    SLOW = "slow"


class SimulatedStore(SimulatedService):
    """Simulates the store for one entry."""

    def __init__(self, harness):
        super().__init__(harness)
        self.mode = StoreMode.HEALTHY
        self.calls = {
            "/-/log-append": self.append,
            "/-/log-read": self.read,
            "/-/log-newest": self.read_newest,
        }

    def handle_exchange(self, exchange):
        match self.mode:
            case StoreMode.SILENT:
                return
            case StoreMode.REFUSING:
                answer(exchange, 503, {})
            case _:
                super().handle_exchange(exchange)

    def append(self, exchange, query):
        stream = STREAMS[query["topic"]]
        fence = None
        if "epoch" in query:
            fence = ports.Fence(
                identifiers.Term(int(query["epoch"])), int(query["seq"])
            )
        items = decode_items(exchange.request.body)
        rng = self.harness.random
        lost = self.mode is StoreMode.LOSSY and rng.random() < 0.35
        if self.harness.read_waiting(stream) > MOST_WAITING_SECONDS:
            answer(exchange, 503, {})
            return
        wait = self.harness.take_turn(
            stream,
            SLOW_SECONDS if self.mode is StoreMode.SLOW else APPEND_SECONDS,
        )
        if lost and rng.random() < 0.5:
            wait += rng.uniform(0.0, LATE_SECONDS)

        def carry_out():
            outcome = self.harness.store.append(stream, items, fence)
            if isinstance(outcome, ports.Appended):
                self.harness.record_append(stream, items, outcome.offset)
            if not lost:
                self.answer_append(exchange, outcome)

        self.later(wait, carry_out)

    def answer_append(self, exchange, outcome):
        match outcome:
            case ports.Appended(offset):
                answer(exchange, 200, {"offset": offset, "end": offset + 1})
            case ports.Fenced():
                answer(exchange, 409, {"reason": "fenced"})
            case ports.OutOfOrder(expected):
                answer(exchange, 409, {"reason": "seq", "seq": expected})

    def read(self, exchange, query):
        store = self.harness.store
        stream = STREAMS[query["topic"]]
        offset = int(query["from"])
        pause = SLOW_SECONDS if self.mode is StoreMode.SLOW else 0.001

        def finish():
            if exchange.answered or self.mode is StoreMode.SILENT:
                return
            first = store.first[stream]
            if offset < first:
                answer(exchange, 410, {"first": first})
                return
            records = store.records[stream]
            parts = [
                len(records).to_bytes(8, "big"),
                first.to_bytes(8, "big"),
                wire.encode_items(
                    [
                        ports.KeyedRecord(item.key, item.value)
                        for item in records[offset:]
                    ]
                ),
            ]
            exchange.respond(200, [], b"".join(parts))

        def check():
            ready = len(store.records[stream]) > offset
            if ready or offset < store.first[stream]:
                self.later(pause, finish)
            elif not exchange.answered:
                store.waiting.append(check)

        check()
        self.later(int(query.get("wait_ms", 0)) / 1000.0 + pause, finish)

    def read_newest(self, exchange, query):
        store = self.harness.store
        stream = STREAMS[query["topic"]]
        after = query.get("after", "")
        newest = store.newest[stream]
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key].value).decode(),
                "offset": newest[key].offset,
            }
            for key in keys[:PAGE_ITEMS]
        ]
        fields = {
            "items": items,
            "more": len(keys) > PAGE_ITEMS,
            "end": len(store.records[stream]),
        }
        pause = SLOW_SECONDS if self.mode is StoreMode.SLOW else APPEND_SECONDS
        self.later(pause, lambda: answer(exchange, 200, fields))


def decode_items(body):
    """Decodes the keyed records of an append request."""
    items = []
    place = 0
    while place < len(body):
        size = int.from_bytes(body[place : place + 4], "big")
        record = body[place + 4 : place + 4 + size]
        place += 4 + size
        length = record[0]
        key = record[1 : 1 + length].decode()
        items.append(ports.KeyedRecord(key, record[1 + length :]))
    return items


class OrderFault(enum.Enum):
    """Says what becomes of calls to a minion."""

    LATE = "late"
    """Orders are carried out seconds later, without an answer."""

    UNANSWERED = "unanswered"
    """Calls are carried out, but their answers are lost."""


@dataclasses.dataclass(frozen=True)
class Starter:
    """Says who sent the order that started a run.

    Attributes:
        term: Fencing token of the order.
        late: Whether the minion carried it out late.
    """

    term: int
    late: bool


class SimulatedMinion(SimulatedService):
    """Simulates the minion at one address.

    Attributes:
        order_fault: What becomes of a share of the calls; None if nothing.
        order_fault_share: That share.
        crashes_after_end: Whether it crashes right after a task has ended.
    """

    def __init__(self, harness, minion):
        super().__init__(harness)
        self.minion = minion
        self.order_fault = None
        self.order_fault_share = 0.0
        self.crashes_after_end = False
        self.calls = {
            "/-/run-start": self.start,
            "/-/run-stop": self.stop,
            "/-/hold": self.hold,
            "/-/pace": self.pace,
        }

    def handle_exchange(self, exchange):
        if self.minion.unreachable:
            return
        wanted = exchange.request.find_header(b"x-expect-instance")
        if wanted != self.minion.minion_id:
            answer(exchange, 421, {})
            return
        if self.harness.random.random() < self.order_fault_share:
            exchange.context = self.order_fault
        is_order = exchange.request.target in ORDERS
        if exchange.context is OrderFault.LATE and is_order:
            self._carry_out_late(exchange)
        else:
            super().handle_exchange(exchange)

    def _carry_out_late(self, exchange):
        incarnation = self.minion.incarnation

        def carry_out():
            if self.minion.incarnation == incarnation:
                SimulatedService.handle_exchange(self, exchange)

        seconds = self.harness.random.uniform(0.2, LATE_ORDER_SECONDS)
        self.later(seconds, carry_out)

    def handle_run_end(self, how):
        """Crashes after a task has ended, while that fault is set."""
        if not self.crashes_after_end or how is not run.RunOutcome.DONE:
            return
        incarnation = self.minion.incarnation

        def crash():
            if self.minion.incarnation == incarnation:
                self.minion.crash()

        rng = self.harness.random
        self.later(
            rng.choice((0.0, rng.uniform(0, CRASH_DELAY_SECONDS))), crash
        )

    def reply(self, exchange, status, **fields):
        if self.minion.unreachable or exchange.context is not None:
            return
        fields["clock_ms"] = int(self.minion.now * 1000)
        answer(exchange, status, fields)

    def start(self, exchange, query):
        fields = json.loads(exchange.request.body)
        task = job.parse_task_id(fields["task"])
        order = dispatcher.StartRun(
            minion_id=self.minion.minion_id,
            task=task,
            number=fields["run"],
            spec=fields["spec"],
            checkpoint=fields.get("checkpoint", ""),
            deadline=fields["deadline_ms"] / 1000.0,
        )
        if task.job not in self.harness.accepted:
            self.harness.violations.append(
                f"{fields['task']} starts, but no caller submitted its job"
            )
            self.reply(exchange, 400)
            return
        term = fields["fencing_token"]
        late = exchange.context is OrderFault.LATE
        outcome = self.minion.start(term, order, Starter(term, late))
        if outcome is dispatcher.StartOutcome.STARTED:
            self.reply(exchange, 200)
        else:
            self.reply(exchange, 409, reason=START_REASONS[outcome])

    def stop(self, exchange, query):
        fields = json.loads(exchange.request.body)
        order = dispatcher.StopRun(
            self.minion.minion_id,
            job.parse_task_id(fields["task"]),
            fields["run"],
        )
        if self.minion.stop(fields["fencing_token"], order):
            self.reply(exchange, 200)
        else:
            self.reply(exchange, 409, reason="fence")

    def hold(self, exchange, query):
        fields = json.loads(exchange.request.body)
        deadline = fields.get("deadline_ms")
        incarnation = self.minion.incarnation
        state = {"done": False}

        def poll(extend):
            return self.minion.poll(
                fields["fencing_token"],
                fields["ack_cursor"],
                deadline / 1000.0 if extend and deadline is not None else None,
            )

        def finish():
            if state["done"] or incarnation != self.minion.incarnation:
                return
            state["done"] = True
            self.send_report(exchange, poll(False))

        report = poll(True)
        wait = fields.get("wait_ms", 0) / 1000.0
        idle = not isinstance(report, ports.PollFenced) and not report.ended
        if not idle or not wait:
            self.send_report(exchange, report)
            return
        self.minion.waiting.append(finish)
        self.later(wait, finish)

    def send_report(self, exchange, report):
        if isinstance(report, ports.PollFenced):
            self.reply(exchange, 409, reason="fence")
            return
        self.reply(
            exchange,
            200,
            born=report.incarnation,
            running=[
                [row.task.render(), row.number, row.checkpoint, row.percent, 0]
                for row in report.running
            ],
            ended=[
                [
                    row.sequence,
                    row.task.render(),
                    row.number,
                    row.outcome.value,
                    row.checkpoint,
                ]
                for row in report.ended
            ],
        )

    def pace(self, exchange, query):
        self.reply(exchange, 200)


class SimulatedMachineService(SimulatedService):
    """Simulates the machine service; answers nothing while `down` is set."""

    def __init__(self, harness):
        super().__init__(harness)
        self.down = False
        self.calls = {
            "/-/machines": self.list_machines,
            "/-/machine-move": self.move,
            "/-/machine-upkeep": self.upkeep,
        }

    def handle_exchange(self, exchange):
        if not self.down:
            super().handle_exchange(exchange)

    def list_machines(self, exchange, query):
        found = [
            item.describe()
            for item in self.harness.machine_service.machines.values()
        ]
        rows = [
            {
                "machine": item.machine_id,
                "pool": item.pool,
                "state": item.state.value,
                "zone": item.zone,
                "labels": list(item.labels),
                "capacity": render_resources(item.capacity),
                "id": item.minion_id,
            }
            for item in found
        ]
        answer(exchange, 200, {"machines": rows, "next_page_token": None})

    def move(self, exchange, query):
        fields = json.loads(exchange.request.body)
        outcome = self.harness.machine_service.move(
            identifiers.MachineId(fields["machine"]),
            identifiers.PoolId(fields["pool"]),
            read_term(exchange),
        )
        answer_order(exchange, outcome)

    def upkeep(self, exchange, query):
        fields = json.loads(exchange.request.body)
        outcome = self.harness.machine_service.service(
            identifiers.MachineId(fields["machine"]),
            fields["wave"],
            read_term(exchange),
        )
        answer_order(exchange, outcome)


def read_term(exchange):
    return int(exchange.request.find_header(b"x-fencing-token"))


def answer_order(exchange, outcome):
    if outcome is ports.MachineOutcome.ACCEPTED:
        answer(exchange, 200, {})
    else:
        answer(exchange, 409, {"reason": MACHINE_REASONS[outcome]})


def render_resources(resources):
    return {
        "cpu": resources.cpu,
        "mem_mb": resources.memory,
        "gpu": resources.gpu,
    }
