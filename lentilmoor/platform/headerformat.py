"""Headers that callers and backend servers exchange with an entry."""

from collections.abc import Mapping
import re

from lentilmoor import headers as header_names
from lentilmoor.edge import ports

_REQUEST_ID = 'Lentilmoor-Attempt-Id'
_TIMEOUT_MS = 'Lentilmoor-Deadline-Ms'  # A duration, not a point in time.
_KEY = 'Lentilmoor-Shard-Key'
_EXPECTED_SERVER = 'Lentilmoor-Expect-Instance'
_NOT_RUN = 'Lentilmoor-Not-Executed'
_PROOF = 'Lentilmoor-Upstream-Seal'
_LOAD = 'Lentilmoor-Upstream-Load'
_RATE_LIMIT = 'Server-Limit'
_DRAINING = 'Server-Leaving'
_RETRY_AFTER = 'Retry-After'

_MISDIRECTED = 421
_RETRY_AFTER_STATUSES = frozenset((429, 503))
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=([0-9]{1,9})(?![^\s,;])')
# Bounded, so that no header makes a number that other parts can't hold.
_NUMBER = re.compile(r'[0-9]{1,15}(?:\.[0-9]{1,15})?')
_COUNT = re.compile(r'[0-9]{1,9}')
_MS_PER_S = 1000.0

_DROPPED_HEADERS = header_names.HOP_BY_HOP | frozenset(
    name.lower()
    for name in ('Content-Length', 'Expect', _EXPECTED_SERVER, _TIMEOUT_MS))
_SINGLE_HEADERS = frozenset(
    name.title().encode() for name in (_REQUEST_ID, _TIMEOUT_MS, _KEY))


def make_header_format() -> ports.HeaderFormat:
    """Returns the functions that parse and write the platform's headers."""
    return ports.HeaderFormat(_parse_caller_headers, _add_server_headers,
                              _parse_answer_headers, _DROPPED_HEADERS,
                              _SINGLE_HEADERS)


def _parse_caller_headers(
        headers: Mapping[bytes, bytes]) -> ports.CallerHeaders:
    request_id = headers.get(_REQUEST_ID.title().encode(), b'')
    key = _parse_caller_number(headers, _KEY)
    return ports.CallerHeaders(request_id.decode('latin-1'),
                               _parse_caller_number(headers, _TIMEOUT_MS),
                               None if key is None else int(key))


def _parse_caller_number(headers: Mapping[bytes, bytes],
                         name: str) -> float | None:
    return _parse_number(
        headers.get(name.title().encode(), b'').decode('latin-1'))


def _add_server_headers(headers: dict[str, str], server_name: str,
                        remaining_ms: float) -> None:
    headers[_EXPECTED_SERVER] = server_name
    headers[_TIMEOUT_MS] = str(max(1, int(remaining_ms)))


def _parse_answer_headers(status: int,
                          headers: Mapping[str, str]) -> ports.AnswerHeaders:
    keep_alive = _KEEP_ALIVE_TIMEOUT.search(headers.get('Keep-Alive', ''))
    return ports.AnswerHeaders(
        request_id=headers.get(_REQUEST_ID, ''),
        not_run=_NOT_RUN in headers or status == _MISDIRECTED,
        has_proof=bool(headers.get(_PROOF)),
        load=_parse_load(headers.get(_LOAD, '')),
        keep_alive_ms=int(keep_alive[1]) * _MS_PER_S if keep_alive else None,
        closes_connection='close' in headers.get('Connection', '').lower(),
        rate_limit=_parse_number(headers.get(_RATE_LIMIT, '')),
        draining=headers.get(_DRAINING, '').strip() not in ('', '0'),
        retry_after_ms=_parse_retry_after(status, headers))


def _parse_retry_after(status: int, headers: Mapping[str, str]) -> float | None:
    if status not in _RETRY_AFTER_STATUSES:
        return None
    seconds = _parse_number(headers.get(_RETRY_AFTER, ''))
    return None if seconds is None else seconds * _MS_PER_S


def _parse_load(text: str) -> ports.ServerLoad | None:
    values = [value.strip() for value in text.split(',')]
    if len(values) != 3 or not all(map(_COUNT.fullmatch, values)):
        return None
    running, waiting, slots = map(int, values)
    return ports.ServerLoad(running, waiting, max(1, slots))


def _parse_number(text: str) -> float | None:
    text = text.strip()
    return float(text) if _NUMBER.fullmatch(text) else None
