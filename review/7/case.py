"""One lost answer makes an entry refuse a service for as long as it runs.

Three entries start. Each passes on reads of one service and, a little later,
its first order of another one. The answers to these three orders are lost. From
then on all upstreams are well, and orders keep coming for a minute.
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
READS_PER_S = 2.0  # At each entry.
ORDERS_PER_S = 0.4  # At each entry.
ORDER_LIMIT_MS = 2_000
READ_LIMIT_MS = 1_500
DAY_S = 65.0


class Traffic:
    """Requesters of one entry: a read each 0.5 s, an order each 2.5 s."""

    def __init__(self, entries, number: int, record):
        self._entry, self._number, self._record = (entries[number], number,
                                                   record)
        self._next = entries[(number + 1) % len(entries)]
        self.results = {'read': [], 'order': []}
        self.ended = threading.Event()

    def start(self) -> None:
        self._start_loop(self._read, 1.0 / READS_PER_S, 0.2 * self._number)
        # Orders of the entries don't come at the same moment.
        self._start_loop(self._order, 1.0 / ORDERS_PER_S,
                         1.0 + 0.7 * self._number)

    def _start_loop(self, ask, pause_s: float, delay_s: float) -> None:

        def loop() -> None:
            at, index = time.monotonic() + delay_s, 0
            while not self.ended.wait(max(0.0, at - time.monotonic())):
                # Each request has a requester of its own.
                threading.Thread(target=ask, args=(index,), daemon=True).start()
                at, index = at + pause_s, index + 1

        threading.Thread(target=loop, daemon=True).start()

    def _read(self, index: int) -> None:
        self._ask('read', 'GET', '/shift/s', index, READ_LIMIT_MS,
                  key=(index * 4_099 + self._number * 1_000) % 65_536)

    def _order(self, index: int) -> None:
        self._ask('order', 'POST', '/book/b', index, ORDER_LIMIT_MS,
                  body=b'2 shifts')

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


def lose_first_orders(upstreams, record) -> None:
    """Has the answer to the first order of each entry be lost.

    The order runs, the channel stays open, and nothing comes back on it.
    """
    for upstream in upstreams:
        answer = upstream.work_s

        def begin(path: str, upstream=upstream, answer=answer) -> None:
            del path, answer
            with upstream.lock:
                request_id = max(upstream.begun - upstream.seen_orders,
                                 default='')
                upstream.seen_orders |= {request_id}
            if request_id.endswith('-order-0'):
                record(f'{upstream.id} runs {request_id}; its answer is lost')
                time.sleep(ORDER_LIMIT_MS / 1_000.0 + 1.0)

        upstream.seen_orders = set()
        upstream.on_begin = begin


def play(record: deployment.Record) -> int:
    deployed = deployment.Deployment(record)
    traffic: list[Traffic] = []
    try:
        deployed.store.put('op/config', deployment.make_manifest())
        paths = deployed.add_partition()  # It is never cut.
        for _ in range(4):
            deployed.add_upstream('shifts', True, paths)
        orders = [deployed.add_upstream('bookings', False, paths)
                  for _ in range(5)]
        for upstream in deployed.upstreams:
            upstream.work_s = 0.1
        entries = []
        for number in range(ENTRIES):
            entries.append(deployment.Entry(deployed, f'edge-{number + 1}',
                                            f'zone-{"aba"[number]}', [], True))
        seeds = [entry.control for entry in entries]
        for entry in entries:
            entry.seeds = seeds
            deployed.entries.append(entry)
            entry.start()
        for entry in entries:
            deployment.wait_for(f'{entry.name} is ready', entry.is_ready, 20.0)
        time.sleep(1.0)
        if TROUBLE:
            lose_first_orders(orders, record)
        began = time.monotonic()
        record('traffic starts')
        for number in range(ENTRIES):
            traffic.append(Traffic(entries, number, record))
            traffic[-1].start()
        time.sleep(DAY_S)
        for item in traffic:
            item.ended.set()
        time.sleep(ORDER_LIMIT_MS / 1_000.0 + 0.5)
        ready = [entry.name for entry in entries if entry.is_ready()]
        record(f'ready at the end: {ready}')
        served, asked = collections.Counter(), collections.Counter()
        for item, entry in zip(traffic, entries, strict=True):
            for kind, rows in item.results.items():
                asked[kind] += len(rows)
                served[kind] += sum(row[1] for row in rows)
                statuses = dict(collections.Counter(row[2] for row in rows))
                record(f'{entry.name} {kind}: {statuses}')
            late = [row for row in item.results['order']
                    if row[0] > began + 10.0]
            record(f'{entry.name}: {sum(row[1] for row in late)} of '
                   f'{len(late)} orders sent after 10 s were served')
        for upstream in orders:
            record(f'{upstream.id} ran {len(upstream.begun)} orders, '
                   f'{len(upstream.arrived)} arrived')
        all_share = sum(served.values()) / max(1, sum(asked.values()))
        share = served['order'] / max(1, asked['order'])
        record(f'served: {share:.3f} of the orders, {all_share:.3f} of all')
        broken = share < 0.25 * all_share
        record('BROKEN' if broken else 'held')
        return int(broken)
    finally:
        for item in traffic:
            item.ended.set()
        deployed.close()


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
