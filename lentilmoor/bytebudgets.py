"""Limits the bytes that all messages of a process hold in memory together."""

from collections.abc import Callable
import dataclasses
import enum
import math
import threading


@dataclasses.dataclass(slots=True)
class ByteBudget:
    """Memory that messages share; thread-safe.

    Attributes:
      max_bytes: Bytes that all of them may hold beyond their own.
      own_bytes: Bytes of each usage that don't count, so that messages of a
        usual size are not refused while large ones use up the budget. Their sum
        is limited by the number of usages, one a thread.
      used_bytes: Bytes that they hold beyond their own.
      lock: Guards `used_bytes`.
    """

    max_bytes: float = math.inf
    own_bytes: int = 0
    used_bytes: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


@dataclasses.dataclass(slots=True)
class Usage:
    """The part of a budget that one request uses, for all its messages.

    Attributes:
      budget: The budget.
      used_bytes: Bytes reserved for the request.
    """

    budget: ByteBudget = dataclasses.field(default_factory=ByteBudget)
    used_bytes: int = 0


class Excess(enum.Enum):
    """Why a body was not read to its end."""

    TOO_LARGE = 'too-large'
    NO_MEMORY = 'no-memory'


def reserve(usage: Usage, byte_count: int) -> bool:
    """Reserves bytes for a request; returns whether there was room."""
    budget = usage.budget
    with budget.lock:
        added_bytes = (_count_shared(budget, usage.used_bytes + byte_count) -
                       _count_shared(budget, usage.used_bytes))
        if budget.used_bytes + added_bytes > budget.max_bytes:
            return False
        budget.used_bytes += added_bytes
        usage.used_bytes += byte_count
    return True


def release(usage: Usage) -> None:
    """Returns all bytes of a request to the budget."""
    budget = usage.budget
    with budget.lock:
        budget.used_bytes -= _count_shared(budget, usage.used_bytes)
        usage.used_bytes = 0


def collect(read_block: Callable[[], bytes], usage: Usage,
            max_bytes: int) -> bytes | bytearray | Excess:
    """Reads a body into memory, of which there is one copy at any time.

    Args:
      read_block: Returns the next bytes of the body; b'' at its end.
      usage: Where its bytes are reserved, as they arrive.
      max_bytes: Size of the largest body.

    Returns:
      The body, or why the rest was not read.
    """
    body: bytes | bytearray = b''
    while block := read_block():
        if len(body) + len(block) > max_bytes:
            return Excess.TOO_LARGE
        if not reserve(usage, len(block)):
            return Excess.NO_MEMORY
        if not body:
            body = block
            continue
        if isinstance(body, bytes):
            body = bytearray(body)
        body += block
    return body


def _count_shared(budget: ByteBudget, used_bytes: int) -> int:
    """Returns how many bytes of a usage count in its budget."""
    return max(0, used_bytes - budget.own_bytes)
