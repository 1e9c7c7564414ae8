"""Mixed traffic of callers: reads by key, orders with resends, documents."""

from collections.abc import Callable
import dataclasses
import random
import threading
import time

import urllib3

KEYS = 500
ZIPF = 1.0
ORDER_SHARE = 0.1
RESEND_SHARE = 0.3
DOCUMENT_SHARE = 0.01
DOCUMENT_BYTES = 2_000_000
DEADLINE_MS = 2_000
_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request as its caller saw it; times of the monotonic clock, ms.

    Attributes:
      kind: 'read', 'order', 'resend' or 'document'.
      key: Its key, or ''.
      began_ms: When it was sent.
      ended_ms: When its answer was there.
      outcome: What the entry told, or 'lost' if the entry did not answer.
      reason: Why, if it was not answered.
      server: Who answered.
      whole: Whether the answer was as long as it should be.
    """

    kind: str
    key: str
    began_ms: float
    ended_ms: float
    outcome: str
    reason: str = ''
    server: str = ''
    whole: bool = True


class Traffic:
    """Callers in threads; each keeps its connections to all entries.

    Attributes:
      sent: All requests so far.
    """

    def __init__(self, entries: Callable[[], list[str]], callers: int,
                 pause_ms: float, seed: int):
        self._entries = entries
        self._pause_s = pause_ms / 1e3
        self._stopped = threading.Event()
        self._keys = [f'lot-{number}' for number in range(KEYS)]
        self._weights = [1 / (rank + 1)**ZIPF for rank in range(KEYS)]
        self.sent: list[Sent] = []
        self._threads = [
            threading.Thread(target=self._call,
                             daemon=True,
                             args=(f'shop-{number}',
                                   random.Random(seed + number)))
            for number in range(callers)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the callers after their present request."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self, caller: str, chance: random.Random) -> None:
        pool = urllib3.PoolManager(maxsize=2, retries=False)
        number = 0
        while not self._stopped.wait(self._pause_s):
            number += 1
            draw = chance.random()
            if draw < ORDER_SHARE:
                self._order(pool, caller, f'{caller}-{number}', chance)
            elif draw < ORDER_SHARE + DOCUMENT_SHARE:
                self._read(pool, caller, chance, DOCUMENT_BYTES)
            else:
                self._read(pool, caller, chance, 0)

    def _read(self, pool: urllib3.PoolManager, caller: str,
              chance: random.Random, size: int) -> None:
        key = chance.choices(self._keys, self._weights)[0]
        path = '/hsinchu/catalogue/lots'
        path += f'?bytes={size}' if size else ''
        kind = 'document' if size else 'read'
        self._send(pool, kind, key, 'GET', path, {
            'Lentilmoor-Key': key,
            'Lentilmoor-Caller': caller
        }, chance, size)

    def _order(self, pool: urllib3.PoolManager, caller: str, name: str,
               chance: random.Random) -> None:
        headers = {'Idempotency-Key': name, 'Lentilmoor-Caller': caller}
        path = '/hsinchu/orders/confirm'
        done = self._send(pool, 'order', '', 'POST', path, headers, chance)
        if done.outcome != 'answered' or chance.random() < RESEND_SHARE:
            self._send(pool, 'resend', '', 'POST', path, headers, chance)

    def _send(self,
              pool: urllib3.PoolManager,
              kind: str,
              key: str,
              method: str,
              path: str,
              headers: dict[str, str],
              chance: random.Random,
              size: int = 0) -> Sent:
        address = chance.choice(self._entries())
        began = time.monotonic() * 1e3
        try:
            answer = pool.request(method,
                                  f'http://{address}{path}',
                                  headers=headers,
                                  body=b'2 drums' if method == 'POST' else None,
                                  timeout=_TIMEOUT_S)
            sent = Sent(kind, key, began,
                        time.monotonic() * 1e3,
                        answer.headers.get('Lentilmoor-Outcome', 'lost'),
                        answer.headers.get('Lentilmoor-Reason', ''),
                        answer.headers.get('Server-Id', ''), not size or
                        len(answer.data) == size)
        except urllib3.exceptions.HTTPError as error:
            sent = Sent(kind, key, began,
                        time.monotonic() * 1e3, 'lost',
                        type(error).__name__)
        self.sent.append(sent)
        return sent
