"""Cost of a call between two entries: processor time, latency, bytes.

Two processes on loopback, one calling the other. Times are of this machine and
not bounded; the bytes on the wire are, for they do not depend on it.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import dataclasses
import multiprocessing
import socket
import threading
import time
import tracemalloc

import hdrh.histogram

from benchmarks import bounds
from lentilmoor import clocks
from lentilmoor import peers
from lentilmoor.protocol import peer_pb2

CALLS = 1_500
WINDOW = 12
SECOND_LIMIT = 0.019  # 1.9% of a core.

_SECRET = b'benchmark'
_TIMEOUT_MS = 10_000.0
_IP_TCP_HEADER = 52
_BLOCK = 65_536
_LINKS = 41


@dataclasses.dataclass(frozen=True, slots=True)
class CallCost:
    """What one call costs.

    Attributes:
      name: Which call, and how it was made.
      caller_us: Processor time of the calling process, microseconds.
      callee_us: Processor time of the answering process, microseconds.
      p50_us: Median latency, microseconds.
      p99_us: 99th percentile.
      message_bytes: Serialized request and reply.
      wire_bytes: On the wire both ways, headers of TCP and IP included.
    """

    name: str
    caller_us: float
    callee_us: float
    p50_us: float
    p99_us: float
    message_bytes: int
    wire_bytes: float


@dataclasses.dataclass(slots=True)
class _Wire:
    """A relay that counts what passes through it."""

    port: int
    size: int = 0
    packets: int = 0


def make_lease() -> peer_pb2.LeaseRequest:
    """Returns a renewal as a grantor sends it."""
    return peer_pb2.LeaseRequest(shard='team/service/0',
                                 grantor='i0001',
                                 epoch=7,
                                 sequence=42,
                                 lifetime_ms=500)


def make_exchange() -> peer_pb2.ExchangeMessage:
    """Returns an exchange as it is sent each second at rest."""
    return peer_pb2.ExchangeMessage(protocol=1,
                                    instance='i0001',
                                    failure_domain='domain-01',
                                    root=1 << 63,
                                    domain_names=1 << 31,
                                    domain_ages=[10] * 15)


def measure() -> list[CallCost]:
    """Returns the cost of a lease renewal and of an exchange."""
    context = multiprocessing.get_context('spawn')
    ours, theirs = context.Pipe()
    child = context.Process(target=_serve, args=(theirs,))
    child.start()
    address = ours.recv()
    caller = _start('127.0.0.1:0')
    try:
        table = []
        for name, kind, message in (
            ('lease', 'lease', make_lease()),
            ('exchange', 'exchange', make_exchange()),
        ):
            call = getattr(caller, f'call_{kind}')
            wire = _measure_wire(call, message, address)
            size = message.ByteSize() + _ask(call, address, message).ByteSize()
            for label, window in (('one by one', 1), ('twelve at once',
                                                      WINDOW)):
                table.append(
                    _measure_one(f'{name}, {label}', call, message, address,
                                 window, ours, size, wire))
        return table
    finally:
        ours.send(None)
        child.join()
        caller.stop(0.0)


def measure_memory() -> float:
    """Returns the bytes of memory that one link takes, both ends together."""
    callee = _start('0.0.0.0:0')
    caller = _start('127.0.0.1:0')
    _, port = callee.address.rsplit(':', 1)
    # Each loopback address is another peer to the caller.
    others = [f'127.0.0.{number}:{port}' for number in range(2, 2 + _LINKS)]
    _ask(caller.call_lease, others[0], make_lease())
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for address in others[1:]:
        _ask(caller.call_lease, address, make_lease())
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    caller.stop(0.0)
    callee.stop(0.0)
    return (after - before) / (_LINKS - 1)


def run() -> list[str]:
    """Prints the table and returns the breached bounds."""
    table = measure()
    print('call                        caller  callee     p50     p99 message '
          '  wire  calls/s in 1.9%')
    for row in table:
        busy = (row.caller_us + row.callee_us) / 1e6
        print(f'{row.name:26} {row.caller_us:5.0f}us {row.callee_us:5.0f}us '
              f'{row.p50_us:5.0f}us {row.p99_us:5.0f}us '
              f'{row.message_bytes:6}B {row.wire_bytes:5.0f}B '
              f'{SECOND_LIMIT / busy:10.0f}')
    memory = measure_memory()
    print(f'memory of one link, both ends: {memory:.0f} bytes')
    values = {f'{row.name}: wire_bytes': row.wire_bytes for row in table}
    values['memory of a link'] = memory
    return bounds.check('peers', values)


def _start(address: str) -> peers.Peers:

    def exchange(_) -> peer_pb2.ExchangeMessage:
        return make_exchange()

    def lease(request) -> peer_pb2.LeaseReply:
        return peer_pb2.LeaseReply(accepted=True,
                                   epoch=request.epoch,
                                   sequence=request.sequence,
                                   drained=request.sequence)

    def refuse(_):
        raise AssertionError('not called here')

    settings = peers.PeerSettings(address, _SECRET)
    handlers = peers.Handlers(exchange=exchange,
                              fetch=refuse,
                              lease=lease,
                              claim=refuse,
                              settle=refuse)
    return peers.start_peers(settings, handlers, clocks.Clock())


def _serve(pipe) -> None:
    callee = _start('127.0.0.1:0')
    pipe.send(callee.address)
    while pipe.recv() is not None:
        pipe.send(time.process_time())
    callee.stop(0.0)


def _read_callee(pipe) -> float:
    pipe.send('time')
    return pipe.recv()


def _ask(call: peers.Call, address: str, message):
    return call(address, message, _TIMEOUT_MS).result()


def _measure_one(name: str, call: peers.Call, message, address: str,
                 window: int, pipe, size: int, wire: float) -> CallCost:
    histogram = hdrh.histogram.HdrHistogram(1, 10_000_000, 3)
    _ask(call, address, message)
    theirs, ours = _read_callee(pipe), time.process_time()
    running = []
    for _ in range(CALLS):
        running.append((time.perf_counter(), call(address, message,
                                                  _TIMEOUT_MS)))
        if len(running) >= window:
            _end_first(running, histogram)
    while running:
        _end_first(running, histogram)
    ours = time.process_time() - ours
    theirs = _read_callee(pipe) - theirs
    return CallCost(name, ours / CALLS * 1e6, theirs / CALLS * 1e6,
                    histogram.get_value_at_percentile(50),
                    histogram.get_value_at_percentile(99), size, wire)


def _end_first(running: list, histogram) -> None:
    began, future = running.pop(0)
    future.result()
    histogram.record_value(int((time.perf_counter() - began) * 1e6))


def _measure_wire(call: peers.Call, message, address: str) -> float:
    wire = _Wire(0)
    listener = socket.create_server(('127.0.0.1', 0))
    wire.port = listener.getsockname()[1]
    relay = threading.Thread(target=_relay,
                             args=(listener, address, wire),
                             daemon=True)
    relay.start()
    relayed = f'127.0.0.1:{wire.port}'
    for _ in range(10):
        _ask(call, relayed, message)
    size, packets = wire.size, wire.packets
    for _ in range(200):
        _ask(call, relayed, message)
    size = wire.size - size
    packets = wire.packets - packets
    listener.close()
    # Each packet is answered by an acknowledgement, at the worst.
    return (size + 2 * packets * _IP_TCP_HEADER) / 200


def _relay(listener: socket.socket, address: str, wire: _Wire) -> None:
    inside, _ = listener.accept()
    host, port = address.split(':')
    outside = socket.create_connection((host, int(port)))
    for one in (inside, outside):
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for source, target in ((inside, outside), (outside, inside)):
        threading.Thread(target=_pass_on,
                         args=(source, target, wire),
                         daemon=True).start()


def _pass_on(source: socket.socket, target: socket.socket, wire: _Wire) -> None:
    while block := source.recv(_BLOCK):
        wire.size += len(block)
        wire.packets += 1
        target.sendall(block)
    target.shutdown(socket.SHUT_WR)


if __name__ == '__main__':
    run()
