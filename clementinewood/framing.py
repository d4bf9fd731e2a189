"""Parses and renders strictly framed HTTP/1.1 messages.

Heads are parsed here since h11 accepts forms that two servers can interpret
differently (bare LF, folded lines, repeated equal lengths) and takes most of
the time of a small request. h11 parses every head accepted here the same way;
features/edge_fuzz.feature checks that. Chunked bodies are decoded by h11 after
each of their lines was checked.
"""

import dataclasses
import http
import re
from collections.abc import Sequence

import h11

Header = tuple[bytes, bytes]

MAX_CHUNK_LINE = 256
MAX_TRAILER_BYTES = 4096

_TOKEN = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?"
)
_LINE_BYTES = b"\t" + bytes(range(0x20, 0x7F))
_REQUEST_BYTES = b"\r\n" + _LINE_BYTES
_RESPONSE_BYTES = _REQUEST_BYTES + bytes(range(0x80, 0x100))
_HOST = re.compile(rb"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{1,5})?")
_LENGTH = re.compile(rb"[0-9]{1,15}")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\t\x20-\x7e]*)?")
_NAME = re.compile(_TOKEN)

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Fields that concern one connection only (RFC 9110, section 7.6.1)."""

_MAX_NAMES = 1024
"""Header names cached; bounded, since callers may send any name."""


class NameFilter:
    """Selects headers by name, with one look-up per header.

    `_` is equal to `-`: servers that map names to variables can't tell
    `X_Start_Before` from `X-Start-Before`, so a caller could forge it.

    Args:
        dropped: Names to exclude, in lower case, with `-`.
    """

    __slots__ = ("_dropped", "_wanted")

    def __init__(self, dropped: frozenset[bytes]) -> None:
        self._dropped = dropped
        self._wanted: dict[bytes, bool] = {}

    def select(self, headers: Sequence[Header]) -> list[Header]:
        """Returns the headers whose names are not dropped."""
        wanted = self._wanted
        selected = []
        for field in headers:
            name = field[0]
            keep = wanted.get(name)
            if keep is None:
                keep = self._learn(name)
            if keep:
                selected.append(field)
        return selected

    def _learn(self, name: bytes) -> bool:
        keep = name.lower().replace(b"_", b"-") not in self._dropped
        if len(self._wanted) < _MAX_NAMES and len(name) <= 64:
            self._wanted[name] = keep
        return keep


_RESPONSE_FILTER = NameFilter(HOP_BY_HOP | {b"content-length"})
_REQUEST_FILTER = NameFilter(HOP_BY_HOP | {b"content-length", b"host"})


class FramingError(Exception):
    """A message that is malformed or that servers may parse differently."""


class TooLargeError(FramingError):
    """A part of a message that exceeds its size limit."""


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Request line and headers.

    Attributes:
        method: HTTP method.
        target: Request target, in origin form, or `*` for OPTIONS.
        headers: Names in lower case, with values.
        length: Content-Length, or None.
        chunked: Whether the body is chunked.
        keep_alive: Whether further requests may follow on the connection.
        expects_continue: Whether the caller waits for a 100 response.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    length: int | None
    chunked: bool
    keep_alive: bool
    expects_continue: bool


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status line and headers.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case, with values.
        length: Content-Length, or None.
        chunked: Whether the body is chunked.
        keep_alive: Whether the connection can be reused.
    """

    status: int
    headers: tuple[Header, ...]
    length: int | None
    chunked: bool
    keep_alive: bool


def _split_lines(data: bytes, allowed: bytes) -> list[bytes]:
    """Splits a head into lines of `allowed` bytes without CR and LF.

    Raises:
        FramingError: Another byte, or a CR or LF that ends no line.
    """
    if data.translate(None, allowed):
        raise FramingError("byte that is not allowed in a head")
    lines = data.split(b"\r\n")
    breaks = len(lines) - 1
    if data.count(b"\r") != breaks or data.count(b"\n") != breaks:
        raise FramingError("lone CR or LF")
    return lines


def _parse_fields(lines: Sequence[bytes]) -> list[Header]:
    headers = []
    for line in lines:
        raw, colon, value = line.partition(b":")
        name = _lower_names.get(raw) or _lower_name(raw)
        if not colon:
            raise FramingError("header line without a colon")
        value = value.strip(b" \t")
        if name == b"transfer-encoding":
            value = value.lower()
        headers.append((name, value))
    return headers


_lower_names: dict[bytes, bytes] = {}
"""Cached valid names with their lower-case form; at most `_MAX_NAMES`."""


def _lower_name(raw: bytes) -> bytes:
    if _NAME.fullmatch(raw) is None:
        raise FramingError("malformed header name")
    name = raw.lower()
    if len(_lower_names) < _MAX_NAMES and len(raw) <= 64:
        _lower_names[raw] = name
    return name


def _read_length(value: bytes) -> int:
    if _LENGTH.fullmatch(value) is None:
        raise FramingError("malformed Content-Length")
    return int(value)


def list_tokens(value: bytes) -> list[bytes]:
    """Returns the members of a comma-separated list, in lower case."""
    return [t for part in value.lower().split(b",") if (t := part.strip())]


def parse_request_head(data: bytes) -> RequestHead:
    """Parses a request head.

    Args:
        data: All bytes up to the empty line, without the CRLF CRLF.

    Raises:
        FramingError: The head is malformed or ambiguous.
    """
    lines = _split_lines(data, _REQUEST_BYTES)
    match = _REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        raise FramingError("malformed request line")
    method, target, minor = match.groups()
    if not target.startswith(b"/") and (target, method) != (b"*", b"OPTIONS"):
        raise FramingError("request target is not in origin form")
    if method == b"CONNECT":
        raise FramingError("CONNECT is not served")
    if b"#" in target:
        raise FramingError("request target has a fragment")
    headers = _parse_fields(lines[1:])
    keep_alive = minor == b"1"
    host = False
    length = None
    chunked = expects = False
    for name, value in headers:
        if name == b"host":
            if host or _HOST.fullmatch(value) is None:
                raise FramingError("repeated or malformed Host")
            host = True
        elif name == b"content-length":
            if length is not None:
                raise FramingError("repeated Content-Length")
            length = _read_length(value)
        elif name == b"transfer-encoding":
            if chunked or value != b"chunked" or minor == b"0":
                raise FramingError("transfer coding other than chunked")
            chunked = True
        elif name == b"connection":
            if b"close" in list_tokens(value):
                keep_alive = False
        elif name == b"expect":
            if value.lower() != b"100-continue":
                raise FramingError("unknown expectation")
            expects = minor == b"1"
    if chunked and length is not None:
        raise FramingError("Content-Length and Transfer-Encoding")
    if not host and minor == b"1":
        raise FramingError("no Host")
    return RequestHead(
        method.decode("ascii"),
        target.decode("ascii"),
        tuple(headers),
        length,
        chunked,
        keep_alive,
        expects,
    )


def parse_response_head(data: bytes) -> ResponseHead:
    """Parses a response head.

    Args:
        data: All bytes up to the empty line, without the CRLF CRLF.

    Raises:
        FramingError: The head is malformed or ambiguous.
    """
    lines = _split_lines(data, _RESPONSE_BYTES)
    match = _STATUS_LINE.fullmatch(lines[0])
    if match is None:
        raise FramingError("malformed status line")
    minor, status = match.groups()
    headers = _parse_fields(lines[1:])
    keep_alive = minor == b"1"
    length = None
    chunked = False
    for name, value in headers:
        if name == b"content-length":
            if length is not None:
                raise FramingError("repeated Content-Length")
            length = _read_length(value)
        elif name == b"transfer-encoding":
            if chunked or value != b"chunked" or minor == b"0":
                raise FramingError("transfer coding other than chunked")
            chunked = True
        elif name == b"connection" and b"close" in list_tokens(value):
            keep_alive = False
    if chunked and length is not None:
        raise FramingError("Content-Length and Transfer-Encoding")
    return ResponseHead(
        int(status), tuple(headers), length, chunked, keep_alive
    )


class HeadReader:
    """Finds the end of a head in bytes that arrive in parts.

    Args:
        limit: Largest size of a head in bytes.
    """

    __slots__ = ("_limit", "_searched")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._searched = 0

    def find_end(self, data: bytes) -> int:
        """Returns the index of the CRLF CRLF in `data`, or -1.

        Args:
            data: All bytes from the start of the head; bytes searched by an
                earlier call are skipped.

        Raises:
            TooLargeError: The head exceeds its limit.
            FramingError: The bytes can't be the start of a head.
        """
        end = data.find(b"\r\n\r\n", max(0, self._searched - 3))
        if end < 0:
            if len(data) > self._limit:
                raise TooLargeError(
                    f"head of {len(data)} bytes exceeds {self._limit}"
                )
            # A lone CR or LF never becomes valid; without this check its
            # sender would get no response until the request times out.
            pairs = data.count(b"\r\n")
            returns = data.count(b"\r") - data.endswith(b"\r")
            if not returns == data.count(b"\n") == pairs:
                raise FramingError("lone CR or LF")
            if data and data[:1] <= b" ":
                raise FramingError("malformed first line")
            self._searched = len(data)
            return -1
        self._searched = 0
        if end > self._limit:
            raise TooLargeError(f"head of {end} bytes exceeds {self._limit}")
        return end


_CHUNKED_REQUEST = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class ChunkedBody:
    """Decodes a chunked body with h11 after stricter checks of its lines.

    The checks are needed because h11 accepts bare LF and folded lines in
    trailers and white space after a chunk size. Trailers are dropped.

    Args:
        limit: Largest size of the decoded body in bytes.

    Attributes:
        size: Bytes decoded so far.
        done: Whether the body is complete.
    """

    __slots__ = (
        "_announced",
        "_decoder",
        "_in_trailer",
        "_limit",
        "_line",
        "_parts",
        "_skip",
        "_trailer_bytes",
        "done",
        "size",
    )

    def __init__(self, limit: int) -> None:
        self._decoder = h11.Connection(h11.SERVER)
        self._decoder.receive_data(_CHUNKED_REQUEST)
        self._decoder.next_event()
        self._limit = limit
        self._announced = 0
        self._line = b""
        self._skip = 0
        self._in_trailer = False
        self._trailer_bytes = 0
        self._parts: list[bytes] = []
        self.size = 0
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Decodes `data`; returns the bytes after the end of the body.

        Raises:
            FramingError: The body is malformed or exceeds its limit.
        """
        position = 0
        while position < len(data) and not self.done:
            if self._skip:
                step = min(self._skip, len(data) - position)
                self._skip -= step
                position += step
            else:
                position = self._read_line(data, position)
        if position:
            self._decode(data[:position])
        return data[position:]

    def join(self) -> bytes:
        """Returns the decoded body."""
        return b"".join(self._parts)

    def _read_line(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position)
        stop = len(data) if end < 0 else end + 1
        self._line += data[position:stop]
        limit = MAX_TRAILER_BYTES if self._in_trailer else MAX_CHUNK_LINE
        if len(self._line) > limit:
            raise TooLargeError(
                f"chunk line of {len(self._line)} bytes exceeds {limit}"
            )
        if end < 0:
            return stop
        line, self._line = self._line, b""
        if not line.endswith(b"\r\n"):
            raise FramingError("bare LF in a chunked body")
        if self._in_trailer:
            self._check_trailer(line[:-2])
            return stop
        match = _CHUNK_LINE.fullmatch(line[:-2])
        if match is None:
            raise FramingError("malformed chunk size")
        size = int(match[1], 16)
        self._announced += size
        if self._announced > self._limit:
            raise TooLargeError(
                f"body of {self._announced} bytes exceeds {self._limit}"
            )
        if size:
            self._skip = size + 2
        else:
            self._in_trailer = True
        return stop

    def _check_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise TooLargeError(
                f"trailers of {self._trailer_bytes} bytes exceed "
                f"{MAX_TRAILER_BYTES}"
            )
        if not line:
            self.done = True
        else:
            _parse_fields(_split_lines(line, _REQUEST_BYTES))

    def _decode(self, data: bytes) -> None:
        self._decoder.receive_data(data)
        try:
            while True:
                match self._decoder.next_event():
                    case h11.Data(data=part):
                        self._parts.append(bytes(part))
                        self.size += len(part)
                    case h11.EndOfMessage():
                        return
                    case _:
                        return
        except h11.RemoteProtocolError as error:
            raise FramingError(str(error)) from error


_BODILESS = frozenset((204, 304))
_REASONS = {code.value: code.phrase.encode() for code in http.HTTPStatus}


def _join_head(first: bytes, headers: Sequence[Header]) -> bytes:
    lines = [first]
    for name, value in headers:
        lines.append(name + b": " + value)
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    count = len(headers) + 2
    # A line break in a value would start another header (header injection).
    if head.count(b"\n") != count or head.count(b"\r") != count:
        raise FramingError("line break in a header")
    if b"\0" in head:
        raise FramingError("NUL in a header")
    for name, _ in headers:
        if name not in _lower_names:
            _lower_name(name)
    return head


def render_response(
    status: int,
    headers: Sequence[Header],
    body: bytes,
    *,
    close: bool,
    head_only: bool = False,
) -> bytes:
    """Renders a response; framing fields among `headers` are replaced.

    A response without a body (to HEAD, or 304) keeps its Content-Length, which
    states the length of the body of a GET.

    Raises:
        FramingError: The status is not final, or a header is malformed.
    """
    if not 200 <= status <= 599:
        raise FramingError(f"status {status} is not within 200 to 599")
    fields = _RESPONSE_FILTER.select(headers)
    if (head_only or status == 304) and not body:
        stated = [v for n, v in headers if n.lower() == b"content-length"]
        if stated:
            _read_length(stated[0])
            fields.append((b"content-length", stated[0]))
    elif status not in _BODILESS:
        fields.append((b"content-length", b"%d" % len(body)))
    if close:
        fields.append((b"connection", b"close"))
    first = b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b""))
    head = _join_head(first, fields)
    if head_only or status in _BODILESS:
        return head
    return head + body


def render_request(
    method: str,
    target: str,
    host: bytes,
    headers: Sequence[Header],
    body: bytes,
) -> bytes:
    """Renders a request; Host and framing fields are replaced.

    Raises:
        FramingError: The request line or a header is malformed.
    """
    fields = [(b"host", host), *_REQUEST_FILTER.select(headers)]
    if body or method in ("POST", "PUT", "PATCH"):
        fields.append((b"content-length", b"%d" % len(body)))
    first = f"{method} {target} HTTP/1.1".encode("latin-1", "replace")
    if _REQUEST_LINE.fullmatch(first) is None:
        raise FramingError("malformed request line")
    return _join_head(first, fields) + body


if __name__ == "__main__":
    print(parse_request_head(b"GET / HTTP/1.1\r\nHost: example.org"))
