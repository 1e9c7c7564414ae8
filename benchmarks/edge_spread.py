"""How a change of the store reaches all entries, by four ways, in a model.

`python -m benchmarks edge_spread` prints for each way and size when a change is
known to half and to 99 in 100 of all entries, what an entry costs the store,
and the bytes that the busiest entry sends and an entry takes in, at rest. The
tree is the one in use (`relays.find_position`), with its own pauses and limits.

Entries ask each other over links whose replies queue up at who sends them.
Entries that are lost answer nothing, so that who asks them waits for its limit
and then asks the next. Times of other steps are drawn.
"""

from collections.abc import Callable
import dataclasses
import heapq
import pathlib
import random

import yaml

from benchmarks import bounds
from lentilmoor import clocks
from lentilmoor.edge import ports
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import staleness

SEEDS = 5
SHARE = 0.99
_BOUNDS = pathlib.Path(__file__).with_name('bounds_edge_spread.yaml')
LIMITS = staleness.make_limits(2_500.0, 2_500.0)

# Delays one way, ms: within a failure domain, and between two.
NEAR_MS = 0.2
FAR_MS = 1.5
# Processor time of a reply or of taking one in, ms: on a large machine and on
# part of a small one.
WORK_MS = 1.0
SMALL_WORK_MS = 4.0
LINK_MBPS, SMALL_MBPS = 200.0, 20.0
# A server's entry as the store tells it, and how often each writes one.
ENTRY_BYTES = 350.0
HEARTBEAT_MS = 870.0
SERVERS_PER_ENTRY = 3.7
# A request or reply between entries with nothing in it.
EMPTY_BYTES = 300.0
DIGEST_BYTES = 16.0
GOSSIP_MS = 250.0
GOSSIP_PEERS = 2
SHOWN_DOMAINS = 3
_LARGE = 3
_BYTES_PER_MBIT = 125.0  # Each ms.


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """What is played.

    Attributes:
      name: What it is called.
      domains: Failure domains.
      entries: Entries in all.
      change_bytes: Of the change that is told.
      lost_relays: Relays that answer nothing.
      lost_domains: Whole failure domains that do.
    """

    name: str
    domains: int
    entries: int
    change_bytes: float = ENTRY_BYTES
    lost_relays: int = 0
    lost_domains: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of it.

    Attributes:
      half_ms: When half of the entries in touch knew the change, ms.
      late_ms: When 99 in 100 did.
      calls: Calls to the store a second and entry.
      sent_kbps: What the busiest entry sends at rest, KB a second.
      taken_kbps: What an entry takes in at rest.
    """

    half_ms: float
    late_ms: float
    calls: float
    sent_kbps: float
    taken_kbps: float


SCENES = (
    Scene('30', 3, 30),
    Scene('195', 5, 195),
    Scene('4900', 15, 4_900),
    Scene('195, relays lost', 5, 195, lost_relays=5),
    Scene('4900, relays lost', 15, 4_900, lost_relays=30),
    Scene('195, domain lost', 5, 195, lost_domains=1),
    Scene('195, large change', 5, 195, change_bytes=40_000.0),
    Scene('4900, large change', 15, 4_900, change_bytes=40_000.0),
)


class Fleet:
    """Entries, and how long what they tell each other takes.

    Attributes:
      peers: All entries; the first is the hub.
      alive: Addresses of those that answer.
    """

    def __init__(self, scene: Scene, seed: int):
        self.scene = scene
        self.random = random.Random(seed)
        per_domain = scene.entries // scene.domains
        self.peers = [
            ports.Peer(f'e{domain}-{number}', f'{domain}.{number:04}:1', number
                       >= _LARGE, f'd{domain}')
            for domain in range(scene.domains)
            for number in range(per_domain)
        ]
        self.by_address = {peer.address: peer for peer in self.peers}
        self.hub = self.peers[0].address
        self.alive = set(self.by_address) - self._choose_lost()
        self._free_at: dict[str, float] = {}

    def _choose_lost(self) -> set[str]:
        lost_domains = {
            f'd{number + 1}' for number in range(self.scene.lost_domains)
        }
        large = [peer.address for peer in self.peers[1:] if not peer.small]
        lost = set(self.random.sample(large, self.scene.lost_relays))
        return lost | {
            peer.address for peer in self.peers if peer.domain in lost_domains
        }

    def carry(self, sender: str, receiver: str, at: float,
              size: float) -> float:
        """Returns when a reply that is written at a time is taken in, ms."""
        one, other = self.by_address[sender], self.by_address[receiver]
        began = max(at, self._free_at.get(sender, 0.0)) + _find_work(one)
        link = SMALL_MBPS if one.small else LINK_MBPS
        self._free_at[sender] = began + size / (link * _BYTES_PER_MBIT)
        narrow = SMALL_MBPS if other.small else LINK_MBPS
        way_ms = NEAR_MS if one.domain == other.domain else FAR_MS
        return (self._free_at[sender] + way_ms + size /
                (narrow * _BYTES_PER_MBIT) + _find_work(other))


def _find_work(peer: ports.Peer) -> float:
    return SMALL_WORK_MS if peer.small else WORK_MS


def _find_servers(fleet: Fleet) -> float:
    return SERVERS_PER_ENTRY * len(fleet.peers)


def _kbps(size: float, pause_ms: float) -> float:
    return size / 1_000.0 * clocks.MS_PER_S / pause_ms


def play_watches(fleet: Fleet) -> tuple[dict[str, float], Result]:
    """Has each entry watch the store by itself."""
    known = {
        address:
            fleet.random.uniform(0, LIMITS.watch_pause_ms) + FAR_MS +
            SMALL_WORK_MS for address in fleet.alive
    }
    heartbeats = _kbps(ENTRY_BYTES * _find_servers(fleet), HEARTBEAT_MS)
    return known, _make_result(known, 1_000.0 / LIMITS.watch_pause_ms, 0.0,
                               heartbeats)


def play_reports(fleet: Fleet) -> tuple[dict[str, float], Result]:
    """Has the hub tell all, in replies to reports that get rarer."""
    known = {fleet.hub: _find_look(fleet)}
    pause_ms = reporting.find_report_interval(len(fleet.peers))
    asked = sorted(
        (known[fleet.hub] + fleet.random.uniform(0, pause_ms), address)
        for address in fleet.alive - {fleet.hub})
    for at, address in asked:
        known[address] = fleet.carry(fleet.hub, address, at,
                                     EMPTY_BYTES + fleet.scene.change_bytes)
    total = _kbps(EMPTY_BYTES, pause_ms)
    return known, _make_result(known, _find_hub_calls(fleet),
                               total * len(fleet.peers), total)


def play_gossip(fleet: Fleet) -> tuple[dict[str, float], Result]:
    """Has each entry exchange digests with some others, at its own times."""
    known = {fleet.hub: _find_look(fleet)}
    alive = sorted(fleet.alive)
    queue = [(fleet.random.uniform(0, GOSSIP_MS), address) for address in alive]
    heapq.heapify(queue)
    while queue and len(known) < len(alive):
        at, address = heapq.heappop(queue)
        heapq.heappush(queue, (at + GOSSIP_MS, address))
        for _ in range(GOSSIP_PEERS):
            other = fleet.random.choice(fleet.peers).address
            if other not in fleet.alive:
                continue
            for one, two in ((address, other), (other, address)):
                if known.get(one, at + 1.0) <= at and two not in known:
                    known[two] = fleet.carry(one, two, at,
                                             fleet.scene.change_bytes)
    digest = EMPTY_BYTES + DIGEST_BYTES * _find_servers(fleet)
    rate = _kbps(digest, GOSSIP_MS) * GOSSIP_PEERS * 2
    return known, _make_result(known, _find_hub_calls(fleet), rate, rate)


def play_tree(fleet: Fleet) -> tuple[dict[str, float], Result]:
    """Has relays tell all, by requests that wait for a change."""
    places = _find_places(fleet)
    known = {fleet.hub: _find_look(fleet)}
    size = EMPTY_BYTES + fleet.scene.change_bytes
    for address, place in places.items():
        if place is None and address != fleet.hub:
            # Told by the hub in the reply to its next report.
            asked = known[fleet.hub] + fleet.random.uniform(
                0, reporting.REPORT_INTERVAL_MS)
            known[address] = fleet.carry(fleet.hub, address, asked, size)
    _tell_children(fleet, places, known, size)
    reply = _kbps(EMPTY_BYTES, LIMITS.poll_wait_ms)
    direct = sum(place is None or place.is_relay for place in places.values())
    most = max(relays.RELAY_FANOUT if any(places.values()) else 0,
               direct * fleet.scene.domains / SHOWN_DOMAINS)
    return known, _make_result(known, _find_hub_calls(fleet), reply * most,
                               reply)


def _find_places(fleet: Fleet) -> dict[str, relays.TreePosition | None]:
    """Returns the places of entries of some failure domains: all look alike."""
    entries = {peer.instance: peer for peer in fleet.peers}
    shown = {f'd{number}' for number in range(SHOWN_DOMAINS - 1)}
    shown.add(f'd{fleet.scene.domains - 1}')
    return {
        peer.address: relays.find_position(peer, entries, {fleet.hub})
        for peer in fleet.peers
        if peer.address in fleet.alive and peer.domain in shown
    }


def _tell_children(fleet: Fleet, places: dict[str, relays.TreePosition | None],
                   known: dict[str, float], size: float) -> None:
    """Lets the change go from parent to child; lost parents cost a limit."""
    left = {
        address: place
        for address, place in places.items()
        if place is not None and address not in known
    }
    while left:
        ready = []
        for address, place in left.items():
            lost, parent = _find_parent(fleet, place)
            if parent in known:
                ready.append(
                    (known[parent] + _draw_waste(fleet, lost), address, parent))
        if not ready:
            return
        for at, address, parent in sorted(ready):
            known[address] = fleet.carry(parent, address, at, size)
            del left[address]


def _find_parent(fleet: Fleet, place: relays.TreePosition) -> tuple[int, str]:
    """Returns how many parents are lost, and the first that isn't."""
    for lost, parent in enumerate(place.parents):
        if parent in fleet.alive:
            return lost, parent
    return len(place.parents), ''


def _draw_waste(fleet: Fleet, lost: int) -> float:
    """Returns how long lost parents hold up an entry that asks them, ms."""
    limit_ms = LIMITS.poll_wait_ms + LIMITS.poll_reply_ms
    if not lost:
        return 0.0
    return lost * limit_ms - fleet.random.uniform(0, limit_ms)


def _find_look(fleet: Fleet) -> float:
    return fleet.random.uniform(0, LIMITS.hub_watch_pause_ms) + FAR_MS


def _find_hub_calls(fleet: Fleet) -> float:
    return 1_000.0 / LIMITS.hub_watch_pause_ms / len(fleet.peers)


def _make_result(known: dict[str, float], calls: float, sent: float,
                 taken: float) -> Result:
    times = sorted(known.values())
    return Result(times[len(times) // 2], times[int(len(times) * SHARE)], calls,
                  sent, taken)


WAYS: dict[str, Callable] = {
    'watches': play_watches,
    'reports': play_reports,
    'gossip': play_gossip,
    'tree': play_tree,
}


def average(scene: Scene, way: str) -> Result:
    """Returns the mean of some seeds; times are of the worst."""
    found = [WAYS[way](Fleet(scene, seed))[1] for seed in range(SEEDS)]
    return Result(max(item.half_ms for item in found),
                  max(item.late_ms for item in found), found[0].calls,
                  found[0].sent_kbps, found[0].taken_kbps)


def run() -> list[str]:
    """Prints a table and returns passed bounds."""
    limits = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    breaches = []
    print(f'{"scene":20} {"way":8} half ms  99% ms  calls/s  '
          'sent KB/s  taken KB/s')
    for scene in SCENES:
        for way in WAYS:
            found = average(scene, way)
            print(f'{scene.name:20} {way:8} {found.half_ms:7.0f} '
                  f'{found.late_ms:7.0f} {found.calls:8.3f} '
                  f'{found.sent_kbps:10.1f} {found.taken_kbps:11.1f}')
        values = dataclasses.asdict(found)
        breaches += bounds.find_breaches(scene.name, limits[scene.name], values)
    return breaches
