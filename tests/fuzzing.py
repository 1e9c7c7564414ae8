"""Feeds readers with mutated messages, drawn from a seed.

`python -m tests.fuzzing --fuzz_seed=1 --fuzz_seconds=60`. Each case is drawn
from the seed, its reader and its number alone, so one is repeated by
`--fuzz_reader=store --fuzz_first=1234 --fuzz_seconds=0`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import random
import sys
import time
import traceback

from absl import app
from absl import flags

from tests import fuzzreaders

_SEED = flags.DEFINE_integer('fuzz_seed', 1, 'Of all that is drawn.')
_SECONDS = flags.DEFINE_float('fuzz_seconds', 30.0, 'Time for all readers.')
_READER = flags.DEFINE_string('fuzz_reader', '', 'The only one; all if empty.')
_FIRST = flags.DEFINE_integer('fuzz_first', 0, 'Number of the first case.')

_MOST_EXCERPT_CHARACTERS = 600


@dataclasses.dataclass
class Findings:
    """What the cases of a reader found.

    Attributes:
      cases: Number of cases.
      failures: The numbers of those that failed, by the kind of failure.
      examples: The text of the first failure of each kind.
    """

    cases: int = 0
    failures: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    examples: dict[str, str] = dataclasses.field(default_factory=dict)


@contextlib.contextmanager
def open_readers() -> Iterator[dict[str, fuzzreaders.Case]]:
    """Yields the cases by reader; closes their peers in the end."""
    with contextlib.ExitStack() as stack:
        peer = fuzzreaders.Peer()
        stack.callback(peer.close)
        kept = fuzzreaders.KeptPeer()
        stack.callback(kept.close)
        listener = fuzzreaders.CallerListener()
        stack.callback(listener.close)
        yield {
            'heads': fuzzreaders.check_heads,
            'chunks': fuzzreaders.check_chunks,
            'exchange': fuzzreaders.make_exchange_case(peer),
            'client': fuzzreaders.make_client_case(peer),
            'control': fuzzreaders.make_control_case(peer),
            'kept exchange': fuzzreaders.make_kept_exchange_case(kept),
            'kept client': fuzzreaders.make_kept_client_case(kept),
            'kept control': fuzzreaders.make_kept_control_case(kept),
            'store': fuzzreaders.make_store_case(peer),
            'documents': fuzzreaders.check_documents,
            'views': fuzzreaders.check_views,
            'entry messages': fuzzreaders.check_entry_messages,
            'listener': fuzzreaders.make_listener_case(listener)
        }


def run(reader: str, case: fuzzreaders.Case, seed: int,
        numbers: Iterable[int]) -> Findings:
    """Runs the cases of a reader that have some numbers."""
    found = Findings()
    for number in numbers:
        found.cases += 1
        try:
            case(random.Random(f'{seed}/{reader}/{number}'))
        except Exception as error:  # pylint: disable=broad-exception-caught
            kind = _describe(error)
            found.failures.setdefault(kind, []).append(number)
            found.examples.setdefault(kind, str(error))
    return found


def _count_until(first: int, until: float) -> Iterator[int]:
    """Yields numbers until a time, s; at least one."""
    yield first
    for number in itertools.count(first + 1):
        if time.monotonic() >= until:
            return
        yield number


def _describe(error: Exception) -> str:
    """Returns an error's type, and where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    path = '/'.join(frame.filename.split('/')[-2:])
    return f'{type(error).__name__} in {path}:{frame.lineno}'


def format_findings(reader: str, seed: int, found: Findings) -> str:
    """Returns what was found, with the numbers of the first cases."""
    failed = sum(map(len, found.failures.values()))
    lines = [f'{reader}: seed {seed}, {found.cases} cases, {failed} failed']
    for kind, numbers in found.failures.items():
        example = found.examples[kind][:_MOST_EXCERPT_CHARACTERS]
        lines.append(
            f'  {kind}: {len(numbers)} cases, {numbers[:5]}: {example}')
    return '\n'.join(lines)


def _main(unused_argv) -> None:
    failed = False
    with open_readers() as readers:
        names = [_READER.value] if _READER.value else list(readers)
        for name in names:
            until = time.monotonic() + _SECONDS.value / len(names)
            found = run(name, readers[name], _SEED.value,
                        _count_until(_FIRST.value, until))
            print(format_findings(name, _SEED.value, found), flush=True)
            failed |= bool(found.failures)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app.run(_main)
