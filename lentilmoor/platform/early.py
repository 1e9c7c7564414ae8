"""A read of the store that runs while the program is loaded.

Loading takes 0.3 s of processor time, most of a second on a small machine, and
reading the store waits for the link. One beside the other, an entry of 60 on a
link of 10 Mbit/s knows its servers 0.4 s earlier.
"""

import contextlib
import http.client
import json
import threading

from lentilmoor import outcomes
from lentilmoor.platform import pages

# Time for a page; the store answers in 4 ms, but 60 entries ask at once.
CALL_S = 1.2


class EarlyRead:
    """A whole read by a thread of its own."""

    def __init__(self, address: str):
        """Begins to read.

        Args:
          address: host:port of the store.
        """
        self._address = address
        self._found: tuple[list[dict], int] | outcomes.Failed | None = None
        self._taken = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def pending(self) -> bool:
        """Whether it still runs."""
        return self._thread.is_alive()

    def take(self,
             wait_ms: float) -> tuple[list[dict], int] | outcomes.Failed | None:
        """Returns what was read; None if it isn't there in time.

        Only the first call does: whoever reads the store again wants it anew.

        Args:
          wait_ms: How long to wait for it.
        """
        if self._taken:
            return None
        self._taken = True
        self._thread.join(wait_ms / 1_000.0)
        found, self._found = self._found, None
        return found

    def _run(self) -> None:
        host, _, port = self._address.rpartition(':')
        try:
            with contextlib.closing(
                    http.client.HTTPConnection(host, int(port),
                                               timeout=CALL_S)) as connection:
                self._found = pages.read_all(
                    lambda target: _get(connection, target))
        except (OSError, ValueError, KeyError,
                http.client.HTTPException) as error:
            self._found = outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE,
                                          f'{type(error).__name__}: {error}')


def _get(connection: http.client.HTTPConnection,
         target: str) -> dict | outcomes.Failed:
    connection.request('GET', target)
    response = connection.getresponse()
    body = response.read()
    if response.status != http.client.OK:
        return outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE,
                               str(response.status))
    return json.loads(body)
