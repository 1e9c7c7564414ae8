"""Builders of requests and snapshots, fakes, and a scripted server for tests.

They serve the tests of the request path: routing, dispatch and transport.
"""

from collections.abc import Callable
import dataclasses
import random
import socket
import threading
from typing import BinaryIO

from lentilmoor import bodies
from lentilmoor import calls
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import dispatch
from lentilmoor import dispatchers
from lentilmoor import metrics
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import routes
from lentilmoor import runs
from lentilmoor import slices
from lentilmoor import tables
from lentilmoor import traces
from lentilmoor import transport

TEAM = 'shop'
SERVICE = 'stock'
SHARD = f'{TEAM}/{SERVICE}/0'
ENTRY_ID = 'entry-1'
HEAD = b'HTTP/1.1 200 OK\r\n'
# Ends a test that hangs; no test depends on the value otherwise.
TIMEOUT_S = 30.0


def make_settings(**fields) -> models.ServiceSettings:
    """Returns settings of a service with servers a and b."""
    servers = [
        models.ServerSettings(id=name,
                              address=f'127.0.0.1:{port}',
                              failure_domain='d')
        for name, port in (('a', 9001), ('b', 9002))
    ]
    return models.ServiceSettings(**{'servers': servers} | fields)


def make_raw(method: str = 'GET',
             path: str = f'/{TEAM}/{SERVICE}/lots',
             body: bytes = b'',
             query: str = '',
             **headers: str) -> calls.RawRequest:
    """Returns a parsed request; `headers` have underscores for hyphens."""
    remaining = [body]

    def read(size: int) -> bytes:
        chunk, remaining[0] = remaining[0][:size], remaining[0][size:]
        return chunk

    fields = {
        name.replace('_', '-').title().encode(): value.encode()
        for name, value in headers.items()
    }
    return calls.RawRequest(method, path, query, fields, len(body), read,
                            lambda: False)


def make_call(settings: models.ServiceSettings,
              now: float = 0.0,
              **fields) -> calls.Call:
    """Returns a call of a request made by `make_raw`; for key k if keyed."""
    if settings.keyed:
        fields = {'lentilmoor_key': 'k'} | fields
    call = calls.read_call(make_raw(**fields), lambda *_: settings, now)
    assert isinstance(call, calls.Call), call
    return call


def make_route(owner: str = 'a', **fields) -> routes.ShardRoute:
    """Returns the route of a shard with servers a and b.

    Args:
      owner: Server that owns all keys of the shard; '' if none does.
      **fields: Other fields of the route.
    """
    servers = {
        name: routes.ServerRoute(name, f'127.0.0.1:{port}')
        for name, port in (('a', 9001), ('b', 9002))
    }
    slice_map = slices.make_map((owner or 'a',), 1)
    if not owner:
        slice_map.owners[0] = slices.NO_OWNER
    sequence = fields.get('sequence', 1)
    return routes.ShardRoute(
        **{
            'id': SHARD,
            'keyed': True,
            'servers': servers,
            'map': slice_map,
            'expires_at': 1e9,
            'epoch': 1,
            'sequence': sequence
        } | fields)


def make_snapshot(settings: models.ServiceSettings,
                  route: routes.ShardRoute | None = None,
                  relays: dict[str, str] | None = None) -> routes.Snapshot:
    """Returns a snapshot with one service and at most one shard."""
    shards = {SHARD: route} if route else {}
    return routes.Snapshot({(TEAM, SERVICE): settings}, shards, relays or {},
                           {})


def make_dispatcher(snapshot: routes.Snapshot,
                    clock: clocks.Clock,
                    most_holding: int = 4) -> dispatchers.Dispatcher:
    """Returns a dispatcher that uses a snapshot."""
    registry = metrics.Registry(clock)
    dispatcher = dispatchers.Dispatcher(ENTRY_ID, clock,
                                        dispatchers.make_meters(registry),
                                        random.Random(1), most_holding)
    dispatcher.swap(snapshot)
    dispatcher.informed = True
    return dispatcher


@dataclasses.dataclass
class FakeWiring:
    """Fake wiring of `dispatch`: returns given results and records the calls.

    Attributes:
      results: Results of the attempts at servers, in this order; the last one
        is returned again and again.
      relayed: Results of relaying to other entries, likewise.
      claimed: Result of claiming an idempotency key.
      sent: Ids of the servers that requests were sent to.
      handed: Ids of the entries that requests were relayed to.
      crashes: Evidence of crashes that was sent to other entries.
      on_send: Called with each request before its attempt returns.
    """

    results: list = dataclasses.field(default_factory=list)
    relayed: list = dataclasses.field(default_factory=list)
    claimed: object = None
    sent: list = dataclasses.field(default_factory=list)
    handed: list = dataclasses.field(default_factory=list)
    crashes: list = dataclasses.field(default_factory=list)
    on_send: Callable[[runs.Outgoing], None] = lambda outgoing: None

    def make_wiring(self) -> runs.Wiring:
        """Returns the closures to pass to `dispatch`."""
        return runs.Wiring(send=self._send,
                           relay=self._relay,
                           claim=lambda call, fingerprint: self.claimed,
                           spread_crash=self.crashes.append)

    def _send(self, route, outgoing):
        self.sent.append(route.server.id)
        self.on_send(outgoing)
        return _take_result(self.results)

    def _relay(self, route, outgoing):
        del outgoing
        self.handed.append(route.instance)
        return _take_result(self.relayed)


def _take_result(results: list):
    result = results.pop(0) if len(results) > 1 else results[0]
    return result if isinstance(
        result, transport.Attempt) else transport.Attempt(result)


def make_answer(body: bytes = b'ok') -> transport.Answer:
    """Returns a complete answer with its Content-Length, as servers send it."""
    return transport.make_complete_answer(200,
                                          [('Content-Length', str(len(body)))],
                                          body)


def make_not_run(reason: outcomes.Reason) -> outcomes.NotRun:
    """Returns the result of an attempt that certainly did not run."""
    return outcomes.NotRun(reason, 'fake')


def dispatch_one(dispatcher: dispatchers.Dispatcher, wiring: FakeWiring,
                 call: calls.Call) -> transport.Result:
    """Dispatches one call and returns its result."""
    body = bodies.Body(call.raw.read, call.raw.length, 1 << 20)
    return dispatch.dispatch_call(dispatcher, wiring.make_wiring(), call, body,
                                  traces.NO_SPAN)


def run_in_thread(work: Callable[[], object]) -> Callable[[], object]:
    """Starts work in a thread; returns a function that waits for its result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(work()),
                              daemon=True)
    thread.start()

    def join():
        thread.join(TIMEOUT_S)
        assert results, 'the work did not end in time'
        return results[0]

    return join


class ScriptedServer:
    """Answers each request with the next step of a script.

    A step is the bytes to send. None sends nothing and keeps the connection
    open. Bytes that end in b'CUT' are sent without this mark, and the
    connection is closed after them.
    """

    def __init__(self, *steps: bytes | None):
        self._steps = list(steps)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.requests: list[bytes] = []
        self.accepted: list[socket.socket] = []
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Closes the listener and all connections."""
        for item in (self._listener, *self.accepted):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The other end closed it first.
            item.close()
        self._thread.join()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted.append(connection)
            threading.Thread(target=self._serve_connection,
                             args=(connection,),
                             daemon=True).start()

    def _serve_connection(self, connection):
        try:
            with connection.makefile('rb') as source:
                while request := _read_request(source):
                    self.requests.append(request)
                    step = self._steps.pop(0) if self._steps else None
                    if step is None:
                        continue
                    connection.sendall(step.removesuffix(b'CUT'))
                    if step.endswith(b'CUT'):
                        connection.shutdown(socket.SHUT_RDWR)
                        return
        except OSError:
            pass  # The test has closed it.


def _read_request(source: BinaryIO) -> bytes:
    """Returns one request with a body of Content-Length; b'' at the end."""
    lines = []
    length = 0
    while line := source.readline():
        lines.append(line)
        if line == b'\r\n':
            return b''.join(lines) + source.read(length)
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return b''


def make_pool(address: str,
              clock: clocks.Clock | None = None,
              **limits) -> connections.Pool:
    """Returns a pool of connections to an address."""
    return connections.Pool(address, connections.PoolLimits(**limits), clock or
                            clocks.Clock())


def make_server_route(liveness: tables.Liveness) -> routes.ServerRoute:
    """Returns the route of server a with the given liveness."""
    return routes.ServerRoute('a', '127.0.0.1:9001', liveness=liveness)
