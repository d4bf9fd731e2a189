"""Defines the OpenTelemetry instruments and renders them for Prometheus."""

import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk

Reading = tuple[Mapping[str, str], float]
"""Attributes and value of one gauge or total."""


class Kind(enum.Enum):
    """Type of an instrument."""

    COUNTER = "counter"
    TOTAL = "total"
    """Counter whose total is kept elsewhere and read when rendered."""
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True)
class Instrument:
    """Description of one metric.

    Attributes:
        name: OpenTelemetry name; Prometheus shows dots as underscores.
        kind: Type of the instrument.
        unit: UCUM unit.
        description: Help text of the metric.
        attributes: Names of the attributes of each value.
    """

    name: str
    kind: Kind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()


REQUESTS = Instrument(
    "clementinewood.requests",
    Kind.COUNTER,
    "1",
    "Requests answered with a minion's answer.",
    ("queue", "team"),
)
REFUSALS = Instrument(
    "clementinewood.refusals",
    Kind.COUNTER,
    "1",
    "Requests refused, by reason and execution verdict.",
    ("reason", "execution"),
)
RETRIES = Instrument(
    "clementinewood.retries",
    Kind.COUNTER,
    "1",
    "Attempts repeated, by the outcome that caused them.",
    ("cause",),
)
ATTEMPTS = Instrument(
    "clementinewood.attempts",
    Kind.COUNTER,
    "1",
    "Attempts at minions, by outcome.",
    ("outcome",),
)
REQUEST_SECONDS = Instrument(
    "clementinewood.request.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a whole request to its answer.",
    ("queue",),
)
RECORDS_REFUSED = Instrument(
    "clementinewood.records.refused",
    Kind.TOTAL,
    "1",
    "Log records dropped by the reader, by cause.",
    ("cause",),
)
PEER_MESSAGES = Instrument(
    "clementinewood.peer.messages",
    Kind.COUNTER,
    "1",
    "Messages sent to other entries, by kind.",
    ("kind",),
)
PEER_BYTES = Instrument(
    "clementinewood.peer.bytes",
    Kind.COUNTER,
    "By",
    "Bytes sent to other entries.",
)
PEER_CLOSED = Instrument(
    "clementinewood.peer.closed",
    Kind.COUNTER,
    "1",
    "Peer links that ended, by cause.",
    ("cause",),
)
HANDLER_FAILURES = Instrument(
    "clementinewood.handler.failures",
    Kind.TOTAL,
    "1",
    "Exceptions caught in handlers; any makes the entry unready.",
)
SLOW_TURNS = Instrument(
    "clementinewood.event_loop.slow_turns",
    Kind.TOTAL,
    "1",
    "Times that a part held the event loop for a quarter of a second or more.",
)
CONFIGURATION_FRESH = Instrument(
    "clementinewood.configuration.fresh",
    Kind.GAUGE,
    "1",
    "1 while this entry may act on its configuration.",
)
BUNDLE_VERSION = Instrument(
    "clementinewood.configuration.version",
    Kind.GAUGE,
    "1",
    "Version of the bundle in force at this entry.",
)
LOG_LAG = Instrument(
    "clementinewood.log.age",
    Kind.GAUGE,
    "s",
    "Seconds since this entry last read the log to its head.",
)
QUEUED_REQUESTS = Instrument(
    "clementinewood.queued",
    Kind.GAUGE,
    "1",
    "Requests waiting at this entry.",
    ("team",),
)
RUNNING_REQUESTS = Instrument(
    "clementinewood.running",
    Kind.GAUGE,
    "1",
    "Requests running at minions for this entry.",
    ("team",),
)
HELD_RIGHTS = Instrument(
    "clementinewood.rights.held",
    Kind.GAUGE,
    "1",
    "Part of each team's upper limit held by this entry.",
    ("team",),
)
EJECTED_MINIONS = Instrument(
    "clementinewood.minions.ejected",
    Kind.GAUGE,
    "1",
    "Minions ejected by this entry.",
)

JOB_ANSWERS = Instrument(
    "clementinewood.jobs.answers",
    Kind.COUNTER,
    "1",
    "Requests about jobs answered, by kind and HTTP status.",
    ("kind", "status"),
)
JOB_ANSWER_SECONDS = Instrument(
    "clementinewood.jobs.answer.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a whole request about a job to its answer.",
    ("kind",),
)
FORWARDED = Instrument(
    "clementinewood.forwarded",
    Kind.COUNTER,
    "1",
    "Requests forwarded to another entry, by outcome.",
    ("outcome",),
)
STATES_ASKED = Instrument(
    "clementinewood.states.asked",
    Kind.COUNTER,
    "1",
    "States of jobs that the leader was asked for, by outcome.",
    ("outcome",),
)
RUN_STARTS = Instrument(
    "clementinewood.runs.starts",
    Kind.COUNTER,
    "1",
    "Orders to start a run, by what the minion did.",
    ("outcome",),
)
TASKS_GIVEN_UP = Instrument(
    "clementinewood.tasks.given_up",
    Kind.COUNTER,
    "1",
    "Tasks given up because minions crashed under them.",
)
PREDICTED_WAIT = Instrument(
    "clementinewood.admission.predicted_wait",
    Kind.GAUGE,
    "s",
    "Predicted wait of new jobs at the leader, by team's rate.",
    ("pool", "rate"),
)
WAITING_JOBS = Instrument(
    "clementinewood.admission.waiting_jobs",
    Kind.GAUGE,
    "1",
    "Jobs with waiting tasks at the leader.",
    ("pool",),
)
LOAD_REFUSALS = Instrument(
    "clementinewood.admission.refusals",
    Kind.COUNTER,
    "1",
    "New jobs refused for load by this entry.",
    ("pool",),
)
HOLDS = Instrument(
    "clementinewood.holds",
    Kind.COUNTER,
    "1",
    "Steps for which room of a full pool was held, by what became of it.",
    ("pool", "change"),
)
BACKFILLED_TASKS = Instrument(
    "clementinewood.tasks.backfilled",
    Kind.COUNTER,
    "1",
    "Tasks started on held room that they leave in time.",
)
STORE_READS = Instrument(
    "clementinewood.store.reads",
    Kind.COUNTER,
    "1",
    "Reads of the platform's store, by stream and outcome.",
    ("stream", "outcome"),
)
STORE_READ_BYTES = Instrument(
    "clementinewood.store.read",
    Kind.COUNTER,
    "By",
    "Bytes received from the platform's store, also by reads that failed.",
    ("stream",),
)
STORE_LOAD_SECONDS = Instrument(
    "clementinewood.store.load.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from the start of a load of a stream's newest records to its end.",
    ("stream",),
)
LINK_CAPACITY = Instrument(
    "clementinewood.link.capacity",
    Kind.GAUGE,
    "By/s",
    "Capacity of this host's link, from its settings.",
)
DISPATCHING = Instrument(
    "clementinewood.dispatching",
    Kind.GAUGE,
    "1",
    "1 while this entry is the dispatcher.",
)
LOG_DROPPED = Instrument(
    "clementinewood.log.dropped",
    Kind.TOTAL,
    "1",
    "Log lines dropped because nobody read them, by rank.",
    ("rank",),
)
LOG_BUFFERED = Instrument(
    "clementinewood.log.buffered",
    Kind.GAUGE,
    "By",
    "Size of the log lines that wait for a reader.",
)

CATALOGUE: tuple[Instrument, ...] = tuple(
    value for value in globals().values() if isinstance(value, Instrument)
)


class Metrics:
    """The instruments of one entry.

    The exporter's own HTTP server and the periodic reader start threads, so
    values are collected when `render` is called.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = sdk.MeterProvider(
            metric_readers=[reader], shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter("clementinewood")
        self._counters: dict[str, api.Counter] = {}
        self._histograms: dict[str, api.Histogram] = {}
        for instrument in CATALOGUE:
            self._create(instrument)

    def _create(self, instrument: Instrument) -> None:
        name, unit = instrument.name, instrument.unit
        text = instrument.description
        match instrument.kind:
            case Kind.COUNTER:
                self._counters[name] = self._meter.create_counter(
                    name, unit, text
                )
            case Kind.HISTOGRAM:
                self._histograms[name] = self._meter.create_histogram(
                    name, unit, text
                )
            case Kind.GAUGE | Kind.TOTAL:
                pass

    def count(
        self, instrument: Instrument, amount: int = 1, **attributes: str
    ) -> None:
        """Adds `amount` to a counter."""
        self._counters[instrument.name].add(amount, attributes)

    def record(
        self, instrument: Instrument, value: float, **attributes: str
    ) -> None:
        """Adds one value to a histogram."""
        self._histograms[instrument.name].record(value, attributes)

    def observe(
        self, instrument: Instrument, read: Callable[[], Iterable[Reading]]
    ) -> None:
        """Registers `read` as source of a gauge or total, for `render`."""

        def collect(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [
                api.Observation(value, dict(attributes))
                for attributes, value in read()
            ]

        create = (
            self._meter.create_observable_counter
            if instrument.kind is Kind.TOTAL
            else self._meter.create_observable_gauge
        )
        create(
            instrument.name,
            [collect],
            instrument.unit,
            instrument.description,
        )

    def render(self) -> bytes:
        """Returns all values as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)


if __name__ == "__main__":
    example = Metrics()
    example.count(REFUSALS, reason="queue-full", execution="not-run")
    example.observe(CONFIGURATION_FRESH, lambda: [({}, 1.0)])
    print(example.render().decode())
