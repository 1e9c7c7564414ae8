"""Bytes of each message of control, as serialized, against what is in it.

Lengths are exact and the same on any machine. What HTTP/2, TCP and IP add to
a call between entries is measured by `benchmarks.peers`; grants go over HTTP
and are counted whole, headers included.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
import contextlib
import dataclasses
import socket
import threading

from benchmarks import peers as peers_benchmark
from benchmarks import slopes_fits as fits
from benchmarks import slopes_systems as systems
from lentilmoor import clocks
from lentilmoor import grants
from lentilmoor import leasing
from lentilmoor import servers
from lentilmoor.protocol import peer_pb2
from standins import backend
from standins import backend_state
from standins import serving

SLICES = (480, 4_800, 48_000)
COUNTS = (4, 40, 400)
# Lengths of ids as the platform gives them: a name and eight more digits.
NAME = 'entry-123.0a1b2c3d'
_BLOCK = 65_536
_GRANTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Bytes of a message.

    Attributes:
      name: The message.
      unit: What it grows with.
      line: Points and the line through them, bytes.
    """

    name: str
    unit: str
    line: fits.Line


def measure() -> list[Size]:
    """Measures all messages."""
    return [
        _sweep('lease order without map', 'servers', COUNTS, _order),
        _sweep('lease order with map', 'slices', SLICES, _order_with_map),
        _sweep('lease reply with loads', 'servers', COUNTS, _reply),
        _sweep('lease reply with report', 'slices', SLICES, _reply_report),
        _sweep('exchange, notices', 'notices', COUNTS, _notices),
        _sweep('exchange, evidence', 'servers', COUNTS, _evidence),
        _sweep('exchange, question about grantors', 'shards', COUNTS,
               _question),
        _sweep('claim and settlement, both ways', 'answer bytes', (3, 30, 300),
               _claim),
        _sweep('renewal of a grant over HTTP', 'ranges', (1, 32, 256),
               _renewal),
        _sweep('new grant over HTTP', 'ranges', (1, 32, 256), _grant),
    ]


def _sweep(name: str, unit: str, sizes: tuple[int, ...],
           measure_one: Callable[[int], float]) -> Size:
    return Size(name, unit,
                fits.fit([(size, measure_one(size)) for size in sizes]))


def _order(count: int) -> int:
    slice_map = systems.make_map(SLICES[0])
    order = systems.make_order(slice_map, False, homes=count)
    return leasing.write_order(order).ByteSize()


def _order_with_map(count: int) -> int:
    order = systems.make_order(systems.make_map(count), True)
    return leasing.write_order(order).ByteSize()


def _make_reply() -> peer_pb2.LeaseReply:
    return leasing.write_reply(
        grants.LeaseReply(NAME,
                          True,
                          7,
                          42, (7, 41),
                          123_456.5,
                          quiet_ms=9_999.5,
                          drained=42))


def _reply(count: int) -> int:
    message = _make_reply()
    for index in range(count):
        message.loads.add(server=f'catalogue-{index}',
                          in_flight=2,
                          queued=1,
                          service_ms=5.5)
    return message.ByteSize()


def _reply_report(count: int) -> int:
    message = _make_reply()
    report = systems.make_report(systems.make_map(count))
    leasing.write_report(message, report)
    return message.ByteSize()


def _notices(count: int) -> int:
    message = peers_benchmark.make_exchange()
    for index in range(count):
        message.digest.add(key=f'teams/team-{index}', version=1_000 + index)
    return message.ByteSize()


def _evidence(count: int) -> int:
    message = peer_pb2.ExchangeMessage(instance=NAME,
                                       failure_domain='domain-01')
    for index in range(count):
        message.servers.add(shard='hsinchu/catalogue/0',
                            server=f'catalogue-{index}',
                            failures=3,
                            refused=3,
                            age_ms=10)
    return message.ByteSize()


def _question(count: int) -> int:
    message = peer_pb2.ExchangeMessage(instance=NAME,
                                       failure_domain='domain-01')
    for index in range(count):
        message.asked_shards.append(f'hsinchu/catalogue/{index}')
        message.grantors.add(shard=f'hsinchu/catalogue/{index}',
                             grantor=NAME,
                             age_ms=300)
    return message.ByteSize()


def _claim(count: int) -> int:
    asked = peer_pb2.ClaimRequest(shard='hsinchu/orders/0',
                                  digest=bytes(16),
                                  fingerprint=bytes(8),
                                  instance=NAME,
                                  remaining_ms=2_000,
                                  attempt=1 << 62)
    granted = peer_pb2.ClaimReply(verdict=peer_pb2.ClaimReply.GRANTED)
    settled = peer_pb2.SettleRequest(shard='hsinchu/orders/0',
                                     digest=bytes(16),
                                     attempt=1 << 62,
                                     answer=peer_pb2.StoredAnswer(
                                         status=200, body=bytes(count)),
                                     instance=NAME)
    done = peer_pb2.SettleReply(accepted=True)
    return sum(item.ByteSize() for item in (asked, granted, settled, done))


def _renewal(count: int) -> float:
    return _send_grants(count, renew=True)


def _grant(count: int) -> float:
    return _send_grants(count, renew=False)


def _send_grants(count: int, renew: bool) -> float:
    """Sends grants to a stand-in through a relay that counts the bytes."""
    state = backend_state.BackendState('s1', clocks.Clock(),
                                       backend_state.Switches())
    server = backend.make_server(state)
    stop = serving.serve_in_thread(server)
    relay = Relay(server.address)
    control = servers.connect_servers(clocks.Clock(), 2_000.0)
    step = (1 << 64) // count
    owned = tuple(
        (index * step, index * step + step // 2) for index in range(count))
    for number in range(_GRANTS + 1):
        if number == 1:
            relay.size = 0
        sent = None if renew and number else owned
        order = servers.GrantOrder('hsinchu/catalogue/0', 7, 42, 123_456.5,
                                   500.0, sent)
        answer = control.grant(relay.address, order)
        assert isinstance(answer, servers.GrantAnswer), answer
    size = relay.size / _GRANTS
    relay.close()
    stop()
    return size


class Relay:
    """Passes connections on and counts their bytes, both ways.

    Attributes:
      address: host:port to connect to.
      size: Bytes passed on so far.
    """

    def __init__(self, target: str):
        self.size = 0
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Takes no further connection."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                inside, _ = self._listener.accept()
            except OSError:
                return
            host, _, port = self._target.rpartition(':')
            outside = socket.create_connection((host, int(port)))
            for pair in ((inside, outside), (outside, inside)):
                threading.Thread(target=self._pass_on, args=pair,
                                 daemon=True).start()

    def _pass_on(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while block := source.recv(_BLOCK):
                self.size += len(block)
                target.sendall(block)
