"""Answers that break off in their head, or that aren't valid HTTP."""

import random

CUT = 'head-cut'
CUT_AFTER_PROOF = 'head-cut-after-proof'
ODD_LINE = 'odd-line'
LATE_DOUBLE = 'late-double'
TWO_LENGTHS = 'two-lengths'
FORMS = (CUT, CUT_AFTER_PROOF, ODD_LINE, LATE_DOUBLE, TWO_LENGTHS)

_PROOF = b'Lentilmoor-Upstream-Seal: '
_LENGTH = b'Content-Length: '
_ODD_LINES = (b'\x00\xff odd', b'HTTP/1.1 200 OK', b': none', b' folded',
              b'no colon', b'A : b')


def make(form: str, answer: bytes, previous: bytes,
         drawn: random.Random) -> tuple[bytes, bool]:
    """Returns what is sent instead of an answer.

    Args:
      form: One of `FORMS`.
      answer: The whole answer.
      previous: The answer before it on the same connection; b'' if it is the
        first.
      drawn: Where cuts and lines are drawn from.

    Returns:
      The bytes, and whether the connection is closed after them.
    """
    head_bytes = answer.index(b'\r\n\r\n') + len(b'\r\n\r\n')
    if form == LATE_DOUBLE:
        return previous + answer, False
    if form in (CUT, CUT_AFTER_PROOF):
        first = 1
        if form == CUT_AFTER_PROOF and _PROOF in answer[:head_bytes]:
            first = answer.index(_PROOF) + len(_PROOF) + 1
        return answer[:drawn.randrange(first, head_bytes)], True
    line = _draw_line(form, answer[:head_bytes], drawn)
    starts = _list_line_starts(answer[:head_bytes])
    at = drawn.choice(starts)
    return answer[:at] + line + b'\r\n' + answer[at:], False


def _draw_line(form: str, head: bytes, drawn: random.Random) -> bytes:
    if form == ODD_LINE:
        return drawn.choice(_ODD_LINES)
    assert form == TWO_LENGTHS, form
    length = int(head.partition(_LENGTH)[2].partition(b'\r\n')[0])
    return _LENGTH + b'%d' % drawn.randrange(length + 1)


def _list_line_starts(head: bytes) -> list[int]:
    """Returns where a line after the status line may be inserted."""
    return [at + 2 for at in range(len(head) - 2) if head[at:at + 2] == b'\r\n']
