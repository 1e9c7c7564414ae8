"""Headers that callers and backend servers exchange with an entry."""

from collections.abc import Mapping
import math
import re

from lentilmoor import headers as header_names
from lentilmoor.edge import ports

_REQUEST_ID = 'Lentilmoor-Attempt-Id'
_PATIENCE_MS = 'Lentilmoor-Deadline-Ms'  # A span, not a moment.
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
_KEPT = re.compile(r'timeout=(\d+)')
_MS_PER_S = 1000.0

_DROPPED = header_names.HOP_BY_HOP | frozenset(
    name.lower()
    for name in ('Content-Length', 'Expect', _EXPECTED_SERVER, _PATIENCE_MS))


def make_header_format() -> ports.HeaderFormat:
    """Returns the platform's names and forms."""
    return ports.HeaderFormat(_read_caller, _mark, _read_answer, _DROPPED)


def _read_caller(headers: Mapping[bytes, bytes]) -> ports.CallerHeaders:
    request_id = headers.get(_REQUEST_ID.title().encode(), b'')
    key = _read_number(headers.get(_KEY.title().encode()))
    return ports.CallerHeaders(
        request_id.decode('latin-1'),
        _read_number(headers.get(_PATIENCE_MS.title().encode())),
        None if key is None else int(key))


def _mark(headers: dict[str, str], server_name: str, left_ms: float) -> None:
    headers[_EXPECTED_SERVER] = server_name
    headers[_PATIENCE_MS] = str(max(1, int(left_ms)))


def _read_answer(status: int, headers: Mapping[str,
                                               str]) -> ports.AnswerHeaders:
    kept = _KEPT.search(headers.get('Keep-Alive', ''))
    return ports.AnswerHeaders(
        request_id=headers.get(_REQUEST_ID, ''),
        not_run=_NOT_RUN in headers or status == _MISDIRECTED,
        has_proof=_PROOF in headers,
        load=_read_load(headers.get(_LOAD, '')),
        keep_alive_ms=int(kept[1]) * _MS_PER_S if kept else None,
        closes_connection='close' in headers.get('Connection', '').lower(),
        rate_limit=_read_nonnegative_number(headers.get(_RATE_LIMIT, '')),
        draining=headers.get(_DRAINING, '').strip() not in ('', '0'),
        retry_after_ms=_read_retry_after(status, headers))


def _read_retry_after(status: int, headers: Mapping[str, str]) -> float | None:
    if status not in _RETRY_AFTER_STATUSES:
        return None
    seconds = _read_nonnegative_number(headers.get(_RETRY_AFTER, ''))
    return None if seconds is None else seconds * _MS_PER_S


def _read_load(text: str) -> ports.ServerLoad | None:
    values = text.split(',')
    try:
        running, waiting, slots = (int(value) for value in values)
    except ValueError:
        return None
    return ports.ServerLoad(running, waiting, max(1, slots))


def _read_nonnegative_number(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _read_number(value: bytes | None) -> float | None:
    if not value:
        return None
    try:
        return float(value)
    except ValueError:
        return None
