"""One lost answer has all entries refuse a keyed service for good.

A manifest adds two routes to a keyed service that has had no traffic. The answer
to the first request, on the route with the longer timeout, is lost. All upstreams
are well from then on. At the end all processes are killed and started again.
"""

import json
import os
import pathlib
import signal
import sys
import threading
import time

import deployment

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRIES = 3
PACK_LIMIT_MS = 2_000
READ_LIMIT_MS = 1_500
BOOK_LIMIT_MS = 2_000
# Bounds: ConfigApplyMs after the ack, a route that was added is in force, and
# StabilityWindowMs after the last disturbance the state is steady.
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
STEADY_S = 12.0
MIN_ADDED = 20
KEYS = 65_536


def make_manifest(version: int) -> dict:
    """Returns a manifest; from version 2 it has the added routes."""
    manifest = deployment.make_manifest(version)
    shift = manifest['Routes'].pop('shift')
    if version > 1:
        manifest['Routes']['shift'] = shift
        manifest['Routes']['pack'] = shift | {
            'Prefix': '/pack/', 'Type': 'download', 'TimeoutMs': PACK_LIMIT_MS
        }
    return manifest


class Bookings:
    """Requests on the first route, four a second at each entry."""

    def __init__(self, entries):
        self.rows: list[tuple[float, int]] = []
        self.ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,), daemon=True)
            for entry in entries
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        self.ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry) -> None:
        index = 0
        while not self.ended.wait(0.25):
            index += 1
            began = time.monotonic()
            status, _, _ = deployment.send(entry.front, 'POST', '/book/b',
                                           f'{entry.name}-book-{index}',
                                           BOOK_LIMIT_MS, body=b'shift')
            self.rows.append((began, status))


def read_shifts(entries, name: str, for_s: float, record) -> tuple[int, int]:
    """Sends reads for keys all over; returns how many, and how many served."""
    asked = served = 0
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        for entry in entries:
            asked += 1
            key = asked * 2_221 % KEYS
            status, _, body = deployment.send(
                entry.front, 'GET', '/shift/s', f'{name}-{asked}',
                READ_LIMIT_MS, key=key)
            served += status == 200
            note = '' if status == 200 else body.decode()[:160]
            record(f'{entry.name} {name}-{asked} key {key}: {status} {note}',
                   False)
        time.sleep(0.2)
    return asked, served


def play(record: deployment.Record) -> int:
    deployed = deployment.Deployment(record)
    bookings = None
    try:
        deployed.store.put('op/config', make_manifest(1))
        paths = deployed.add_partition()  # It is never cut.
        shifts = [deployed.add_upstream('shifts', True, paths)
                  for _ in range(4)]
        for _ in range(3):
            deployed.add_upstream('bookings', False, paths)
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
        bookings = Bookings(entries)
        time.sleep(2.0)
        deployed.store.put('op/config', make_manifest(2))
        record('a manifest with the routes /shift/ and /pack/ is acknowledged')
        time.sleep(CONFIG_APPLY_S + 1.0)
        if TROUBLE:
            for upstream in shifts:
                upstream.on_begin = lambda path: (
                    time.sleep(PACK_LIMIT_MS / 1_000.0 + 1.0)
                    if path.startswith('/pack/') else None)
        status, _, _ = deployment.send(entries[0].front, 'GET', '/pack/p',
                                       'pack-1', PACK_LIMIT_MS, key=100)
        record(f'the only request on /pack/: {status}' +
               (', its answer was lost' if TROUBLE else ''))
        time.sleep(STABLE_S + 1.0)
        steady_at = time.monotonic()
        asked, served = read_shifts(entries, 'steady', STEADY_S, record)
        first = [status for began, status in list(bookings.rows)
                 if began >= steady_at]
        bookings.close()
        first_share = first.count(200) / max(1, len(first))
        added_share = served / max(1, asked)
        record(f'steady: {served} of {asked} on the added route /shift/ were '
               f'served, {first.count(200)} of {len(first)} on the first route')
        for upstream in shifts:
            record(f'{upstream.id} (shifts): {len(upstream.arrived)} requests '
                   'arrived')
        for entry in entries:
            entry.kill()
        time.sleep(0.5)
        for entry in entries:
            entry.start()
        for entry in entries:
            deployment.wait_for(f'{entry.name} is back', entry.is_ready, 20.0)
        time.sleep(3.0)
        again = read_shifts(entries, 'restarted', 4.0, record)
        record(f'not judged: after all processes were killed and started again '
               f'{again[1]} of {again[0]} on /shift/ were served')
        saved = json.loads(deployed.store.read('lentilmoor/assignment/shifts'))
        record(f'mean times of work in the store, ms: {saved.get("works")}')
        broken = asked >= MIN_ADDED and added_share < 0.25 * first_share
        record('BROKEN' if broken else 'held')
        return int(broken)
    finally:
        if bookings is not None:
            bookings.ended.set()
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
