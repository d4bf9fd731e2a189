"""Stores the leader's load reports during one term.

Load pattern: see `loadreport`. While no pool is overloaded, nothing is stored.
"""

from collections.abc import Callable, Iterable

from clementinewood import (
    completionforecast,
    dispatchdriver,
    identifiers,
    jobtable,
    loadreport,
    metric,
    timer,
)

REPORT_INTERVAL_SECONDS = 0.25
"""Period of reports, which is that of the leader's renewals."""

SETTLE_SECONDS = 2.0
"""Time since the start of a term before which nothing is reported: the minions
have not yet answered their first polls, nor is the list of machines known."""


class LoadReporter:
    """Measures the load and stores reports while this entry leads.

    Args:
        driver: The driver of the term.
        timers: Timer service.
        on_stored: Called with the time at which a stored report was measured.
    """

    def __init__(
        self,
        driver: dispatchdriver.DispatchDriver,
        timers: timer.TimerService,
        on_stored: Callable[[float], None],
    ) -> None:
        self._driver = driver
        self._timers = timers
        self._on_stored = on_stored
        self._started_at = timers.clock()
        self._reported = False
        self._forecasts: dict[
            identifiers.PoolId, completionforecast.Forecast
        ] = {}
        self._subscription = timers.subscribe_every(
            REPORT_INTERVAL_SECONDS, self._report
        )

    def stop(self) -> None:
        """Stops reporting."""
        self._subscription.cancel()

    def read_waits(self) -> Iterable[metric.Reading]:
        """Returns the predicted wait of each pool, within and beyond rates."""
        for pool, found in self._forecasts.items():
            yield {"pool": pool, "rate": "within"}, found.load.wait
            yield {"pool": pool, "rate": "beyond"}, found.load.over_rate_wait

    def read_waiting_jobs(self) -> Iterable[metric.Reading]:
        """Returns the number of waiting jobs of each pool."""
        for pool, found in self._forecasts.items():
            yield {"pool": pool}, float(found.waiting)

    def _report(self) -> None:
        now = self._timers.clock()
        self._forecasts = self._measure(now)
        overloaded = [
            found for found in self._forecasts.values() if found.overloaded
        ]
        if not overloaded and not self._reported:
            return
        self._reported = bool(overloaded)
        report = loadreport.LoadReport(
            term=self._driver.term,
            pools={found.load.pool: found.load for found in overloaded},
            over_rate=frozenset(
                team for found in overloaded for team in found.over_rate
            ),
        )
        self._driver.queue_record(
            jobtable.LOAD_KEY,
            loadreport.encode(report),
            lambda: self._on_stored(now),
        )

    def _measure(
        self, now: float
    ) -> dict[identifiers.PoolId, completionforecast.Forecast]:
        dispatcher = self._driver.dispatcher
        machines = self._driver.machine_control.list_targets()
        if (
            dispatcher.config is None
            or machines is None
            or now - self._started_at < SETTLE_SECONDS
        ):
            return {}
        supplies = completionforecast.measure_supply(
            dispatcher.views,
            machines,
            dispatcher.config,
            dispatcher.evacuated,
            now,
        )
        return completionforecast.forecast_pools(
            dispatcher.jobs.values(),
            supplies,
            dispatcher.config,
            dispatcher.times,
            now,
        )
