"""A bounded table of first answers to requests that may not be repeated.

A caller that sends such a request again gets its first answer as long as that
is kept. The oldest answers go first when the table is full; the claims
themselves are kept elsewhere and are not forgotten with their answers.
"""

import dataclasses

_ROW_BYTES = 200  # Of the dict's entry, the digest and the object headers.


@dataclasses.dataclass(slots=True)
class Answers:
    """First answers by digest, oldest first.

    Attributes:
      max_bytes: Limit on the whole table.
      max_answer_bytes: A longer answer is not kept.
      rows: Serialized answers by digest.
      used_bytes: What the rows take.
    """

    max_bytes: int
    max_answer_bytes: int
    rows: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    used_bytes: int = 0


def keep(table: Answers, digest: bytes, answer: bytes) -> bool:
    """Keeps an answer unless there is one already or it is too long.

    Args:
      table: Where to keep it.
      digest: Of the claim.
      answer: Serialized; may not be empty.

    Returns:
      Whether this answer is the one kept now.
    """
    if digest in table.rows:
        return table.rows[digest] == answer
    if not answer or len(answer) > table.max_answer_bytes:
        return False
    table.rows[digest] = answer
    table.used_bytes += _ROW_BYTES + len(answer)
    while table.used_bytes > table.max_bytes:
        drop(table, next(iter(table.rows)))
    return digest in table.rows


def find(table: Answers, digest: bytes) -> bytes | None:
    """Returns the first answer to a claimed request, if it is kept."""
    return table.rows.get(digest)


def drop(table: Answers, digest: bytes) -> None:
    """Forgets one answer."""
    answer = table.rows.pop(digest, None)
    if answer is not None:
        table.used_bytes -= _ROW_BYTES + len(answer)
