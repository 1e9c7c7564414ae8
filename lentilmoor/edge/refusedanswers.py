"""Answers that were refused, by the server that sent them.

Bytes that are no whole answer to a request, or that belong to none, come from a
faulty server. It is named in a log line for each of them and in the metrics.
"""

import collections
import dataclasses
import threading

from lentilmoor import answerheads

# Servers that are counted; beyond it, the one whose last refused answer is the
# oldest is dropped, as servers have a new id at each start.
MAX_SERVERS = 64


@dataclasses.dataclass(slots=True)
class RefusedAnswers:
    """Counts of refused answers; thread-safe.

    Attributes:
      counts: How many were refused for each fault, by server; the server that
        sent the last one is the last.
      lock: Guards `counts`.
    """

    counts: dict[str,
                 collections.Counter[answerheads.Fault]] = (dataclasses.field(
                     default_factory=dict))
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def note(table: RefusedAnswers, logger, request_id: str, server: str,
         fault: answerheads.Fault, detail: str) -> None:
    """Counts and logs a refused answer.

    Args:
      table: Where it is counted.
      logger: Where it is logged.
      request_id: Id of the request that was sent.
      server: Id of the server, or address of the entry, that answered.
      fault: What is wrong with the answer.
      detail: A sentence for people.
    """
    with table.lock:
        faults = table.counts.pop(server, None) or collections.Counter()
        faults[fault] += 1
        table.counts[server] = faults
        if len(table.counts) > MAX_SERVERS:
            del table.counts[next(iter(table.counts))]
    logger.info('answer_refused',
                request=request_id,
                server=server,
                fault=fault.value,
                detail=detail)


def list_counts(table: RefusedAnswers) -> dict[tuple[str, str], int]:
    """Returns the counts by server and by the word for the fault."""
    with table.lock:
        return {
            (server, fault.value): count
            for server, faults in table.counts.items()
            for fault, count in faults.items()
        }
