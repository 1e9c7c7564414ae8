"""Checks of the answers that callers of the soak get, and of entries' logs."""

import http.client
import threading
import uuid

from standins import platform_server
from tests import platformhelp

_PROOF_HEADER = 'Lentilmoor-Upstream-Seal'
_ID_HEADER = 'Lentilmoor-Attempt-Id'
_TRACEBACK_CHARACTERS = 800


class AnswerChecks:
    """Sends requests and checks that each success is a server's whole answer.

    Attributes:
      successes: How many were checked.
      breaches: Those that weren't.
    """

    def __init__(self) -> None:
        self._groups: list[list[platform_server.PlatformServer]] = []
        self._lock = threading.Lock()
        self.successes = 0
        self.breaches: list[str] = []

    def add_servers(self,
                    servers: list[platform_server.PlatformServer]) -> None:
        """Adds servers that may answer; more may join the list later."""
        self._groups.append(servers)

    def call(self,
             entry: platformhelp.Entry,
             path: str,
             key: int | None = None,
             **options) -> tuple[int, http.client.HTTPMessage, bytes]:
        """Sends a request as `Entry.call` does, and checks its answer."""
        request_id = options.pop('request_id', '') or uuid.uuid4().hex[:16]
        status, headers, body = entry.call(path,
                                           key,
                                           request_id=request_id,
                                           **options)
        if 200 <= status < 300:
            bodies = [
                f'{server.id} {path}'.encode()
                for group in self._groups
                for server in list(group)
                if request_id in server.begun
            ]
            fault = describe_false_success(headers, body, request_id, bodies)
            with self._lock:
                self.successes += 1
                if fault:
                    self.breaches.append(f'{status} for {path}: {fault}')
        return status, headers, body


def describe_false_success(headers: http.client.HTTPMessage, body: bytes,
                           request_id: str, bodies: list[bytes]) -> str:
    """Returns what a success lacks; '' if it is a server's whole answer.

    Args:
      headers: Its headers.
      body: Its body.
      request_id: Id of the request.
      bodies: The answers of the servers that ran the request.
    """
    proofs = headers.get_all(_PROOF_HEADER, [])
    if proofs != ['seal.' + request_id]:
        return f'proof {proofs} for {request_id}'
    if headers.get_all(_ID_HEADER, []) != [request_id]:
        return f'ids {headers.get_all(_ID_HEADER)} for {request_id}'
    if body not in bodies:
        return f'body {body[:80]!r}, and servers sent {bodies}'
    return ''


def list_log_errors(log: str) -> list[str]:
    """Returns the tracebacks in an entry's log, shortened."""
    return [part[:_TRACEBACK_CHARACTERS] for part in log.split('Traceback')[1:]]
