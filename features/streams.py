"""Generates HTTP byte streams for fuzzing, from a seeded generator."""

import h11

METHODS = ("GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH")
PIECES = (
    b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b"\0", b"\xff", b"0", b"-1",
    b"\r\n\r\n", b"\n\n", b",", b";", b"Content-Length: 3\r\n",
    b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n",
    b"transfer-encoding: gzip\r\n", b"Host: b\r\n", b"Connection: close\r\n",
    b"Expect: 100-continue\r\n", b" folded\r\n", b"0\r\n\r\n", b"HTTP/1.0",
    b"HTTP/1.1", b"GET / HTTP/1.1\r\nHost: c\r\n\r\n", b"5\r\nhello\r\n",
    b"Upgrade: x\r\n", b"Content-Length : 3\r\n", b"http://a/", b"*",
)  # fmt: skip


def render_body(random, body):
    """Returns header lines and framed body, plain or chunked."""
    if random.random() < 0.5:
        if not body and random.random() < 0.5:
            return b"", b""
        return b"Content-Length: %d\r\n" % len(body), body
    framed = b""
    while body:
        size = random.randint(1, len(body))
        extension = random.choice((b"", b"", b";a=b", b";a"))
        framed += b"%x%s\r\n%s\r\n" % (size, extension, body[:size])
        body = body[size:]
    trailer = random.choice((b"", b"", b"T: u\r\n"))
    coding = random.choice((b"chunked", b"chunked", b"Chunked"))
    return (
        b"Transfer-Encoding: %s\r\n" % coding,
        framed + b"0\r\n%s\r\n" % trailer,
    )


def create_request(random, tag):
    """Returns (method, target, body, bytes) of a valid request."""
    method = random.choice(METHODS)
    target = f"/{tag}"
    body = b""
    if method in ("POST", "PUT", "PATCH"):
        body = random.randbytes(random.choice((0, 1, 5, 40)))
    framing, framed = render_body(random, body)
    lines = [b"Host: a\r\n", framing]
    for _ in range(random.randint(0, 3)):
        lines.append(
            random.choice(
                (
                    b"Accept: */*\r\n",
                    b"X-A:b\r\n",
                    b"x-b: \t c d \t\r\n",
                    b"X-Empty:\r\n",
                    b"Connection: keep-alive\r\n",
                )
            )
        )
    random.shuffle(lines)
    head = f"{method} {target} HTTP/1.1\r\n".encode() + b"".join(lines)
    return method, target, body, head + b"\r\n" + framed


def mutate(random, data):
    """Returns `data` after a few random edits."""
    for _ in range(random.randint(1, 3)):
        at = random.randint(0, len(data))
        end = min(len(data), at + random.choice((0, 1, 1, 2, 8, 30)))
        match random.randint(0, 5):
            case 0:
                data = data[:at] + data[end:]
            case 1 | 2:
                data = data[:at] + random.choice(PIECES) + data[at:]
            case 3:
                data = data[:at] + random.choice(PIECES) + data[end:]
            case 4:
                data = data[:at] + random.randbytes(end - at) + data[end:]
            case 5:
                data = data[:at] + data[at:end] * 2 + data[end:]
    return data


def create_raw(random):
    """Returns bytes that were never a valid message."""
    return b"".join(
        random.choice(PIECES)
        if random.random() < 0.8
        else random.randbytes(random.randint(1, 6))
        for _ in range(random.randint(1, 30))
    )


def split(random, data):
    """Returns `data` in random pieces."""
    pieces = []
    while data:
        size = random.choice((1, 2, 7, 50, 1000, len(data)))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def read_requests(data):
    """Returns the requests that h11 reads, and whether it then failed."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    requests = []
    head, body = None, b""
    try:
        while True:
            match parser.next_event():
                case h11.Request() as head:
                    body = b""
                case h11.Data(data=part):
                    body += bytes(part)
                case h11.EndOfMessage():
                    requests.append(
                        (head.method, head.target, tuple(head.headers), body)
                    )
                    parser.send(
                        h11.Response(
                            status_code=200, headers=[("content-length", "0")]
                        )
                    )
                    parser.send(h11.EndOfMessage())
                    if parser.our_state is not h11.DONE:
                        return requests, True
                    parser.start_next_cycle()
                case _:
                    return requests, False
    except h11.RemoteProtocolError:
        return requests, True


def create_answer(random):
    """Returns bytes of a valid answer."""
    status = random.choice((200, 200, 201, 204, 304, 404, 503))
    body = b"" if status in (204, 304) else random.randbytes(20)
    framing, framed = render_body(random, body)
    if status in (204, 304):
        framing, framed = b"", b""
    interim = random.choice((b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"))
    return (
        interim
        + f"HTTP/1.1 {status} Any\r\n".encode()
        + b"X-Request-Id: r1\r\nX-A: caf\xe9\r\n"
        + framing
        + b"\r\n"
        + framed
    )


def read_answer(method, data):
    """Returns (status, headers, body) as h11 reads it, or None."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("host", "a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    head, body = None, b""
    try:
        while True:
            match parser.next_event():
                case h11.Response() as head:
                    pass
                case h11.InformationalResponse():
                    pass
                case h11.Data(data=part):
                    body += bytes(part)
                case h11.EndOfMessage():
                    return head.status_code, tuple(head.headers), body
                case _:
                    return None
    except h11.RemoteProtocolError:
        return None
