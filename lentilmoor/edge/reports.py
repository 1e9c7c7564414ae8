"""What entries tell each other, over HTTP with JSON bodies.

Each entry reports to the hub, which is the coordinator of a keyed service, or
any entry that all agree on. The hub answers with what follows from all
reports. So an entry that is cut off from the store learns new owners too.
"""

import dataclasses
import json

from lentilmoor.edge import keyranges
from lentilmoor.edge import tables

Row = tuple[int, str, float]
"""Key, server id, time of work in ms; 0 if the server did not run it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an entry saw since its last report.

    Attributes:
      entry: Its instance id.
      rows: Requests for keys, by service.
      inflight: Its requests under way, by server id.
      known: The `next_fence` of the assignment that it knows, by service.
      crashed: Fingerprints of requests whose servers broke off.
      cleared: Fingerprints of such requests that were answered since.
    """

    entry: str
    rows: dict[str, list[Row]]
    inflight: dict[str, int]
    known: dict[str, int]
    crashed: list[str]
    cleared: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What follows from all entries' reports.

    Attributes:
      others: Requests of other entries under way, by server id.
      assignments: Those that are newer than what the entry knows.
      coordinated: What the hub tells of services that it coordinates.
      watched: Fingerprints of requests that may crash their servers.
      blocked: Fingerprints of requests that do.
    """

    others: dict[str, int]
    assignments: dict[str, keyranges.Assignment]
    coordinated: dict[str, tables.Coordinated]
    watched: list[str]
    blocked: list[str]


def encode_report(report: Report) -> bytes:
    """Returns a report as it travels."""
    return _encode({
        'entry': report.entry,
        'rows': report.rows,
        'inflight': report.inflight,
        'known': report.known,
        'crashed': report.crashed,
        'cleared': report.cleared,
    })


def decode_report(data: bytes) -> Report | None:
    """Returns a report, or None if it doesn't parse."""
    try:
        fields = json.loads(data)
        rows = {
            str(service): [(int(key), str(server), float(work_ms))
                           for key, server, work_ms in items
                          ] for service, items in fields['rows'].items()
        }
        return Report(str(fields['entry']), rows,
                      _read_counts(fields, 'inflight'),
                      _read_counts(fields, 'known'),
                      [str(item) for item in fields['crashed']],
                      [str(item) for item in fields['cleared']])
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def encode_reply(reply: Reply) -> bytes:
    """Returns a reply as it travels."""
    return _encode({
        'others': reply.others,
        'assignments': {
            name: write_assignment(item)
            for name, item in reply.assignments.items()
        },
        'coordinated': {
            name: {
                'unserved': item.unserved,
                'works': item.works
            } for name, item in reply.coordinated.items()
        },
        'watched': reply.watched,
        'blocked': reply.blocked,
    })


def decode_reply(data: bytes) -> Reply | None:
    """Returns a reply, or None if it doesn't parse."""
    try:
        fields = json.loads(data)
        return Reply(
            _read_counts(fields, 'others'), {
                str(name): read_assignment(item)
                for name, item in fields['assignments'].items()
            }, {
                str(name): _read_coordinated(item)
                for name, item in fields['coordinated'].items()
            }, [str(item) for item in fields['watched']],
            [str(item) for item in fields['blocked']])
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def write_assignment(assignment: keyranges.Assignment) -> dict[str, object]:
    """Returns an assignment as fields that JSON knows."""
    return {
        'service': assignment.service,
        'term': assignment.term,
        'next_fence': assignment.next_fence,
        'ranges': [[item.first, item.last, item.server, item.fence]
                   for item in assignment.ranges],
        'works': dict(assignment.works),
        'addresses': dict(assignment.addresses),
        'author': assignment.author,
    }


def read_assignment(fields: dict) -> keyranges.Assignment:
    """Reads what `write_assignment` returned.

    Args:
      fields: Its fields.

    Raises:
      KeyError: A field is missing.
      TypeError: A field has another type.
    """
    return keyranges.Assignment(
        fields['service'], fields['term'], fields['next_fence'],
        tuple(keyranges.KeyRange(*row) for row in fields['ranges']),
        fields['works'], fields['addresses'], fields['author'])


def _read_coordinated(fields: dict) -> tables.Coordinated:
    return tables.Coordinated([
        (int(first), int(last)) for first, last in fields['unserved']
    ], {
        str(name): float(work_ms) for name, work_ms in fields['works'].items()
    })


def _encode(fields: dict) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()


def _read_counts(fields: dict, name: str) -> dict[str, int]:
    return {str(key): int(value) for key, value in fields[name].items()}
