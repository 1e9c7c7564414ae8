"""The readers that `fuzzing` feeds with mutated messages, and their oracles.

A reader's case draws a message, has it read and raises `AssertionError` if the
result is none that the reader documents or isn't what was sent. Any other
exception is a fault too.
"""

from collections.abc import Callable
import contextlib
import http.client
import io
import json
import random
import socket
import threading
import zlib

from lentilmoor import answerheads
from lentilmoor import bytebudgets
from lentilmoor import chunks
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import crashes
from lentilmoor import headers as header_names
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import shutdowns
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import keyranges
from lentilmoor.edge import listening
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import proxytables
from lentilmoor.edge import reports
from lentilmoor.edge import tables
from lentilmoor.platform import documents
from lentilmoor.platform import headerformat
from lentilmoor.platform import servers
from lentilmoor.platform import store
from lentilmoor.platform import views
from tests import exchangehelp
from tests import fuzzmessages
from tests import platformhelp

Case = Callable[[random.Random], None]

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 2_000.0
_PARSE = headerformat.make_header_format().parse_answer_headers
_WHOLE_SHARE = 0.1
_KEPT_CALLS = 4
_BODIES = (b'', b'0123456789abcdef', b'HTTP/1.1 200 OK\r\n\r\n', b'\r\n\r\n')
_STATUSES = (200, 200, 200, 409, 421, 503, 204, 404)
# Revisions fit a signed 64-bit integer.
_REVISION_END = 1 << 63
_READ_ERRORS = (http.client.HTTPException, ValueError)
_SERVER = {
    'Service': 'orders',
    'Addr': '127.0.0.1:1',
    'Zone': 'zone-a',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1,
    'born': 1_700_000_000_000
}
_ASSIGNMENT = keyranges.Assignment('catalog', 1, 3,
                                   (keyranges.KeyRange(0, 65_535, 'i-1', 2),),
                                   {'i-1': 4.5}, {'i-1': '127.0.0.1:1'})
_PEER = ports.Peer('edge-1.a', '127.0.0.1:2', False, 'zone-a')
_SUSPECT = ports.SavedSuspect(b'0' * 16, 'orders',
                              (crashes.Crash('i-1', 1_000.0),), {'t': 900.0})
_PROXIED_ID = 'r1'
_EVIDENCE = [quarantine.Evidence(b'0' * 16, 'orders', 1, 5.0, 'i-1')]


class KeptPeer:
    """Answers requests one after the other, and keeps connections open.

    Attributes:
      address: Where it listens.
      answers: The bytes for each of the next requests.
    """

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve,
                             args=(connection,),
                             daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(2.0)
            while _receive_request(connection):
                connection.sendall(self.answers.pop(0))


class Peer:
    """Answers each connection with some bytes, then ends the connection.

    Attributes:
      address: Where it listens.
      answer: The bytes.
    """

    def __init__(self) -> None:
        self.answer = b''
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(2.0)
                _receive_request(connection)
                connection.sendall(self.answer)


def _receive_request(connection: socket.socket) -> bytes:
    """Receives a request; returns its head, b'' if there is none.

    It is received as a whole, so that closing the connection resets nothing
    that was sent.
    """
    received = b''
    while b'\r\n\r\n' not in received:
        data = connection.recv(65_536)
        if not data:
            return b''
        received += data
    head, _, body = received.partition(b'\r\n\r\n')
    length = head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
    while len(body) < int(length or 0):
        body += connection.recv(65_536)
    return head


def _draw(drawn: random.Random, message: bytes, other: bytes) -> bytes:
    """Returns a message, which is whole now and then."""
    if drawn.random() < _WHOLE_SHARE:
        return message
    return fuzzmessages.mutate(drawn, message, other)


def _draw_answer(drawn: random.Random, bodies: tuple[bytes, ...]) -> bytes:
    """Returns an answer to request r1, mutated, perhaps after another one."""
    status, body = drawn.choice(_STATUSES), drawn.choice(bodies)
    answer = fuzzmessages.draw_answer(drawn, 'r1',
                                      b'' if status == 204 else body, status)
    if status == 204:
        answer = b'HTTP/1.1 204 No Content\r\n\r\n'
    other = fuzzmessages.draw_answer(drawn, 'r0', b'other', 200)
    if drawn.random() < 0.2:
        answer = other + answer
    return _draw(drawn, answer, other)


def check_heads(drawn: random.Random) -> None:
    """Reads a mutated answer, and one that is cut, without a connection."""
    data = _draw_answer(drawn, _BODIES)
    source = io.BytesIO(data)
    try:
        head = answerheads.read_head(source, 'GET')
    except http.client.HTTPException:
        head = None
    if head is not None:
        _check_serialized(head, data[:source.tell()])
    answer = fuzzmessages.draw_answer(drawn, 'r1', drawn.choice(_BODIES), 200)
    message = fuzzmessages.read_answer(answer)
    if not message.ends_with_connection or message.body:
        read = _read_whole(answer)
        assert read == message.body, f'a whole answer is refused: {answer!r}'
    if not message.ends_with_connection:
        part = fuzzmessages.cut(drawn, answer, b'')
        assert _read_whole(part) is None, f'a part counts as whole: {part!r}'


def _check_serialized(head: answerheads.Head, raw: bytes) -> None:
    assert raw.endswith(b'\r\n\r\n'), f'no empty line: {raw!r}'
    lines = [
        f'HTTP/{head.version / 10} {head.status} {head.reason}'.encode(
            'latin-1')
    ]
    lines += [
        f'{name}: {value}'.encode('latin-1') for name, value in head.headers
    ]
    again = answerheads.parse_head([line + b'\r\n' for line in (*lines, b'')],
                                   'GET')
    assert again == head, f'{head} is read as {again}'
    last = raw[:-4].rpartition(b'\r\n\r\n')[2]
    assert last.count(b'\r\n') == len(head.headers), f'{raw!r} as {head}'


def _read_whole(data: bytes) -> bytes | None:
    """Returns the body of an answer; None if it isn't whole."""
    source = io.BytesIO(data)
    try:
        head = answerheads.read_head(source, 'GET')
        if head.framing is answerheads.Framing.CHUNKS:
            body, blocks = chunks.ChunkedBody(source), b''
            while block := body.read(7):
                blocks += block
            return blocks if body.finished else None
    except _READ_ERRORS:
        return None
    if head.framing is answerheads.Framing.LENGTH:
        body = source.read(head.length)
        return body if len(body) == head.length else None
    return source.read()


def check_chunks(drawn: random.Random) -> None:
    """Decodes a mutated body in chunks."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    coded = b'5;a=b\r\nhello\r\n3\r\nend\r\n0\r\nTrailer: x\r\n\r\n'
    data = _draw(drawn, coded, b'ffffffffffffffff\r\nx\r\n0\r\n\r\n')
    expected = fuzzmessages.read_answer(head + data)
    read = _read_whole(head + data)
    assert read is None or (expected is not None and
                            read == expected.body), f'{data!r} as {read!r}'


def _find_own_answer(data: bytes) -> fuzzmessages.Message | None:
    """Returns the first whole answer that isn't to another request."""
    for _ in range(exchange.MAX_SKIPPED_ANSWERS + 1):
        answer = fuzzmessages.read_answer(data)
        if answer is None:
            return None
        if answer.find('lentilmoor-attempt-id') in ('', 'r1'):
            return answer
        data = answer.following
    return None


def make_exchange_case(peer: Peer) -> Case:
    """Returns a case that has `exchange.send` read a mutated answer."""

    def check(drawn: random.Random) -> None:
        peer.answer = _draw_answer(drawn, _BODIES)
        expected = _find_own_answer(peer.answer)
        pool = _make_pool(peer.address)
        try:
            result = _send(pool, 'r1')
        finally:
            pool.close()
        if not isinstance(result, exchange.ServerAnswer):
            assert isinstance(result, outcomes.Unknown), result
            return
        told = f'{peer.answer!r} as {result.answer}'
        assert expected is not None, told
        assert result.answer.status == int(expected.start[1]), told
        assert result.answer.body == expected.body, told
        assert _list_end_headers(result.answer.headers) == _list_end_headers(
            expected.headers), told

    return check


def _list_end_headers(headers) -> list[tuple[str, str]]:
    return sorted(
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in (*header_names.HOP_BY_HOP, 'content-length'))


def _make_pool(address: str) -> connections.Pool:
    return connections.Pool(address,
                            connections.PoolLimits(opens_per_s=1e6, burst=1e6),
                            _CLOCK)


def _send(pool: connections.Pool, request_id: str) -> exchange.Result:
    mine, theirs = socket.socketpair()
    outgoing = exchangehelp.make_request(_CLOCK.now() + _TIMEOUT_MS, request_id)
    with mine, theirs:
        return exchange.send(pool, outgoing, exchange.CallerWatch(mine), _PARSE,
                             _CLOCK)


def make_client_case(peer: Peer) -> Case:
    """Returns a case that has `httpclient.Client` read a mutated answer."""

    def check(drawn: random.Random) -> None:
        peer.answer = _draw_answer(drawn, _BODIES)
        expected = fuzzmessages.read_answer(peer.answer)
        client = httpclient.Client(_CLOCK, 1)
        result = client.call(peer.address, httpclient.Request('GET', '/x'),
                             _TIMEOUT_MS)
        client.discard_connections(peer.address)
        if isinstance(result, outcomes.Failed):
            return
        told = f'{peer.answer!r} as {result}'
        assert expected is not None, told
        assert (result.status, result.body) == (int(expected.start[1]),
                                                expected.body), told

    return check


def make_control_case(peer: Peer) -> Case:
    """Returns a case that sends a grant and a release."""
    server = tables.Server('i-1', 'catalog', peer.address, 'zone-a', 2, False,
                           0.0, 0.0)
    key_range = keyranges.KeyRange(0, 9, 'i-1', 2)

    def check(drawn: random.Random) -> None:
        calls = servers.connect_servers(_CLOCK, _make_logger())
        peer.answer = _draw_answer(drawn, (b'',))
        expected = fuzzmessages.read_answer(peer.answer)
        if drawn.random() < 0.5:
            outcome = calls.grant(
                ownership.Grant('catalog', server, key_range, 2, 100.0,
                                '')).outcome
        else:
            outcome, _ = calls.release(
                ownership.Release('catalog', server, key_range))
        told = f'{peer.answer!r} as {outcome}'
        assert isinstance(outcome, ownership.CallOutcome), told
        status = None if expected is None else int(expected.start[1])
        if outcome is ownership.CallOutcome.DONE:
            assert status == 200, told
        if outcome is ownership.CallOutcome.REFUSED:
            assert status == 409, told

    return check


def _draw_following(drawn: random.Random, answer: bytes) -> bytes:
    """Returns what a server sends after an answer that it should send alone."""
    return drawn.choice((b'', answer, b'\r\n', b'\0', answer[:20], answer * 2))


def _draw_kept_answers(drawn: random.Random, has_ids: bool,
                       statuses: list[int]) -> list[bytes]:
    """Returns bytes for each call, in which its whole answer comes once.

    An answer to another request may only come before it if its id tells.
    """
    previous, sent = b'', []
    for number, status in enumerate(statuses):
        body = b'body-%d' % number
        while True:
            answer = fuzzmessages.draw_answer(drawn, f'r{number}', body, status)
            if not fuzzmessages.read_answer(answer).ends_with_connection:
                break
        late = previous if has_ids and drawn.random() < 0.3 else b''
        sent.append(late + answer + _draw_following(drawn, answer))
        previous = answer
    return sent


def make_kept_exchange_case(peer: KeptPeer) -> Case:
    """Returns a case of requests over a connection with extra answers."""

    def check(drawn: random.Random) -> None:
        statuses = [drawn.choice((200, 421, 503)) for _ in range(_KEPT_CALLS)]
        peer.answers = sent = _draw_kept_answers(drawn, True, statuses)
        told, pool = f'{sent}', _make_pool(peer.address)
        try:
            for number, status in enumerate(statuses):
                result = _send(pool, f'r{number}')
                assert isinstance(
                    result,
                    exchange.ServerAnswer), (f'{result} to {number} of {told}')
                found = (result.answer.status, result.answer.body)
                assert found == (status, b'body-%d' %
                                 number), (f'{found} to {number} of {told}')
        finally:
            pool.close()

    return check


def make_kept_client_case(peer: KeptPeer) -> Case:
    """Returns a case of calls over a connection with extra answers."""

    def check(drawn: random.Random) -> None:
        statuses = [drawn.choice((200, 404, 503)) for _ in range(_KEPT_CALLS)]
        peer.answers = sent = _draw_kept_answers(drawn, False, statuses)
        told, client = f'{sent}', httpclient.Client(_CLOCK, 1)
        try:
            for number, status in enumerate(statuses):
                result = client.call(peer.address,
                                     httpclient.Request('GET', '/x'),
                                     _TIMEOUT_MS)
                assert isinstance(
                    result,
                    httpclient.Reply), (f'{result} to {number} of {told}')
                found = (result.status, result.body)
                assert found == (status, b'body-%d' %
                                 number), (f'{found} to {number} of {told}')
        finally:
            client.discard_connections(peer.address)

    return check


def make_kept_control_case(peer: KeptPeer) -> Case:
    """Returns a case of control calls over connections with extra answers."""
    server = tables.Server('i-1', 'catalog', peer.address, 'zone-a', 2, False,
                           0.0, 0.0)
    key_range = keyranges.KeyRange(0, 9, 'i-1', 2)
    expected = {
        200: ownership.CallOutcome.DONE,
        409: ownership.CallOutcome.REFUSED
    }

    def check(drawn: random.Random) -> None:
        calls = servers.connect_servers(_CLOCK, _make_logger())
        statuses = [drawn.choice((200, 409)) for _ in range(_KEPT_CALLS)]
        sent = _draw_kept_answers(drawn, False, statuses)
        peer.answers = list(sent)
        told, grants = f'{sent}', drawn.random() < 0.5
        for number, status in enumerate(statuses):
            if grants:
                outcome = calls.grant(
                    ownership.Grant('catalog', server, key_range, 2, 100.0,
                                    '')).outcome
            else:
                outcome, _ = calls.release(
                    ownership.Release('catalog', server, key_range))
            allowed = {expected[status]}
            if grants and fuzzmessages.read_answer(sent[number]).following:
                allowed.add(ownership.CallOutcome.UNKNOWN)
            assert outcome in allowed, (
                f'{outcome} to {number} of {told}, grants: {grants}')

    return check


def _encode_item(key: str, value: bytes, revision: int) -> dict:
    return views.write_item(views.Item(key, value, revision))


def _list_items() -> list[dict]:
    """Returns an item of each kind, as the store encodes it."""
    values = (
        (views.CONFIGURATION,
         json.dumps(platformhelp.make_configuration()).encode()),
        (views.SERVERS + 'i-1', json.dumps(_SERVER).encode()),
        (views.COORDINATORS + 'catalog', documents.write_peer(_PEER)),
        (views.ASSIGNMENTS + 'catalog',
         documents.write_assignment(_ASSIGNMENT, 'm')),
        (views.ENTRIES + 'edge-1.a', documents.write_peer(_PEER)),
        (views.SUSPECTS + '30' * 16, documents.write_suspect(_SUSPECT, _CLOCK)),
    )
    rows = [
        _encode_item(key, value, revision)
        for revision, (key, value) in enumerate(values, 3)
    ]
    return [*rows, {'Key': 'servers/i-2', 'Rev': 9, 'Tombstone': True}]


_ITEMS = _list_items()


def _dump(value: object) -> bytes:
    return json.dumps(value).encode()


_STORE_BODIES = (
    _dump({
        'items': _ITEMS,
        'Truncated': False,
        'CurrentRev': 9
    }),
    _dump({
        'events': _ITEMS,
        'CurrentRev': 12
    }),
    _dump(_ITEMS[0] | {'CurrentRev': 9}),
    _dump(_ITEMS[3] | {'CurrentRev': 9}),
    _dump({
        'Lease': 7,
        'TtlMs': 2000
    }),
    _dump({'Rev': 9}),
    _dump({'items': [_ITEMS[4]]}),
)
_STORE_STATUSES = (200, 200, 200, 200, 404, 410, 412, 429, 503)


def _make_logger() -> logs.Logger:
    return logs.make_logger('fuzz', io.StringIO())


def _list_store_calls(reader: ports.Store) -> list[Callable[[], object]]:
    lease = ports.Lease(7, 2000.0)
    snapshot = ports.StoreSnapshot(None, {}, {}, {}, {}, 1 << 40)
    return [
        reader.load,
        reader.load_configuration,
        reader.list_entries,
        lambda: reader.watch(snapshot),
        lambda: reader.open_lease(2000.0),
        lambda: reader.keep_lease(lease),
        lambda: reader.end_lease(lease),
        lambda: reader.claim_coordination('catalog', _PEER, lease, 0),
        lambda: reader.register(_PEER, lease),
        lambda: reader.load_assignment('catalog'),
        lambda: reader.save(_ASSIGNMENT, 0),
        lambda: reader.save_suspect(_SUSPECT),
        lambda: reader.delete_suspect(_SUSPECT),
    ]


_STORE_RESULTS = (outcomes.Failed, ports.StoreSnapshot, ports.Lease,
                  ports.SavedAssignment, list, int, type(None))


def make_store_case(peer: Peer) -> Case:
    """Returns a case that reads mutated answers of the store."""

    def check(drawn: random.Random) -> None:
        reader = store.connect_store(peer.address, _CLOCK, _make_logger())
        call = drawn.choice(_list_store_calls(reader))
        body, status = (drawn.choice(_STORE_BODIES),
                        drawn.choice(_STORE_STATUSES))
        other = drawn.choice(_STORE_BODIES)
        is_body_mutated = drawn.random() < 0.8
        if is_body_mutated:
            body = _draw(drawn, body, other)
        answer = fuzzmessages.draw_answer(drawn, 'r1', body, status)
        peer.answer = (answer if is_body_mutated else fuzzmessages.mutate(
            drawn, answer, other))
        result = call()
        assert isinstance(result, _STORE_RESULTS), f'{result!r} is no outcome'
        if isinstance(result, ports.StoreSnapshot):
            _check_revision(result.revision)
        if isinstance(result, int):
            _check_revision(result)
        if isinstance(result, ports.Lease):
            assert isinstance(result.id, int), result
            assert isinstance(result.ttl_ms, (int, float)), result

    return check


def check_documents(drawn: random.Random) -> None:
    """Decodes mutated values of the store."""
    values = (_dump(_SERVER), _dump(platformhelp.make_configuration()),
              documents.write_assignment(_ASSIGNMENT,
                                         'm'), documents.write_peer(_PEER),
              documents.write_suspect(_SUSPECT, _CLOCK))
    index = drawn.randrange(len(values))
    data = _draw(drawn, values[index], drawn.choice(values))
    if index == 0:
        server = documents.parse_server('i-1', data, 0.0)
        assert isinstance(server, (tables.Server, str))
    elif index == 1:
        found = documents.parse_configuration(data)
        assert isinstance(found, (tables.Configuration, str))
    else:
        read = (documents.read_assignment, documents.read_peer,
                lambda data: documents.read_suspect(b'0' * 16, data, 1, _CLOCK)
               )[index - 2]
        with contextlib.suppress(ValueError):
            read(data)


def check_views(drawn: random.Random) -> None:
    """Merges mutated news and dumps of other entries, and applies items."""
    view = views.View(_CLOCK, _make_logger())
    kind = drawn.randrange(4)
    rows = _dump(_ITEMS)
    dump = _dump({'CurrentRev': 9, 'items': _ITEMS})
    if kind == 0:
        news = _draw(drawn, rows, dump)
        packed = drawn.choice((news, zlib.compress(news)))
        _check_snapshot(view.merge_news(packed, 9))
    elif kind == 1:
        _check_snapshot(view.restore(zlib.compress(_draw(drawn, dump, rows))))
    elif kind == 2:
        data = fuzzmessages.mutate(drawn, zlib.compress(dump), rows)
        _check_snapshot(
            drawn.choice(
                (view.restore, lambda data: view.merge_news(data, 9)))(data))
    else:
        item = views.read_item(drawn.choice(_ITEMS))
        if item.value is not None:
            value = _draw(drawn, item.value, rows)
            item = views.Item(item.key, value, item.revision)
        _check_snapshot(view.apply([item], 9))
    view.encode_changes(0, 1e9)
    _check_snapshot(views.View(_CLOCK, _make_logger()).restore(view.dump(0)))


def _check_snapshot(snapshot: object) -> None:
    assert snapshot is None or isinstance(snapshot,
                                          ports.StoreSnapshot), snapshot
    if snapshot is not None:
        _check_revision(snapshot.revision)


def _check_revision(revision: object) -> None:
    assert isinstance(revision, int), revision
    assert 0 <= revision < _REVISION_END, f'revision {revision}'


def _decode_outcome(data: bytes) -> object:
    return proxytables.decode_outcome(data, _PROXIED_ID)


def _list_entry_messages() -> list[tuple[Callable, type, bytes]]:
    """Returns the decoders of messages between entries, with a message."""
    report = reports.Report('e1', {'catalog': [(1, 'i-1', 5.0)]}, {'i-1': 2},
                            {'catalog': 3},
                            limits={'i-1': (None, 4.0)},
                            evidence=_EVIDENCE)
    reply = reports.ReportReply({'i-1': 1}, {'catalog': _ASSIGNMENT}, {},
                                changes=b'x',
                                evidence=_EVIDENCE)
    proxied = proxytables.ProxiedRequest(_PROXIED_ID, 100.0, 4, 'GET', 'h',
                                         '/x', '/x?y', {'A': 'b'}, b'body')
    answer = transport.make_complete_answer(200, [('A', 'b')], b'body')
    failure = outcomes.Unknown(outcomes.Reason.TIMED_OUT, 'late')
    return [
        (reports.decode_report, reports.Report, reports.encode_report(report)),
        (reports.decode_report_reply, reports.ReportReply,
         reports.encode_report_reply(reply)),
        (reports.decode_suspects_reply, reports.SuspectsReply,
         reports.encode_suspects_reply(reports.SuspectsReply(True, _EVIDENCE))),
        (reports.decode_news_request, reports.NewsRequest,
         reports.encode_news(reports.NewsRequest('e1', 4))),
        (reports.decode_news_reply, reports.NewsReply,
         reports.encode_news(reports.NewsReply(4, 3, b'x', 5.0, 1, 0.0))),
        (reports.decode_permit_request, reports.PermitRequest,
         reports.encode_permit(reports.PermitRequest('i-1', 5.0))),
        (reports.decode_permit_reply, reports.PermitReply,
         reports.encode_permit(reports.PermitReply(0.0))),
        (reports.decode_trial_request, reports.TrialRequest,
         reports.encode_trial(
             reports.TrialRequest('t', b'0' * 16, evidence=_EVIDENCE))),
        (reports.decode_trial_reply, reports.TrialReply,
         reports.encode_trial(reports.TrialReply(True, 0.0, _EVIDENCE))),
        (proxytables.decode_request, proxytables.ProxiedRequest,
         proxytables.encode(proxied)),
        (_decode_outcome, transport.Answer,
         proxytables.encode_outcome(answer, _PROXIED_ID)),
        (_decode_outcome, outcomes.Unknown,
         proxytables.encode_outcome(failure, _PROXIED_ID)),
    ]


_ENTRY_MESSAGES = _list_entry_messages()


def check_entry_messages(drawn: random.Random) -> None:
    """Decodes mutated messages of other entries."""
    decode, kind, message = drawn.choice(_ENTRY_MESSAGES)
    assert isinstance(decode(message), kind), message
    data = _draw(drawn, message, drawn.choice(_ENTRY_MESSAGES)[2])
    result = decode(data)
    kinds = (kind, outcomes.NotRun, outcomes.Unknown, transport.Answer)
    assert result is None or isinstance(
        result, kinds if decode is _decode_outcome else kind), data


class CallerListener:
    """A listener for callers that notes what it would forward.

    Attributes:
      address: host and port.
      forwarded: The requests.
      errors: What it logged as errors.
    """

    def __init__(self) -> None:
        self.forwarded: list = []
        self.errors: list[str] = []
        gateway = listening.make_caller_gateway(
            headerformat.make_header_format(), self._forward, lambda *_: None,
            shutdowns.RequestCount(), lambda: 1024 * 1024, _CLOCK,
            bytebudgets.ByteBudget())
        self._listener = listening.make_listener('127.0.0.1:0', gateway, (2, 4),
                                                 self._log_error, _CLOCK)
        self._listener.prepare()
        self.address = self._listener.bind_addr
        threading.Thread(target=self._listener.serve, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._listener.stop()

    def _forward(self, request) -> transport.Answer:
        self.forwarded.append(request)
        return transport.make_complete_answer(200, [('Content-Length', '2')],
                                              b'ok')

    def _log_error(self,
                   message: str = '',
                   level: int = 20,
                   traceback: bool = False) -> None:
        if traceback or level >= 40:
            self.errors.append(message)


_REQUESTS = (b'GET /report/x?y=1 HTTP/1.1\r\nHost: shop.example\r\n'
             b'Lentilmoor-Attempt-Id: r1\r\nLentilmoor-Deadline-Ms: 2000\r\n'
             b'Lentilmoor-Shard-Key: 17\r\n\r\n',
             b'POST /order/x HTTP/1.1\r\nHost: shop.example\r\n'
             b'Lentilmoor-Attempt-Id: r2\r\nContent-Length: 9\r\n\r\ntwo drums',
             b'POST /order/x HTTP/1.1\r\nHost: shop.example\r\n'
             b'Transfer-Encoding: chunked\r\nLentilmoor-Attempt-Id: r3\r\n\r\n'
             b'3\r\ntwo\r\n6\r\n drums\r\n0\r\n\r\n')


def make_listener_case(listener: CallerListener) -> Case:
    """Returns a case that sends mutated requests as a caller."""

    def check(drawn: random.Random) -> None:
        listener.forwarded.clear()
        listener.errors.clear()
        data = _draw(drawn, drawn.choice(_REQUESTS), drawn.choice(_REQUESTS))
        reply = _send_request(listener.address, data)
        assert not listener.errors, f'{data!r}: {listener.errors}'
        assert not reply or _is_answers(reply), f'{data!r}: {reply!r}'
        if listener.forwarded:
            _check_forwarded(listener.forwarded[0], data)
        listener.forwarded.clear()
        whole = _send_request(listener.address, _REQUESTS[1])
        assert whole.startswith(b'HTTP/1.1 200'), f'{data!r}, then {whole!r}'

    return check


def _send_request(address: tuple[str, int], data: bytes) -> bytes:
    """Sends bytes and ends sending; returns all that is received."""
    received = b''
    with socket.create_connection(address, 5.0) as caller:
        with contextlib.suppress(OSError):
            caller.sendall(data)
            caller.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while block := caller.recv(65_536):
                received += block
    return received


def _is_answers(data: bytes) -> bool:
    """Returns whether bytes are nothing but whole answers."""
    while data:
        answer = fuzzmessages.read_answer(data)
        if answer is None:
            return False
        data = answer.following
    return True


def _check_forwarded(request, data: bytes) -> None:
    """Checks that the first request that is forwarded is the one sent."""
    expected = fuzzmessages.read_request(data.lstrip(b'\r\n'))
    told = f'{data!r} as {request}'
    assert expected is not None, told
    assert request.method.encode('latin-1') == expected.start[0], told
    assert request.body == expected.body, told
