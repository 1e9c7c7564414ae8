"""A backend server that owns keys, as a small program.

Run it as `python -m standins.backend --id s1 --port 0 --port_file F`. Paths
under /control/ speak the control interface and set the switches of tests; any
other path runs a job. docs/ADAPTERS.md lists both.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import hashlib
import http
import os
import random
import time
import typing

from absl import app
from absl import flags

from lentilmoor import clocks
from lentilmoor import servers
from standins import backend_state
from standins import serving

_ID = flags.DEFINE_string('id', 's1', 'Server id.')
_JOURNAL_FILE = flags.DEFINE_string(
    'journal_file', '', 'Where to append each start and end of a run, as JSON.')
_CONNECTIONS = flags.DEFINE_integer('connections', 125,
                                    'Connections that it accepts.')
_CONNECT_MS = flags.DEFINE_float('connect_ms', 1.0, 'Cost of a connection.')
_SERVICE_MS = flags.DEFINE_float('service_ms', 5.0, 'Time of a request.')
_COLD_MS = flags.DEFINE_float('cold_ms', 0.0,
                              'Additional time of a first request of a slice.')
_SLOTS = flags.DEFINE_integer('slots', 2, 'Requests run at once.')
_SHED_BEYOND = flags.DEFINE_integer('shed_beyond', 64,
                                    'Waiting requests before it sheds.')
_DRAIN_MS = flags.DEFINE_float('drain_ms', 3_000.0,
                               'How long it takes new work while draining.')
_CHECK = flags.DEFINE_boolean('check_grants', True,
                              'Whether it checks who gives it orders.')

_CHUNK_BYTES = 64 * 1024
# They turn away connections beyond the limit.
_SPARE_THREADS = 4
_LOOK_EVERY_MS = 10.0
_DEFAULT_DEADLINE_MS = 60_000
_CANCELLED_STATUS = 499
_MOST_OFFSET_MS = 10**9
_BAD_REQUEST = serving.Reply(400)
_STATUSES = {
    backend_state.Refusal.NOT_GRANTED: http.HTTPStatus.MISDIRECTED_REQUEST,
    backend_state.Refusal.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
}

State = backend_state.BackendState


def make_handler(
    state: State, silence: Callable[[serving.Connection], int]
) -> Callable[[serving.Call], serving.Reply]:
    """Returns the function that answers calls to a server.

    Args:
      state: The server.
      silence: Makes all connections but one silent; returns how many.
    """

    def handle(call: serving.Call) -> serving.Reply:
        _stay_frozen(state)
        try:
            if call.path == '/control/silence':
                return serving.reply_json(
                    {'silenced': silence(call.connection)})
            if call.path.startswith('/control/'):
                control = _CONTROLS.get(call.path)
                return control(state, call) if control else serving.Reply(404)
            return _run_job(state, call)
        except (ValueError, KeyError, TypeError):
            return _BAD_REQUEST

    return handle


def make_server(state: State,
                port: int = 0,
                connections: int = 125,
                connect_ms: float = 0.0) -> serving.Server:
    """Returns a listening server that is not served yet.

    Args:
      state: What it serves.
      port: TCP port on loopback, or 0 for one that the system picks.
      connections: Connections that it accepts; others are closed at once.
      connect_ms: What accepting one costs.
    """
    handler = make_handler(
        state, lambda connection: server.silence_connections(connection))
    # A thread for each connection, so that control never waits for jobs.
    server = serving.make_server(handler, port, connections + _SPARE_THREADS)
    server.max_connections = connections
    server.connect_ms = connect_ms
    return server


def _stay_frozen(state: State) -> None:
    while state.now() < state.frozen_until:
        _sleep(_LOOK_EVERY_MS)


def _sleep(wait_ms: float) -> None:
    time.sleep(wait_ms / clocks.MS_PER_S)


def _run_job(state: State, call: serving.Call) -> serving.Reply:
    run = state.start(_read_order(state, call))
    if isinstance(run, backend_state.Refusal):
        status = _STATUSES.get(run, http.HTTPStatus.SERVICE_UNAVAILABLE)
        return serving.Reply(status, ((servers.NOT_RUN_HEADER, run.value),))
    ending = backend_state.Ending.CUT
    try:
        reply, ending = _do_job(state, call, run)
        return reply
    finally:
        state.end(run, ending)


def _read_order(state: State, call: serving.Call) -> backend_state.Order:
    remaining_ms = float(
        call.header(servers.DEADLINE_HEADER, str(_DEFAULT_DEADLINE_MS)))
    return backend_state.Order(
        request_id=call.header(servers.REQUEST_ID_HEADER),
        idempotency_key=call.header('Idempotency-Key'),
        key=call.header(servers.KEY_HEADER),
        point=int(call.header(servers.POINT_HEADER, '0')),
        epoch=int(call.header(servers.EPOCH_HEADER, '0')),
        sequence=int(call.header(servers.SEQUENCE_HEADER, '0')),
        deadline=state.now() + remaining_ms)


def _do_job(
        state: State, call: serving.Call,
        run: backend_state.Run) -> tuple[serving.Reply, backend_state.Ending]:
    if call.query.get('crash'):
        os._exit(1)  # pylint: disable=protected-access
    digest = hashlib.sha256()
    size = 0
    for block in call.blocks():
        digest.update(block)
        size += len(block)
    work_ms = float(call.query.get('ms', state.switches.service_ms))
    if run.cold:
        work_ms += state.switches.cold_ms
    finished = _work(state, run, work_ms)
    _stay_frozen(state)
    if not finished:
        return serving.Reply(_CANCELLED_STATUS), backend_state.Ending.CANCELLED
    cut = bool(call.query.get('cut'))
    if 'bytes' in call.query:
        reply = _stream(int(call.query['bytes']), cut)
    else:
        reply = _echo(state, call, size, digest.hexdigest())
    if cut:
        return reply, backend_state.Ending.CUT
    return reply, backend_state.Ending.DONE


def _work(state: State, run: backend_state.Run, work_ms: float) -> bool:
    """Takes its time; returns whether it was left to finish."""
    until = state.now() + work_ms
    while not run.cancelled:
        left_ms = until - state.now()
        if left_ms <= 0:
            return True
        _sleep(min(left_ms, _LOOK_EVERY_MS))
    return False


def _stream(size: int, cut: bool) -> serving.Reply:

    def blocks(left: int) -> Iterator[bytes]:
        while left > 0:
            yield b'x' * min(left, _CHUNK_BYTES)
            left -= _CHUNK_BYTES

    sent = size // 2 if cut else size
    return serving.Reply(body=blocks(sent), length=size, cut=cut)


def _echo(state: State, call: serving.Call, size: int,
          digest: str) -> serving.Reply:
    reply = serving.reply_json(
        {
            'server': state.name,
            'method': call.method,
            'path': call.path,
            'key': call.header(servers.KEY_HEADER),
            'request_id': call.header(servers.REQUEST_ID_HEADER),
            'bytes': size,
            'sha256': digest
        },
        Server_Id=state.name)
    if not call.query.get('cut'):
        return reply
    whole = reply.body
    return dataclasses.replace(reply,
                               body=whole[:len(whole) // 2],
                               length=len(whole),
                               cut=True)


def _grant(state: State, call: serving.Call) -> serving.Reply:
    body = call.json()
    owned = body['ranges']
    if owned is not None:
        owned = tuple((int(first), int(last)) for first, last in owned)
    accepted = state.offer(
        servers.GrantOrder(str(body['shard']), int(body['epoch']),
                           int(body['sequence']),
                           float(body['clock_echo_ms']) - state.clock_offset_ms,
                           float(body['lifetime_ms']), owned))
    return _show_held(state, 200 if accepted else 409)


def _ask(state: State, call: serving.Call) -> serving.Reply:
    epoch = call.json().get('epoch')
    if epoch is not None:
        state.raise_fence(int(epoch))
    return _show_held(state, 200)


def _show_held(state: State, status: int) -> serving.Reply:
    epoch, sequence = state.held.fence
    return serving.reply_json(
        {
            'epoch': epoch,
            'sequence': sequence,
            'ranges': state.held.owned,
            'remaining_ms': state.held.remaining_ms(state.now()),
            'clock_ms': state.now() + state.clock_offset_ms,
            'running': state.count_strays()
        }, status)


def _drain(state: State, _: serving.Call) -> serving.Reply:
    state.drain()
    return serving.reply_json({})


def _cancel(state: State, call: serving.Call) -> serving.Reply:
    found = state.cancel(str(call.json()['request_id']))
    return serving.reply_json({'cancelled': found})


def _health(state: State, _: serving.Call) -> serving.Reply:
    lie = state.switches.health_lie
    serves = lie == 'up' if lie else True
    return serving.reply_json({'serving': serves, 'leaving': state.leaving})


def _load(state: State, call: serving.Call) -> serving.Reply:
    load = state.read_load()
    return serving.reply_json({
        'running': load.running,
        'queued': load.queued,
        'age_ms': state.switches.load_lag_ms,
        'connections': len(call.connection.server.list_connections())
    })


def _journal(state: State, _: serving.Call) -> serving.Reply:
    return serving.reply_json(
        [backend_state.format_run(run) for run in state.list_runs()])


def _freeze(state: State, call: serving.Call) -> serving.Reply:
    state.frozen_until = state.now() + float(call.json()['ms'])
    return serving.reply_json({})


def _switch(state: State, call: serving.Call) -> serving.Reply:
    wanted = call.json()
    names = {field.name for field in dataclasses.fields(state.switches)}
    if not names.issuperset(wanted):
        return _BAD_REQUEST
    for name, value in wanted.items():
        setattr(state.switches, name, value)
    return serving.reply_json(dataclasses.asdict(state.switches))


_CONTROLS = {
    servers.GRANT_PATH: _grant,
    servers.ASK_PATH: _ask,
    servers.DRAIN_PATH: _drain,
    servers.CANCEL_PATH: _cancel,
    servers.HEALTH_PATH: _health,
    servers.LOAD_PATH: _load,
    '/control/journal': _journal,
    '/control/freeze': _freeze,
    '/control/switches': _switch,
}


def _open_journal() -> contextlib.AbstractContextManager[typing.TextIO | None]:
    if not _JOURNAL_FILE.value:
        return contextlib.nullcontext()
    return open(_JOURNAL_FILE.value, 'a', encoding='utf-8')


def _main(_) -> None:
    switches = backend_state.Switches(check_grants=_CHECK.value,
                                      service_ms=_SERVICE_MS.value,
                                      cold_ms=_COLD_MS.value,
                                      slots=_SLOTS.value,
                                      shed_beyond=_SHED_BEYOND.value,
                                      drain_ms=_DRAIN_MS.value)
    with _open_journal() as journal_file:
        state = State(_ID.value, clocks.Clock(), switches, journal_file)
        # An order meant for an earlier process of this server must not be
        # taken for one of this process's own clock.
        state.clock_offset_ms = float(
            random.SystemRandom().randrange(_MOST_OFFSET_MS))
        server = make_server(state, serving.PORT.value, _CONNECTIONS.value,
                             _CONNECT_MS.value)
        serving.serve(server)


if __name__ == '__main__':
    app.run(_main)
