"""Steps for requests that entries forward to each other."""

import itertools
import json
import pathlib
import random
import tempfile

import behave

from clementinewood import (
    edge,
    entrydirectory,
    forwarder,
    forwarding,
    httpclient,
    identifiers,
    jobtable,
    metric,
    ports,
    timer,
    verdict,
)
from clementinewood_platform import peerclient, platformsettings
from features import clock, forwarding_harness, job_harness
from features.steps import job_service_steps, operations_steps

NAME = job_service_steps.NAME


# Whole sites.


@behave.given('a site of entries in zones "{zones}"')
def create_site(context, zones):
    context.site = forwarding_harness.ForwardingSite(zones.split())
    context.add_cleanup(context.site.close)


@behave.given('a logged site of entries in zones "{zones}"')
def create_logged_site(context, zones):
    operations_steps.capture_lines(context)
    create_site(context, zones)


def refuse(context, entries, seconds):
    for entry in entries:
        entry.link.refuses = True
    context.site.loop.run_for(seconds)


@behave.when(
    "entry {number:d} has been refused by the store for {seconds:g} seconds"
)
def cut_off(context, number, seconds):
    refuse(context, [context.site.entries[number]], seconds)


@behave.when(
    "every entry has been refused by the store for {seconds:g} seconds"
)
def cut_off_all(context, seconds):
    refuse(context, context.site.entries, seconds)


@behave.when("entry {number:d} loads the job log anew and can't read it")
def reload(context, number):
    entry = context.site.entries[number]
    entry.link.refuses = True
    entry.service.table = jobtable.JobTable()
    entry.service._jobs_feed.stop()
    entry.service._jobs_feed.start()


@behave.when("a job is submitted at entry {number:d}")
def submit(context, number):
    context.answer = context.site.call(
        context.site.entries[number],
        "POST",
        NAME,
        body=forwarding_harness.render_job(),
    )


@behave.given(
    "appends of jobs take {seconds:g} seconds each, one after the other"
)
def serialize_appends(context, seconds):
    store = context.site.harness.store
    store.append_seconds[ports.Stream.JOBS] = seconds


@behave.when(
    "{count:d} jobs are submitted within {seconds:g} seconds, spread over all"
    " entries"
)
def submit_many(context, count, seconds):
    site = context.site
    context.callers = {}
    for number in range(count):
        name = f"{number:016x}"
        entry = site.entries[number % len(site.entries)]
        context.callers[name] = site.send(
            entry, "POST", name, body=forwarding_harness.render_job()
        )
        site.loop.run_for(seconds / count)
    context.statuses = {
        name: caller.read_answers(1, methods=("POST",))[0][0]
        for name, caller in context.callers.items()
    }
    for caller in context.callers.values():
        caller.socket.close()


@behave.then("at least {share:g} of them are accepted before their deadline")
def check_accepted_share(context, share):
    statuses = list(context.statuses.values())
    accepted = statuses.count(200) / len(statuses)
    assert accepted >= share, (accepted, statuses)


@behave.then("every accepted job is stored")
def check_accepted_stored(context):
    for name, status in context.statuses.items():
        if status == 200:
            assert context.site.count_stored(name) >= 1, name


@behave.then("the submission is answered with {status:d}")
def check_submission(context, status):
    assert context.answer[0] == status, context.answer


@behave.then(
    "entry {number:d} answers a GET for the job with {status:d} within"
    " {seconds:g} seconds"
)
def check_get(context, number, status, seconds):
    context.answer = context.site.call(
        context.site.entries[number], "GET", NAME
    )
    assert context.answer[0] == status, context.answer
    assert context.answer[3] <= seconds, context.answer


@behave.then("entry {number:d} rejects an unknown key with {status:d}")
def check_key(context, number, status):
    entry = context.site.entries[number]
    answer = context.site.call(entry, "GET", NAME, key="moth")
    assert answer[0] == status, answer


@behave.then('the answer has reason "{reason}" as JSON')
def check_reason(context, reason):
    _, headers, body, _ = context.answer
    assert headers[b"content-type"] == b"application/json", headers
    assert json.loads(body)["reason"] == reason, body


@behave.then("the answer says that it may have run")
def check_execution(context):
    fields = json.loads(context.answer[2])
    assert fields["execution"] == verdict.Execution.MAY_HAVE_RUN.value, fields


@behave.then("the answer has Retry-After")
def check_retry_after(context):
    assert b"retry-after" in context.answer[1], context.answer


@behave.then("the job is stored {times:d} time")
def check_stored_times(context, times):
    assert context.site.count_stored(NAME) == times


@behave.then("the job is stored")
def check_stored(context):
    assert context.site.count_stored(NAME) >= 1


@behave.when("every answer to entry {number:d} is lost")
def lose_answers(context, number):
    entries = context.site.entries
    entries[number].peers.lost = {item.address for item in entries}


@behave.when("every answer of entry {source:d} to entry {number:d} is lost")
def lose_answers_of(context, source, number):
    entries = context.site.entries
    entries[number].peers.lost = {entries[source].address}


@behave.then("entry {number:d} has asked {count:d} entries")
def check_asked(context, number, count):
    assert len(context.site.entries[number].peers.sent) == count


@behave.then("entries have asked each other {count:d} times")
def check_attempts(context, count):
    assert context.site.count_attempts() == count


@behave.when("entry {number:d} accepts requests and is silent")
def silence(context, number):
    context.site.entries[number].fall_silent()


@behave.when(
    "a caller asks entry {number:d} for the job and leaves after 1 second"
)
def leave(context, number):
    entry = context.site.entries[number]
    caller = context.site.send(entry, "GET", NAME)
    context.site.loop.run_for(1.0)
    assert entry.forwarder.requests_in_flight == 1
    caller.socket.close()
    context.site.loop.run_for(0.1)


@behave.then("entry {number:d} has no forwarded request in flight")
def check_idle(context, number):
    entry = context.site.entries[number]
    assert entry.forwarder.requests_in_flight == 0
    states = entry.forwarder._states.values()
    assert [state.in_flight for state in states] == [0, 0], states


@behave.then("the refusal is logged by this entry with the entries it tried")
def check_own_line(context):
    lines = operations_steps.find_lines(context, "CW1602", NAME)
    own = [line["extra"] for line in lines if not line["extra"]["forwarded"]]
    assert len(own) == 1, own
    assert own[0]["tried"].count(":503") == 3, own


@behave.then("the refusal is logged by those entries as forwarded")
def check_other_lines(context):
    lines = operations_steps.find_lines(context, "CW1602", NAME)
    others = [line for line in lines if line["extra"]["forwarded"]]
    assert len(others) == 3, others


@behave.when("entry {number:d} begins to stop")
def stop(context, number):
    context.site.entries[number].service.stop()


@behave.given('platform settings with internal ports "{ports}"')
def read_ports(context, ports):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.toml"
    first, last = ports.split()
    path.write_text(
        'node = "edge-1"\nip = "10.0.0.1"\n'
        f"internal_ports = [{first}, {last}]\n"
        '[listen]\nfront = "10.0.0.1:1"\nready = "10.0.0.1:2"\n'
        '[platform]\naddress = "10.0.0.9:3"\n'
    )
    context.settings = platformsettings.read_settings(str(path)).unwrap()


@behave.then('forwarded requests are taken at port "{port}"')
def check_port(context, port):
    expected = None if port == "none" else ("10.0.0.1", int(port))
    assert context.settings.forwarding_address == expected


@behave.when("an entry has been refused by the store for {seconds:g} seconds")
def cut_off_follower(context, seconds):
    harness = context.harness
    context.entry = job_service_steps.find_follower(harness)
    context.entry._store.link.refuses = True
    harness.run_for(seconds)


@behave.when("it is asked for an unknown job")
def ask_unknown(context):
    context.answers = []
    context.entry.describe(identifiers.JobId(NAME), context.answers.append)


@behave.then("it refuses without waiting as the log can't be read")
def check_refused(context):
    assert len(context.answers) == 1, "it waits"
    assert context.answers[0].reason is verdict.Reason.STORE_UNAVAILABLE


# Decisions.


def read_peer(text):
    name, zone, in_flight = text.removesuffix("!").split(":")
    return forwarding.Peer(
        entry_id=identifiers.EntryId(name),
        zone=identifiers.ZoneId(zone),
        in_flight=int(in_flight),
        avoided=text.endswith("!"),
    )


@behave.given('entries "{peers}" are known in zone "{zone}"')
def create_peers(context, peers, zone):
    context.peers = [read_peer(text) for text in peers.split()]
    context.zone = zone


@behave.given('entries "" are known in zone "{zone}"')
def create_no_peers(context, zone):
    create_peers(context, "", zone)


def choose(context, attempts, left, draw):
    return forwarding.choose_peer(
        forwarding.Situation(
            refusal=verdict.Refusal(verdict.Reason.STORE_UNAVAILABLE),
            seconds_left=left,
            attempts=attempts,
            requests_in_flight=0,
            has_retry_token=True,
            zone=identifiers.ZoneId(context.zone),
            peers=context.peers,
        ),
        draw,
    )


@behave.when(
    "a request of {attempts:d} attempts with {left:g} seconds left is refused"
)
def choose_many(context, attempts, left):
    draw = random.Random(1).random
    found = [choose(context, attempts, left, draw) for _ in range(100)]
    context.chosen = {peer.entry_id if peer else "none" for peer in found}


@behave.then('one of "{names}" is asked')
def check_chosen(context, names):
    assert context.chosen == set(names.split()), context.chosen


@behave.when("{count:d} requests choose an entry")
def choose_often(context, count):
    draw = random.Random(1).random
    context.chosen = [
        choose(context, 0, 3.0, draw).entry_id for _ in range(count)
    ]


@behave.then('between {low:d} and {high:d} of them choose "{name}"')
def check_share(context, low, high, name):
    assert low <= context.chosen.count(name) <= high, context.chosen.count(name)


@behave.then(
    'a refusal "{reason}" with execution "{execution}" is forwarded: {expected}'
)
def check_forwarded(context, reason, execution, expected):
    refusal = verdict.Refusal(
        verdict.Reason(reason), verdict.Execution(execution)
    )
    assert forwarding.may_forward(refusal) is (expected == "yes")


@behave.then(
    'a response {status:d} with body "{body}" may have taken effect: {expected}'
)
def check_classified(context, status, body, expected):
    response = httpclient.Response(status, (), body.encode())
    match peerclient.classify_result(response):
        case ports.PeerRefused(execution):
            unsure = execution is not verdict.Execution.NOT_RUN
            assert unsure is (expected == "yes"), execution
        case other:
            raise AssertionError(other)


# One forwarder.


def create_answer(status):
    return ports.PeerAnswered(
        httpclient.Response(status, (), b""), status < 400
    )


RESULTS = {
    "served": create_answer(200),
    "rejected": create_answer(401),
    "refused": ports.PeerRefused(verdict.Execution.NOT_RUN, "503"),
    "unsure": ports.PeerRefused(verdict.Execution.MAY_HAVE_RUN, "504"),
    "not-sent": ports.Failed(verdict.Execution.NOT_RUN, "refused"),
    "lost": ports.Failed(verdict.Execution.MAY_HAVE_RUN, "reset"),
}


class ScriptedPeers:
    """Gives the n-th result to every n-th attempt of a request."""

    def __init__(self, timers, results):
        self.timers = timers
        self.results = results
        self.attempts = 0
        self.by_request = {}

    def send(self, address, request, timeout, on_result):
        number = self.by_request.get(id(request), 0)
        self.by_request[id(request)] = number + 1
        result = self.results[number]
        if result == "flapping":
            result = ("lost", "served")[self.attempts % 2]
        self.attempts += 1
        if result != "silent":
            self.timers.subscribe_once(
                0.001, lambda: on_result(RESULTS[result])
            )
        return lambda: None


class CountingMetrics:
    """Keeps the outcomes of forwarded requests."""

    def __init__(self):
        self.outcomes = []

    def count(self, instrument, amount=1, **attributes):
        assert instrument is metric.FORWARDED
        self.outcomes.append(attributes["outcome"])


@behave.given('a forwarder with scripted entries "{results}"')
def create_forwarder(context, results):
    results = results.split()
    context.clock = clock.ManualClock(100.0)
    context.timers = timer.TimerService(clock=context.clock)
    harness = job_harness.JobHarness(
        entries=0, minions=0, timers=context.timers
    )
    directory = create_directory(harness, 0)
    for number, _ in enumerate(results, start=1):
        address = create_address(number)
        directory._entries[address.entry_id] = address
    context.peers = ScriptedPeers(context.timers, results)
    context.metrics = CountingMetrics()
    context.forwarder = forwarder.Forwarder(
        directory,
        context.peers,
        context.timers,
        context.metrics,
        random_fraction=random.Random(1).random,
    )
    context.ended = []
    context.requests = []


@behave.given('a logged forwarder with scripted entries "{results}"')
def create_logged_forwarder(context, results):
    operations_steps.capture_lines(context)
    create_forwarder(context, results)


def forward(context, kind):
    request = edge.HttpRequest("POST", "/", (), b"", ("127.0.0.1", 1))
    # Kept, so that no other request gets its identity.
    context.requests.append(request)
    context.forwarder.forward(
        request,
        verdict.Refusal(verdict.Reason.STORE_UNAVAILABLE, retry_after=1.0),
        3.0,
        context.ended.append,
        has_effect=kind == "submission",
    )


def run_for(context, seconds):
    end = context.clock.now + seconds
    while context.clock.now < end:
        context.timers.run_due()
        context.clock.now += 0.01
    assert not context.timers.failures


@behave.when("a {kind} is forwarded")
def forward_one(context, kind):
    forward(context, kind)
    run_for(context, 3.0)


@behave.then('it ends as "{end}" and counts as "{counted}"')
def check_end(context, end, counted):
    assert len(context.ended) == 1, context.ended
    match context.ended[0]:
        case forwarder.Forwarded(response):
            found = str(response.status)
        case forwarder.NotForwarded(refusal):
            found = refusal.reason.value
            unsure = refusal.execution is verdict.Execution.MAY_HAVE_RUN
            assert unsure is (end == "acceptance-unknown"), refusal
            assert unsure or refusal.retry_after, refusal
    assert found == end, context.ended
    assert context.metrics.outcomes == [counted], context.metrics.outcomes
    assert context.forwarder.requests_in_flight == 0
    states = context.forwarder._states.values()
    assert not any(state.in_flight for state in states), states


@behave.when("{count:d} requests are forwarded within {seconds:g} seconds")
def forward_many(context, count, seconds):
    for _ in range(count):
        forward(context, "GET")
        run_for(context, seconds / count)
    context.count = count


@behave.then("at most {count:d} attempts were made")
def check_attempt_count(context, count):
    run_for(context, 3.0)
    assert len(context.ended) == context.count
    assert context.count <= context.peers.attempts <= count, (
        context.peers.attempts
    )


@behave.then(
    "at most {count:d} requests are in flight and the others were refused at"
    " once"
)
def check_in_flight(context, count):
    assert context.forwarder.requests_in_flight == count
    assert len(context.ended) == context.count - count


@behave.then('1 line "{first}" and 1 line "{second}" name the entry')
def check_lines(context, first, second):
    for number in (first, second):
        lines = operations_steps.find_lines(context, number, "entry-1")
        assert len(lines) == 1, (number, lines)


# The directory.


def create_address(number):
    return entrydirectory.EntryAddress(
        identifiers.EntryId(f"entry-{number}"),
        identifiers.ZoneId("a"),
        ("10.0.0.1", 7000 + number),
    )


class CountingStore(job_harness.StoreAccess):
    """Counts the calls of one entry."""

    def __init__(self, harness):
        super().__init__(harness, harness.store)
        self.calls = 0
        self.appended_at = []

    def append(self, stream, items, on_result, *, fence=None):
        self.calls += 1
        self.appended_at.append(self.harness.clock())
        super().append(stream, items, on_result, fence=fence)

    def read(self, stream, offset, wait, on_result):
        self.calls += 1
        super().read(stream, offset, wait, on_result)

    def read_newest(self, stream, after, on_result):
        self.calls += 1
        super().read_newest(stream, after, on_result)


def create_directory(harness, number):
    return entrydirectory.EntryDirectory(
        create_address(number),
        store=CountingStore(harness),
        timers=harness.timers,
        random_fraction=harness.random.random,
    )


def start_directories(context, count, refuses=False):
    context.directories = [
        create_directory(context.harness, number) for number in range(count)
    ]
    for directory in context.directories:
        directory._store.link.refuses = refuses
        directory.start()


@behave.given("{count:d} entries that publish their addresses")
def publish(context, count):
    context.harness = job_harness.JobHarness(entries=0, minions=0)
    start_directories(context, count)
    context.harness.run_for(10.0)
    check_listed(context, count - 1)


@behave.given("{count:d} entries that start while the store refuses them")
def start_refused(context, count):
    context.harness = job_harness.JobHarness(entries=0, minions=0)
    start_directories(context, count, refuses=True)
    context.harness.run_for(10.0)
    assert not any(item.peers for item in context.directories)


@behave.when("the store takes calls again for {seconds:g} seconds")
def recover(context, seconds):
    for directory in context.directories:
        directory._store.link.refuses = False
    context.harness.run_for(seconds)


@behave.when("the store refuses every entry for {seconds:g} seconds")
def refuse_all(context, seconds):
    for directory in context.directories:
        directory._store.calls = 0
        directory._store.link.refuses = True
    context.harness.run_for(seconds)


@behave.then("every entry lists the {count:d} others")
def check_listed(context, count):
    for directory in context.directories:
        names = {item.own.entry_id for item in context.directories}
        names.remove(directory.own.entry_id)
        assert set(directory.peers) == names and len(names) == count, (
            directory.own,
            directory.peers,
        )


@behave.when("entry {number:d} withdraws")
def withdraw(context, number):
    context.directories[number].withdraw()


@behave.then("within {seconds:g} seconds no other entry lists entry {number:d}")
def check_withdrawn(context, seconds, number):
    context.harness.run_for(seconds)
    name = context.directories[number].own.entry_id
    for directory in context.directories:
        assert name not in directory.peers, directory.own


@behave.then("entry {number:d} has removed its address once")
def check_removed_once(context, number):
    store = context.harness.store
    records = store.records[ports.Stream.ENTRIES]
    removals = [record.key for record in records if not record.value]
    assert removals == [context.directories[number].own.entry_id], removals


@behave.when("the record of entry {number:d} is removed by an earlier process")
def remove_record(context, number):
    context.harness.store.put(ports.Stream.ENTRIES, f"entry-{number}", b"")
    context.harness.run_for(1.0)


@behave.then(
    "within {seconds:g} seconds every entry lists the {count:d} others"
)
def check_listed_later(context, seconds, count):
    context.harness.run_for(seconds)
    check_listed(context, count)


@behave.then(
    "at most {count:d} appends of addresses fell into {seconds:g} seconds"
)
def check_spread(context, count, seconds):
    times = sorted(
        itertools.chain.from_iterable(
            item._store.appended_at for item in context.directories
        )
    )
    assert len(times) == len(context.directories), len(times)
    most = max(
        sum(1 for other in times if start <= other < start + seconds)
        for start in times
    )
    assert most <= count, most


@behave.when("all entries start again")
def restart_all(context):
    for directory in context.directories:
        directory._feed.stop()
    start_directories(context, len(context.directories))
    context.harness.run_for(10.0)


@behave.then("no address was appended again")
def check_not_appended(context):
    assert not any(item._store.appended_at for item in context.directories)
    check_listed(context, len(context.directories) - 1)


@behave.when("{seconds:g} seconds pass on the site")
def pass_time(context, seconds):
    for directory in context.directories:
        directory._store.calls = 0
    context.harness.run_for(seconds)


@behave.then("each entry made at most {count:d} calls about addresses")
def check_calls(context, count):
    calls = [item._store.calls for item in context.directories]
    assert max(calls) <= count, calls


@behave.when("records that are no addresses are stored")
def store_malformed(context):
    for number, value in enumerate(
        (b"\xff", b"[]", b"{}", b'{"address":"x:y","zone":"a"}', b"7")
    ):
        context.harness.store.put(
            ports.Stream.ENTRIES, f"stranger-{number}", value
        )
    context.harness.run_for(6.0)


class RefusingStore:
    """Reads nothing, and refuses appends until `refuses` is cleared."""

    def __init__(self):
        self.refuses = True
        self.appends = 0
        self.stored = []

    def read(self, stream, offset, wait, on_result):
        pass

    def read_newest(self, stream, after, on_result):
        on_result(ports.Records((), -1, 0))

    def append(self, stream, items, on_result, *, fence=None):
        self.appends += 1
        if self.refuses:
            on_result(ports.Failed(verdict.Execution.NOT_RUN, "refused"))
        else:
            self.stored.extend(items)
            on_result(ports.Appended(0))


def pass_seconds(context, seconds):
    end = context.clock.now + seconds
    while context.clock.now < end:
        context.clock.now += 0.5
        context.timers.run_due()


@behave.given("an entry whose address the store has refused {count:d} times")
def refuse_address(context, count):
    context.clock = clock.ManualClock(100.0)
    context.timers = timer.TimerService(clock=context.clock)
    context.store = RefusingStore()
    directory = entrydirectory.EntryDirectory(
        entrydirectory.EntryAddress(
            identifiers.EntryId("entry-1"),
            identifiers.ZoneId("hobart"),
            ("127.0.0.1", 1),
        ),
        store=context.store,
        timers=context.timers,
    )
    directory.start()
    for _ in range(2 * count):
        pass_seconds(context, entrydirectory.MAX_PUBLISH_RETRY_SECONDS)
        if context.store.appends >= count:
            return
    raise AssertionError(f"only {context.store.appends} appends")


@behave.when("the store takes appends again")
def take_appends(context):
    context.store.refuses = False


@behave.then("the address is stored within {seconds:d} seconds")
def expect_stored(context, seconds):
    pass_seconds(context, seconds)
    assert context.store.stored, "nothing was stored"
