"""Steps for operator pages."""

import json

import behave
import circuits
from circuits.web import controllers, exceptions

from clementinewood import web
from features import network


class Sample(controllers.Controller):
    channel = "/sample"

    def GET(self):  # noqa: N802
        return "sample page"

    def PUT(self):  # noqa: N802
        return "put page"

    def echo(self, part):
        body = self.request.body.read().decode()
        return f"{part} {self.request.query.get('a', [])} {body}"

    def crash(self):
        raise RuntimeError("internal text")

    def late_crash(self):
        yield None
        raise RuntimeError("internal text")

    def bad_body(self):
        return [object()]

    def denied(self):
        raise exceptions.Forbidden("not for you")

    def never(self):
        return circuits.core.Value()

    def _hidden(self):
        return "hidden"


class failing(circuits.Event):  # noqa: N801
    """Event whose handler fails."""


class Failing(circuits.BaseComponent):
    @circuits.handler("failing")
    def _on_failing(self):
        raise RuntimeError("internal text")


@behave.given("operator pages behind an edge")
def start_pages(context):
    context.network = network.Network()
    context.add_cleanup(context.network.sockets.close_all)
    timers = context.network.timers
    context.web = web.Web(timers).register(timers)
    Sample().register(context.web)
    Failing().register(timers)
    context.network.settle()
    _, context.address = network.create_edge(context.network, context.web)


@behave.when('an operator sends the bytes "{text}"')
def send_bytes(context, text):
    send(context, text.encode().decode("unicode_escape").encode("latin-1"))


def send(context, data, method="GET"):
    context.page_method = method
    context.operator = network.Caller(context.network, context.address)
    context.operator.send(data)
    context.network.settle()


@behave.when('an operator requests "{method} {target}"')
def request_page(context, method, target):
    send(
        context,
        f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode(),
        method,
    )


@behave.when('an operator posts "{body}" to "{target}"')
def post_page(context, body, target):
    head = f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
    send(context, f"{head}\r\n\r\n{body}".encode())


@behave.when('an operator posts a malformed multipart form to "{target}"')
def post_form(context, target):
    head = (
        f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n"
        "Cookie: a/b=c\r\n"
        "Content-Type: multipart/form-data; boundary=\r\n"
    )
    send(context, f"{head}\r\nbroken form".encode())


@behave.when("{seconds:d} seconds pass at the pages")
def pass_seconds(context, seconds):
    for _ in range(seconds):
        context.network.advance(1.0)


@behave.when("a circuits handler elsewhere fails")
def fail_elsewhere(context):
    context.network.timers.fire(failing())
    context.network.settle()


def read_page(context):
    (answer,) = context.operator.read_answers(1, (context.page_method,))
    return answer


@behave.then('the page answers {status:d} with "{body}"')
def check_page(context, status, body):
    answer = read_page(context)
    assert (answer[0], answer[2].decode()) == (status, body), answer


@behave.then('the page answers {status:d} with ""')
def check_empty_page(context, status):
    check_page(context, status, "")


@behave.then("the page answers {status:d} as problem+json")
def check_problem(context, status):
    answer = read_page(context)
    assert answer[0] == status, answer
    assert answer[1][b"content-type"] == b"application/problem+json"
    assert json.loads(answer[2])["status"] == status


@behave.then("the answer shows no traceback")
def check_no_traceback(context):
    for word in (b"internal text", b"Traceback", b"RuntimeError", b".py"):
        assert word not in context.operator.data, context.operator.data


@behave.then('the answer contains "{first}" and "{second}"')
def check_contains(context, first, second):
    data = context.operator.data.decode()
    assert first in data and second in data, data


@behave.then("the pages count {count:d} failures")
def check_failures(context, count):
    context.network.settle()
    assert context.web.failures == count, context.web.failures
