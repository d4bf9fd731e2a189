"""Steps for network partitions that divide entries and minions."""

import behave

from clementinewood import election, ports
from features import job_faults
from features.steps import job_service_steps


@behave.when(
    "after {seconds:g} seconds the leader and {count:d} minions are cut off"
    " from the others and the store"
)
def isolate_leader(context, seconds, count):
    harness = context.harness
    harness.run_for(seconds)
    minions = list(harness.minions.values())[:count]
    assert all(minion.running for minion in minions)
    harness.isolate([harness.dispatcher()], minions)


@behave.when(
    "the leader starts again and is cut off with {count:d} minions {seconds:g}"
    " seconds after its candidacy"
)
def isolate_late_leader(context, count, seconds):
    harness = context.harness
    minions = list(harness.minions.values())[:count]
    former = harness.dispatcher()
    harness.kill(former)
    entry = harness.add_entry(former._minions.name)
    # The candidacy is seen while it is being stored.
    harness.store.append_seconds[ports.Stream.DISPATCH] = 0.03
    while entry.elector.role is not election.ElectionRole.CANDIDATE:
        harness.run_for(0.005)
    harness.store.append_seconds[ports.Stream.DISPATCH] = 0.0
    candidacy = harness.clock()
    access = entry._store
    access.slow_reads = seconds
    harness.isolate([entry], minions)
    access.link.down = False
    harness.run_until(lambda: entry.dispatching)
    assert harness.clock() >= candidacy + seconds
    access.link.down = True
    assert all(minion.running for minion in minions)


@behave.when("the partition ends after {seconds:g} seconds")
def end_partition(context, seconds):
    context.harness.run_for(seconds)
    context.harness.end_isolation()


@behave.when("the store answers again after {seconds:g} seconds")
def restore_store(context, seconds):
    context.harness.run_for(seconds)
    for entry in context.harness.entries:
        entry._store.link.down = False


@behave.when("{count:d} minions can't be reached for {seconds:g} seconds")
def silence_minions(context, count, seconds):
    minions = list(context.harness.minions.values())[:count]
    for minion in minions:
        minion.unreachable = True
    context.harness.run_for(seconds)
    for minion in minions:
        minion.unreachable = False


@behave.given("{count:d} sites with partitions drawn from seed {seed:d}")
def draw_divided_sites(context, count, seed):
    job_service_steps.draw_sites(context, count, seed)
    context.kinds = job_faults.PARTITIONS
