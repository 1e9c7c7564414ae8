"""One lost answer makes an entry refuse an added route for as long as it runs.

A manifest adds a route to a service that has had no traffic. The answer to the
first payout that each of three entries passes on is lost. From then on all
upstreams are well, and payouts keep coming, as do requests on the first routes.
"""

import collections
import os
import pathlib
import signal
import sys
import threading
import time

import deployment

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRIES = 3
READS_PER_S = 2.0  # At each entry, of a first route.
ORDERS_PER_S = 0.4  # At each entry, of a first route.
PAYOUTS_PER_S = 0.4  # At each entry, of the added route.
ORDER_LIMIT_MS = 2_000
READ_LIMIT_MS = 1_500
DAY_S = 50.0
# Bounds: ConfigApplyMs after the ack, a route that was added is in force, and
# StabilityWindowMs after the last disturbance the state is steady.
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
MIN_ADDED = 20


class Traffic:
    """Requesters of one entry; each request has a requester of its own."""

    def __init__(self, entries, number: int, record):
        self._entry, self._number, self._record = (entries[number], number,
                                                   record)
        self._next = entries[(number + 1) % len(entries)]
        self.results = {'read': [], 'order': [], 'payout': []}
        self.ended = threading.Event()

    def start(self) -> None:
        self._start_loop(self._read, 1.0 / READS_PER_S, 0.2 * self._number)
        self._start_loop(self._order, 1.0 / ORDERS_PER_S, 0.7 * self._number)

    def start_payouts(self) -> None:
        self._start_loop(self._payout, 1.0 / PAYOUTS_PER_S,
                         0.7 * self._number)

    def _start_loop(self, ask, pause_s: float, delay_s: float) -> None:

        def loop() -> None:
            at, index = time.monotonic() + delay_s, 0
            while not self.ended.wait(max(0.0, at - time.monotonic())):
                threading.Thread(target=ask, args=(index,), daemon=True).start()
                at, index = at + pause_s, index + 1

        threading.Thread(target=loop, daemon=True).start()

    def _read(self, index: int) -> None:
        self._ask('read', 'GET', '/shift/s', index, READ_LIMIT_MS,
                  key=(index * 4_099 + self._number * 1_000) % 65_536)

    def _order(self, index: int) -> None:
        self._ask('order', 'POST', '/book/b', index, ORDER_LIMIT_MS,
                  body=b'2 shifts')

    def _payout(self, index: int) -> None:
        self._ask('payout', 'POST', '/pay/p', index, ORDER_LIMIT_MS,
                  body=b'wage')

    def _ask(self, kind: str, method: str, path: str, index: int,
             limit_ms: int, **more) -> None:
        name = f'{self._entry.name}-{kind}-{index}'
        began = time.monotonic()
        status, headers, body = deployment.send(self._entry.front, method, path,
                                                name, limit_ms, **more)
        self._note(name, began, status, body)
        # A refusal that says when to come back is retried once, elsewhere.
        if status == 503 and 'Retry-After' in headers:
            left_ms = limit_ms - (time.monotonic() - began) * 1_000.0
            wait_s = float(headers['Retry-After'])
            if wait_s <= left_ms / 3_000.0:
                time.sleep(wait_s)
                status, headers, body = deployment.send(
                    self._next.front, method, path, f'{name}-again',
                    int(left_ms - wait_s * 1_000.0), **more)
                self._note(f'{name}-again', began, status, body)
        served = status == 200 and 'Lentilmoor-Upstream-Seal' in headers
        self.results[kind].append((began, served, status))

    def _note(self, name: str, began: float, status: int, body: bytes) -> None:
        note = '' if status == 200 else body.decode('utf-8', 'replace')[:200]
        self._record(f'{name}: {status} after '
                     f'{time.monotonic() - began:.3f} s {note}', False)


def lose_first_payouts(upstreams, record) -> None:
    """Has the answer to the first payout of each entry be lost.

    The payout runs, the channel stays open, and nothing comes back on it.
    """
    for upstream in upstreams:
        seen: set[str] = set()

        def begin(path: str, upstream=upstream, seen=seen) -> None:
            del path
            with upstream.lock:
                request_id = next(iter(upstream.begun - seen), '')
                seen.add(request_id)
            if request_id.endswith('-payout-0'):
                record(f'{upstream.id} runs {request_id}; its answer is lost')
                time.sleep(ORDER_LIMIT_MS / 1_000.0 + 1.0)

        upstream.on_begin = begin


def make_manifest(version: int) -> dict:
    """Returns a manifest; from version 2 it has the added route."""
    manifest = deployment.make_manifest(version)
    manifest['Services']['payouts'] = manifest['Services']['bookings']
    if version > 1:
        manifest['Routes']['pay'] = manifest['Routes']['book'] | {
            'Prefix': '/pay/', 'Service': 'payouts'
        }
    return manifest


def play(record: deployment.Record) -> int:
    deployed = deployment.Deployment(record)
    traffic: list[Traffic] = []
    try:
        deployed.store.put('op/config', make_manifest(1))
        paths = deployed.add_partition()  # It is never cut.
        for _ in range(4):
            deployed.add_upstream('shifts', True, paths)
        for _ in range(3):
            deployed.add_upstream('bookings', False, paths)
        payouts = [deployed.add_upstream('payouts', False, paths)
                   for _ in range(3)]
        for upstream in deployed.upstreams:
            upstream.work_s = 0.1
        entries = [deployment.Entry(deployed, f'edge-{number + 1}',
                                    f'zone-{"aba"[number]}', [], True)
                   for number in range(ENTRIES)]
        for entry in entries:
            entry.seeds = [item.control for item in entries]
            deployed.entries.append(entry)
            entry.start()
        for entry in entries:
            deployment.wait_for(f'{entry.name} is ready', entry.is_ready, 20.0)
        if TROUBLE:
            lose_first_payouts(payouts, record)
        record('traffic starts on the first routes')
        for number in range(ENTRIES):
            traffic.append(Traffic(entries, number, record))
            traffic[-1].start()
        time.sleep(5.0)
        deployed.store.put('op/config', make_manifest(2))
        record('a manifest with the route /pay/ is acknowledged')
        time.sleep(CONFIG_APPLY_S + 1.0)
        added_at = time.monotonic()
        for item in traffic:
            item.start_payouts()
        time.sleep(DAY_S)
        for item in traffic:
            item.ended.set()
        time.sleep(ORDER_LIMIT_MS / 1_000.0 + 0.5)
        record(f'ready at the end: '
               f'{[entry.name for entry in entries if entry.is_ready()]}')
        for upstream in payouts:
            record(f'{upstream.id} (payouts): {len(upstream.arrived)} requests '
                   f'arrived, {len(upstream.journal)} run to their end')
        # The last lost answer belongs to a payout that was sent 1.4 s after the
        # first one and ended with its time limit.
        steady_at = added_at + 1.4 + ORDER_LIMIT_MS / 1_000.0 + STABLE_S
        return judge(entries, traffic, steady_at, record)
    finally:
        for item in traffic:
            item.ended.set()
        deployed.close()


def judge(entries, traffic, steady_at: float, record) -> int:
    """Compares the added route with the first ones, in steady state."""
    asked, served = collections.Counter(), collections.Counter()
    for entry, item in zip(entries, traffic, strict=True):
        for kind, rows in item.results.items():
            steady = [row for row in rows if row[0] > steady_at]
            asked[kind] += len(steady)
            served[kind] += sum(row[1] for row in steady)
            statuses = dict(collections.Counter(row[2] for row in rows))
            record(f'{entry.name} {kind}, whole run: {statuses}; steady: '
                   f'{sum(row[1] for row in steady)} of {len(steady)} served')
    first = ((served['read'] + served['order']) /
             max(1, asked['read'] + asked['order']))
    added = served['payout'] / max(1, asked['payout'])
    record(f'steady: {added:.3f} of {asked["payout"]} on the added route were '
           f'served, {first:.3f} on the first routes')
    broken = asked['payout'] >= MIN_ADDED and added < 0.25 * first
    record('BROKEN' if broken else 'held')
    return int(broken)


def main() -> int:
    record = deployment.Record(pathlib.Path(__file__).parent / 'record.txt')
    try:
        return play(record)
    except (deployment.CouldNotRunError, OSError) as error:
        record(f'could not run: {error}')
        return 2


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
