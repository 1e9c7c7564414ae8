"""Loads of the soak whose answers go wrong all the time, and their checks."""

import bisect
from collections.abc import Callable
import contextlib
import http.client
import itertools
import pathlib
import random
import threading
import time
import uuid

from standins import platform_server
from standins import platform_store
from tests import platformhelp
from tests import soakanswers

_RETRIED = 'retried'
_REJECT_SHARE = 0.6
_RETRIED_PAUSE_S = 0.05
_PULSE_PAUSE_S = 0.01
_RETRIED_CALLERS = 2
# As the entries' settings say.
_RETRY_RATIO = 0.2
_RETRY_SLACK = 64
_RETRY_WINDOW_S = 10.0
_WINDOW_STEP_S = 0.25

_ENDLESS = 'endless'
_ENDLESS_LIMIT_MS = 1_000
# Entries may be frozen for 5 s.
_MOST_ENDLESS_S = 8.0
_MOST_MEMORY_KB = 300 * 1024


class RetriedLoad:
    """Requests for a service that rejects most of them, in pulses.

    Attributes:
      servers: Its servers.
    """

    def __init__(self, store: platform_store.PlatformStore, seed: int,
                 answers: soakanswers.AnswerChecks):
        self.servers = [
            platform_server.PlatformServer(store, _RETRIED) for _ in range(3)
        ]
        self._random = random.Random(seed)
        self._answers = answers
        for server in self.servers:
            server.reject_share = _REJECT_SHARE
        self._sent: list[tuple[float, str]] = []
        self._pulse_interval_s = self._random.uniform(2.5, 9.5)
        self._pulse_s = self._random.uniform(0.8, 2.5)

    def add_route(self, routes: dict, services: dict) -> None:
        """Adds the service and its route to a configuration."""
        services[_RETRIED] = services['orders']
        routes[_RETRIED] = routes['report'] | {
            'Prefix': f'/{_RETRIED}/',
            'Service': _RETRIED,
            'Attempts': 3
        }

    def run(self, entries: list[platformhelp.Entry],
            find_end: Callable[[], float]) -> None:
        """Sends requests to any entries until the end, s."""
        threads = [
            threading.Thread(target=self._call, args=(entries, find_end))
            for _ in range(_RETRIED_CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _call(self, entries: list[platformhelp.Entry],
              find_end: Callable[[], float]) -> None:
        while time.monotonic() < find_end():
            request_id = uuid.uuid4().hex[:16]
            self._sent.append((time.monotonic(), request_id))
            with contextlib.suppress(OSError, http.client.HTTPException):
                self._answers.call(self._random.choice(entries),
                                   f'/{_RETRIED}/x',
                                   request_id=request_id)
            time.sleep(self._find_pause())

    def _find_pause(self) -> float:
        since_s = time.monotonic() % self._pulse_interval_s
        return _PULSE_PAUSE_S if since_s < self._pulse_s else _RETRIED_PAUSE_S

    def list_breaches(self) -> list[str]:
        """Returns the first window with more retries than are allowed."""
        sent = sorted(at for at, _ in self._sent)
        repeated = list_repeated(
            itertools.chain.from_iterable(
                server.arrived for server in self.servers))
        for begin in _list_begins(sent, repeated):
            requests = max(
                _count(sent, begin - back)
                for back in (0.0, _RETRY_WINDOW_S / 2, _RETRY_WINDOW_S))
            allowed = _RETRY_RATIO * requests + _RETRY_SLACK
            retries = _count(repeated, begin)
            if retries > allowed:
                return [
                    f'{retries} repeats in {_RETRY_WINDOW_S} s, '
                    f'for {requests} requests; allowed {allowed:.0f}'
                ]
        return []


def list_repeated(arrived) -> list[float]:
    """Returns the times of arrivals beyond the first of each request, s."""
    seen: set[str] = set()
    repeated = []
    for at, request_id in sorted(arrived):
        if request_id in seen:
            repeated.append(at)
        seen.add(request_id)
    return repeated


def _list_begins(sent: list[float], repeated: list[float]) -> list[float]:
    """Returns where windows begin: at each arrival and at short intervals."""
    if not repeated:
        return []
    first = sent[0] - _RETRY_WINDOW_S
    steps = int((repeated[-1] - first) / _WINDOW_STEP_S) + 1
    return repeated + [first + _WINDOW_STEP_S * step for step in range(steps)]


def _count(times: list[float], begin: float) -> int:
    return (bisect.bisect_left(times, begin + _RETRY_WINDOW_S) -
            bisect.bisect_left(times, begin))


class EndlessLoad:
    """Requests for a service whose answers never end.

    Attributes:
      servers: Its servers.
    """

    def __init__(self, store: platform_store.PlatformStore, seed: int,
                 answers: soakanswers.AnswerChecks):
        self.servers = [
            platform_server.PlatformServer(store, _ENDLESS) for _ in range(2)
        ]
        self._random = random.Random(seed)
        self._answers = answers
        for server, answer in zip(self.servers, ('endless', 'endless head'),
                                  strict=True):
            server.faults.answer, server.faults.count = answer, 1_000_000
        self._longest_s = 0.0
        self._most_memory_kb = 0

    def add_route(self, routes: dict, services: dict) -> None:
        """Adds the service and its route to a configuration."""
        services[_ENDLESS] = services['orders']
        routes[_ENDLESS] = routes['report'] | {
            'Prefix': f'/{_ENDLESS}/',
            'Service': _ENDLESS,
            'TimeoutMs': _ENDLESS_LIMIT_MS
        }

    def run(self, entries: list[platformhelp.Entry],
            find_end: Callable[[], float]) -> None:
        """Sends requests to any entries until the end, s."""
        while time.monotonic() < find_end():
            entry = self._random.choice(entries)
            began = time.monotonic()
            with contextlib.suppress(OSError, http.client.HTTPException):
                self._answers.call(entry,
                                   f'/{_ENDLESS}/x',
                                   patience_ms=_ENDLESS_LIMIT_MS)
                self._longest_s = max(self._longest_s, time.monotonic() - began)
            self._most_memory_kb = max(self._most_memory_kb,
                                       _read_memory_kb(entry))
            time.sleep(0.3)

    def list_breaches(self) -> list[str]:
        """Returns what was held for too long, or took too much memory."""
        breaches = []
        if self._longest_s > _MOST_ENDLESS_S:
            breaches.append(f'an answer without end took {self._longest_s} s')
        if self._most_memory_kb > _MOST_MEMORY_KB:
            breaches.append(f'an entry took {self._most_memory_kb} kB')
        return breaches


def _read_memory_kb(entry: platformhelp.Entry) -> int:
    """Returns the memory of an entry's process; 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{entry.process.pid}/status').read_text(
            encoding='ascii')
    except OSError:
        return 0
    return next((int(line.split()[1])
                 for line in status.splitlines()
                 if line.startswith('VmRSS')), 0)
