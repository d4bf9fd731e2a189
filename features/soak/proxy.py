"""Provides loopback TCP proxies that delay, reset or stop relaying data."""

import enum


class Mode(enum.Enum):
    """Says how a proxy relays bytes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Relays nothing in either direction; connections stay open."""

    ONE_WAY = "one-way"
    """Relays requests, but no responses."""


class _End:
    """Handles one end of a relayed connection."""

    def __init__(self, pair, name):
        self.pair = pair
        self.name = name
        self.connection = None
        self.early = []

    def on_open(self, connection):
        self.connection = connection
        for data in self.early:
            connection.send(data)
        self.early = []

    def on_data(self, connection, data):
        self.pair.relay(self, data)

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        self.pair.close(self)

    def send(self, data):
        if self.connection is None:
            self.early.append(data)
        elif self.connection.is_open:
            self.connection.send(data)


class _Pair:
    """Links a caller's connection to the one opened for it to the target."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.caller = _End(self, "caller")
        self.server = _End(self, "server")
        self.stalled = False
        self.closed = False

    def relay(self, end, data):
        proxy = self.proxy
        if self.stalled or proxy.mode is Mode.SILENT:
            return
        if proxy.mode is Mode.ONE_WAY and end is self.server:
            return
        other = self.server if end is self.caller else self.caller
        if proxy.mode is Mode.DELAY:
            proxy.timers.subscribe_once(proxy.delay, lambda: other.send(data))
        else:
            other.send(data)

    def close(self, end):
        if self.closed:
            return
        self.closed = True
        self.proxy.pairs.discard(self)
        other = self.server if end is self.caller else self.caller
        if other.connection is None or self.stalled:
            return
        if self.proxy.mode not in (Mode.SILENT, Mode.ONE_WAY):
            other.connection.close()

    def abort(self):
        for end in (self.caller, self.server):
            if end.connection is not None:
                end.connection.abort("reset by the proxy")


class Proxy:
    """Relays connections to one address.

    Args:
        sockets: Opens the connections.
        timers: Timer service.
        target: Address to which connections are relayed.
    """

    def __init__(self, sockets, timers, target):
        self.sockets = sockets
        self.timers = timers
        self.target = target
        self.mode = Mode.PASS
        self.delay = 0.0
        self.fault_until = float("-inf")
        self.pairs = set()
        self.address = sockets.listen(("127.0.0.1", 0), self._accept)

    def _accept(self, peer):
        pair = _Pair(self)
        self.pairs.add(pair)
        self.sockets.connect(self.target, pair.server, timeout=1.0)
        return pair.caller

    def set_fault(self, mode, seconds, delay=0.0):
        """Sets a mode for `seconds`; overlapping faults end together."""
        self.mode, self.delay = mode, delay
        self.fault_until = self.timers.clock() + seconds
        self.timers.subscribe_once(seconds + 0.001, self._clear_fault)

    def _clear_fault(self):
        if self.timers.clock() >= self.fault_until:
            self.mode = Mode.PASS

    def reset(self):
        self.fault_until = max(self.fault_until, self.timers.clock())
        for pair in list(self.pairs):
            pair.abort()

    def stall_open(self):
        """Stops relaying on open connections for good; new ones work."""
        self.fault_until = max(self.fault_until, self.timers.clock())
        for pair in self.pairs:
            pair.stalled = True
