"""The last versions of a team's branch, kept beside it in the store.

Versions stand in a ring of keys, one each, and an index lists them. Writing
the same version twice, from two entries or after a lost reply, does no harm.
The keys lie outside the branches' prefix: whoever watches branches is not
told of copies.
"""

import dataclasses

import pydantic

from lentilmoor import outcomes
from lentilmoor import stores

PREFIX = 'history/'
KEPT = 50
_INDEX = 'index'
_ATTEMPTS = 4


class Line(pydantic.BaseModel):
    """One line of the index.

    Attributes:
      number: The branch's own count of versions.
      version: The store's version.
      author: Name of the credential that made it.
      at_ms: When it was made, ms since the epoch.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    number: int
    version: int
    author: str
    at_ms: float


class _Index(pydantic.BaseModel):
    lines: tuple[Line, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A kept version.

    Attributes:
      line: Its line of the index.
      value: What the branch's key held.
    """

    line: Line
    value: bytes


def add(store: stores.Store, team: str, copy: Copy) -> outcomes.Failed | None:
    """Keeps a version; the one that is `KEPT` versions older goes.

    Args:
      store: The platform's store.
      team: The team.
      copy: The version.

    Returns:
      None if it is kept now, by this call or another.
    """
    return _add_copy(store, team, copy) or _add_line(store, team, copy.line)


def list_lines(store: stores.Store,
               team: str) -> tuple[Line, ...] | outcomes.Failed:
    """Returns the index, oldest version first."""
    record = store.read(_make_key(team, _INDEX))
    if isinstance(record, outcomes.Failed):
        return () if _absent(record) else record
    return _parse_index(record.value).lines


def read_copy(store: stores.Store, team: str,
              version: int) -> Copy | outcomes.Failed:
    """Returns a kept version; Failed(NOT_FOUND) if it is not kept."""
    missing = outcomes.Failed(outcomes.Reason.NOT_FOUND,
                              f'version {version} is not kept')
    lines = list_lines(store, team)
    if isinstance(lines, outcomes.Failed):
        return lines
    found = [line for line in lines if line.version == version]
    if not found:
        return missing
    record = store.read(_make_slot(team, found[0].number))
    if isinstance(record, outcomes.Failed):
        return record
    copy = _parse_copy(record.value)
    return copy if copy and copy.line.version == version else missing


def read_all(store: stores.Store, team: str) -> list[Copy] | outcomes.Failed:
    """Returns all kept versions, newest first; a heavy call, for recovery."""
    records = store.list(f'{PREFIX}{team}/')
    if isinstance(records, outcomes.Failed):
        return records
    index = _make_key(team, _INDEX)
    copies = [
        _parse_copy(record.value) for record in records if record.key != index
    ]
    return sorted(filter(None, copies),
                  key=lambda copy: copy.line.version,
                  reverse=True)


def _add_copy(store: stores.Store, team: str,
              copy: Copy) -> outcomes.Failed | None:
    key = _make_slot(team, copy.line.number)
    record = store.read(key)
    expected = 0
    if isinstance(record, stores.Record):
        if _holds(record, copy.line):
            return None
        expected = record.version
    elif not _absent(record):
        return record
    value = copy.line.model_dump_json().encode() + b'\n' + copy.value
    swapped = store.swap(key, value, expected)
    if isinstance(swapped, stores.Conflict):
        if swapped.current and _holds(swapped.current, copy.line):
            return None
        return outcomes.Failed(outcomes.Reason.CONFLICT, key)
    return swapped if isinstance(swapped, outcomes.Failed) else None


def _add_line(store: stores.Store, team: str,
              line: Line) -> outcomes.Failed | None:
    key = _make_key(team, _INDEX)
    for _ in range(_ATTEMPTS):
        record = store.read(key)
        lines, expected = (), 0
        if isinstance(record, stores.Record):
            lines, expected = _parse_index(record.value).lines, record.version
        elif not _absent(record):
            return record
        if any(other.number >= line.number for other in lines):
            return None
        index = _Index(lines=(*lines, line)[-KEPT:])
        swapped = store.swap(key, index.model_dump_json().encode(), expected)
        if not isinstance(swapped, stores.Conflict):
            return swapped if isinstance(swapped, outcomes.Failed) else None
    return outcomes.Failed(outcomes.Reason.CONFLICT, key)


def _make_key(team: str, name: str) -> str:
    return f'{PREFIX}{team}/{name}'


def _make_slot(team: str, number: int) -> str:
    return _make_key(team, f'{number % KEPT:02d}')


def _absent(failed: outcomes.Failed) -> bool:
    return failed.reason is outcomes.Reason.NOT_FOUND


def _holds(record: stores.Record, line: Line) -> bool:
    copy = _parse_copy(record.value)
    return copy is not None and copy.line.number >= line.number


def _parse_copy(value: bytes) -> Copy | None:
    line, _, rest = value.partition(b'\n')
    try:
        return Copy(Line.model_validate_json(line), rest)
    except pydantic.ValidationError:
        return None


def _parse_index(value: bytes) -> _Index:
    try:
        return _Index.model_validate_json(value)
    except pydantic.ValidationError:
        return _Index()
