"""HTTP towards callers and towards other entries, by cheroot.

A gateway turns cheroot's parsed request into a call and writes its outcome
back. An answer that is cut on the way is never ended as if it were whole: the
connection is closed instead.
"""

from collections.abc import Callable
import hmac
import select
import socket

from cheroot import server as cheroot_server

from lentilmoor import bodies
from lentilmoor import calls
from lentilmoor import chunks
from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import headers as header_names
from lentilmoor import outcomes
from lentilmoor import problems
from lentilmoor import requestconnections
from lentilmoor import requestheads
from lentilmoor import responses
from lentilmoor import shutdowns
from lentilmoor import traces
from lentilmoor import transport

IDLE_TIMEOUT_S = 30
SMALLEST_HEADER_LIMIT = 64 * 1024

_Reason = outcomes.Reason
_EMPTY = b''
_STARTING = outcomes.NotRun(_Reason.STARTING,
                            'this entry does not know all services yet', 500)
_REPEATED = outcomes.NotRun(_Reason.BAD_REQUEST,
                            'a header that may stand only once is repeated')
_SINGLE_HEADERS = frozenset(
    name.title().encode()
    for name in (header_names.KEY, header_names.CLASS, header_names.CALLER,
                 header_names.DEADLINE_MS, header_names.IDEMPOTENCY_KEY,
                 header_names.RELAY_SECRET, header_names.RELAY_SERVER,
                 header_names.RELAY_SUSPECT, header_names.RELAY_REQUEST_ID))

DispatchCall = Callable[[calls.Call, bodies.Body, traces.Span],
                        transport.Result]
"""Carries a call to its outcome."""

LogError = Callable[..., None]
"""(message, level, traceback) of an error in answering a request."""


def make_server(address: str, gateway: type[cheroot_server.Gateway],
                threads: int, log_error: LogError,
                clock: clocks.Clock) -> cheroot_server.HTTPServer:
    """Returns a server that hands each request to a gateway.

    Args:
      address: host:port; port 0 lets the system pick one.
      gateway: Made by `make_gateway`.
      threads: Request threads.
      log_error: Takes cheroot's errors.
      clock: Clock of the deadlines of requests.
    """
    host, _, port = address.rpartition(':')
    server = cheroot_server.HTTPServer((host.strip('[]'), int(port)),
                                       gateway,
                                       minthreads=threads,
                                       maxthreads=threads,
                                       server_name='lentilmoor')
    server.timeout = IDLE_TIMEOUT_S
    server.request_queue_size = 512
    server.keep_alive_conn_limit = None
    server.max_request_header_size = SMALLEST_HEADER_LIMIT
    server.error_log = log_error
    requestconnections.limit_requests(server, clock)
    return server


def make_gateway(dispatcher: dispatchers.Dispatcher,
                 dispatch_call: DispatchCall,
                 tracer: traces.Tracer,
                 count: shutdowns.RequestCount,
                 relay_secret: str = '') -> type[cheroot_server.Gateway]:
    """Returns the gateway class for callers or, with a secret, for entries.

    Args:
      dispatcher: What request threads share.
      dispatch_call: Carries a call.
      tracer: Begins spans.
      count: Counts requests; tells whether connections are to be closed.
      relay_secret: The peers' secret; empty for callers.
    """

    class CallGateway(cheroot_server.Gateway):
        """Answers one request."""

        def respond(self) -> None:
            """Reads the request, carries it and writes its outcome."""
            count.enter()
            self.req.close_connection |= count.close_connections
            if self.req.chunked_read:
                self.req.rfile = chunks.ChunkedBody(self.req.conn.rfile)
            try:
                _respond(self.req, dispatcher, dispatch_call, tracer,
                         relay_secret)
            finally:
                count.leave()

    return CallGateway


def _respond(request: cheroot_server.HTTPRequest,
             dispatcher: dispatchers.Dispatcher, dispatch_call: DispatchCall,
             tracer: traces.Tracer, relay_secret: str) -> None:
    began = dispatcher.clock.now()
    if relay_secret and not _is_peer(request, relay_secret):
        refusal = outcomes.NotRun(_Reason.NOT_AUTHORIZED, 'peers only')
        responses.write_problem(request,
                                problems.make(refusal, dispatcher.instance))
        return
    repeated = request.repeated_headers & _SINGLE_HEADERS
    if repeated:
        requestheads.log_refusal(request,
                                 f'repeated headers: {sorted(repeated)}')
        request.close_connection = True
        _refuse(request, dispatcher, _REPEATED)
        return
    raw = _read_raw(request)
    call = calls.read_call(raw, dispatcher.snapshot.find_settings, began)
    if isinstance(call, outcomes.NotRun):
        if call.reason is _Reason.UNKNOWN_SERVICE and not dispatcher.informed:
            call = _STARTING
        _refuse(request, dispatcher, call)
        return
    start = tracer.join if relay_secret else tracer.begin
    with start('relayed' if relay_secret else 'request',
               raw.header(header_names.TRACEPARENT)) as span:
        span.note('service', call.service)
        span.note('request', call.request_id)
        if relay_secret:
            call.relayed = True
            call.server = raw.header(header_names.RELAY_SERVER)
            call.suspect = bool(raw.header(header_names.RELAY_SUSPECT))
            call.request_id = raw.header(header_names.RELAY_REQUEST_ID)
        request.conn.limit_body(call.deadline)
        result = _dispatch_body(request, call, dispatch_call, span)
        _measure(dispatcher, call, result, dispatcher.clock.now() - began)
        _write_result(request, dispatcher, call, result)


def _dispatch_body(request: cheroot_server.HTTPRequest, call: calls.Call,
                   dispatch_call: DispatchCall,
                   span: traces.Span) -> transport.Result:
    try:
        body = bodies.Body(call.raw.read, call.raw.length,
                           call.settings.limits.body_bytes)
    except bodies.BodyError as error:
        # cheroot would read the rest of the body before the response is sent.
        request.close_connection = True
        reason = _Reason.BAD_REQUEST
        if 'at most' in str(error):
            reason = _Reason.BODY_TOO_LARGE
        else:
            requestheads.log_refusal(request, str(error))
        return outcomes.NotRun(reason, str(error))
    return dispatch_call(call, body, span)


def _is_peer(request: cheroot_server.HTTPRequest, secret: str) -> bool:
    given = request.inheaders.get(header_names.RELAY_SECRET.title().encode(),
                                  _EMPTY)
    return hmac.compare_digest(given, secret.encode())


def _read_raw(request: cheroot_server.HTTPRequest) -> calls.RawRequest:
    length: int | None = None
    if not request.chunked_read:
        length = int(request.inheaders.get(b'Content-Length', 0))
    connection = request.conn.socket
    return calls.RawRequest(request.method.decode('latin-1'),
                            request.path.decode('latin-1'),
                            request.qs.decode('latin-1'), request.inheaders,
                            length, request.rfile.read,
                            lambda: _is_gone(connection))


def _is_gone(connection: socket.socket) -> bool:
    """Returns whether the other end has closed its connection."""
    try:
        ready = select.select([connection], [], [], 0)[0]
        if not ready:
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return connection.recv(1, flags) == _EMPTY
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True


def _measure(dispatcher: dispatchers.Dispatcher, call: calls.Call,
             result: transport.Result, took_ms: float) -> None:
    outcome, reason = problems.Outcome.ANSWERED, ''
    if not isinstance(result, transport.Answer):
        outcome = (problems.Outcome.NOT_RUN if isinstance(
            result, outcomes.NotRun) else problems.Outcome.UNKNOWN)
        reason = result.reason.value
    dispatcher.meters.requests.labeled(call.service, outcome.value,
                                       reason).add()
    name = call.settings.classes[call.class_index].name
    dispatcher.meters.request_ms.labeled(call.service, name).record(took_ms)


def _refuse(request: cheroot_server.HTTPRequest,
            dispatcher: dispatchers.Dispatcher,
            refusal: outcomes.NotRun) -> None:
    dispatcher.meters.requests.labeled('', problems.Outcome.NOT_RUN.value,
                                       refusal.reason.value).add()
    responses.write_problem(request, problems.make(refusal,
                                                   dispatcher.instance))


def _write_result(request: cheroot_server.HTTPRequest,
                  dispatcher: dispatchers.Dispatcher, call: calls.Call,
                  result: transport.Result) -> None:
    if isinstance(result, transport.Answer):
        responses.write_answer(request, call.request_id, result)
    else:
        responses.write_problem(request,
                                problems.make(result, dispatcher.instance),
                                call.request_id)
