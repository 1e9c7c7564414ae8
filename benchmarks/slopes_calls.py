"""Processor time and bytes of an entry's calls to servers and to the store.

The other side runs in a process of its own, so that what is read is the
caller's part.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

from benchmarks import slopes_fleet
from benchmarks import slopes_messages
from benchmarks import slopes_systems as systems
from lentilmoor import clocks
from lentilmoor import servers
from lentilmoor import stores

TIMEOUT_MS = 2_000.0
# What TCP and IP add: 52 bytes a packet. A call on an open connection takes
# two packets and their acknowledgements, a fresh one seven more.
KEPT_PACKETS = 4
FRESH_PACKETS = 11
PACKET_BYTES = 52
_SHARD = 'hsinchu/catalogue/0'


@dataclasses.dataclass(frozen=True, slots=True)
class CallCost:
    """One call, as its caller pays for it.

    Attributes:
      name: The call.
      cpu_us: Processor time, microseconds.
      wire_bytes: Both ways, headers of TCP and IP included.
    """

    name: str
    cpu_us: float
    wire_bytes: float


def measure() -> list[CallCost]:
    """Measures a renewal of a grant, an idle probe and a line of the list."""
    with _run_server() as address:
        control = servers.connect_servers(clocks.Clock(), TIMEOUT_MS)
        owned = tuple((index << 40, (index << 40) + 1)
                      for index in range(systems.SLICES_PER_SERVER))
        first = servers.GrantOrder(_SHARD, 7, 42, 0.0, 500.0, owned)
        control.grant(address, first)
        renewal = dataclasses.replace(first, owned=None)
        grant_bytes = _count(address,
                             lambda relayed: control.grant(relayed, renewal))
        probe_bytes = _count(
            address, lambda relayed: control.health(relayed, TIMEOUT_MS))
        return [
            CallCost('renewal of a grant',
                     systems.spend(lambda: control.grant(address, renewal)),
                     grant_bytes + KEPT_PACKETS * PACKET_BYTES),
            CallCost('probe over a fresh connection',
                     systems.spend(lambda: control.health(address, TIMEOUT_MS)),
                     probe_bytes + FRESH_PACKETS * PACKET_BYTES),
        ]


def measure_listed() -> int:
    """Returns the bytes of one line of the platform's list of instances."""
    line = stores.ListedInstance(slopes_messages.NAME, '10.100.100.100:10000',
                                 '10.100.100.100:10001', 'region-1',
                                 'domain-01')
    return len(json.dumps(stores.format_instance(line))) + len(', ')


@contextlib.contextmanager
def _run_server():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'servers'
        with subprocess.Popen([
                sys.executable, '-m', 'benchmarks.slopes_servers',
                str(path), 's1'
        ]) as process:
            try:
                slopes_fleet.await_file(path)
                yield path.read_text('utf-8').strip()
            finally:
                process.kill()


def _count(address: str, call: Callable[[str], object]) -> float:
    relay = slopes_messages.Relay(address)
    call(relay.address)
    relay.size = 0
    for _ in range(10):
        call(relay.address)
    relay.close()
    return relay.size / 10
