"""An entry process that counts what it sends, for `slopes_fleet`.

Runs `lentilmoor entry` unchanged but for counters around its sockets, its peer
calls and, if asked for, a profiler on the control actor. On SIGUSR1 it writes
what it has counted to the file that `SLOPES_FILE` names.
"""

import collections
import contextlib
import cProfile
import json
import marshal
import os
import pathlib
import pstats
import resource
import signal
import socket
import sys
import threading
import time

from lentilmoor import commands
from lentilmoor import control
from lentilmoor import peers

PROFILED_LINES = 40
_NS_PER_S = 1e9
_TASKS = '/proc/self/task'

_Counter = collections.Counter


def count_sockets(counter: _Counter) -> None:
    """Adds bytes sent and received by this process's sockets to a counter."""

    def wrap(name: str, direction: str, by_result: bool) -> None:
        plain = getattr(socket.socket, name)

        def call(self, *arguments):
            result = plain(self, *arguments)
            if result is None:
                counter[direction] += len(arguments[0])
            elif by_result:
                counter[direction] += result
            else:
                counter[direction] += len(result)
            counter[f'{direction}_calls'] += 1
            return result

        setattr(socket.socket, name, call)

    wrap('send', 'sent', True)
    wrap('sendall', 'sent', True)
    wrap('recv', 'received', False)
    wrap('recv_into', 'received', True)


def count_peer_calls(counter: _Counter) -> None:
    """Adds calls of the peer protocol and their bytes, by kind."""
    plain = peers._make_call  # pylint: disable=protected-access

    def make_call(inbox, kind):
        call = plain(inbox, kind)

        def counted(address, message, timeout_ms):
            counter[f'call_{kind}'] += 1
            counter[f'bytes_{kind}'] += message.ByteSize()
            return call(address, message, timeout_ms)

        return counted

    peers._make_call = make_call  # pylint: disable=protected-access


def profile_actor() -> cProfile.Profile:
    """Has the control actor profile itself from its first message on."""
    profile = cProfile.Profile(time.thread_time)
    plain = control.Control.on_receive

    def on_receive(self, message):
        profile.enable()
        try:
            return plain(self, message)
        finally:
            profile.disable()

    control.Control.on_receive = on_receive
    return profile


def write_profile(profile: cProfile.Profile, path: pathlib.Path) -> None:
    """Writes a profile as text, without stopping it."""
    profile.snapshot_stats()
    raw = path.with_suffix('.stats')
    raw.write_bytes(marshal.dumps(profile.stats))
    with open(path, 'w', encoding='utf-8') as file:
        stats = pstats.Stats(str(raw), stream=file)
        stats.sort_stats('tottime').print_stats(PROFILED_LINES)
        stats.sort_stats('cumulative').print_stats(PROFILED_LINES)


def read_threads() -> dict[str, float]:
    """Returns the processor time of this process's threads, s, by name."""
    spent: _Counter = _Counter()
    for thread in threading.enumerate():
        path = pathlib.Path(_TASKS, str(thread.native_id), 'schedstat')
        name = thread.name.rstrip('0123456789-_')
        # A thread may end meanwhile.
        with contextlib.suppress(FileNotFoundError):
            spent[name] += int(path.read_text('ascii').split()[0]) / _NS_PER_S
    return dict(spent)


def main() -> None:
    """Runs the entry; arguments are those of `lentilmoor`."""
    counter: _Counter = _Counter()
    path = pathlib.Path(os.environ['SLOPES_FILE'])
    if os.environ.get('SLOPES_SOCKETS'):
        count_sockets(counter)
        count_peer_calls(counter)
    profile = None
    if os.environ.get('SLOPES_PROFILE'):
        profile = profile_actor()

    def write(*_) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        found = {
            'at': time.monotonic(),
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'user_s': usage.ru_utime,
            'switches': usage.ru_nvcsw,
            'threads': read_threads(),
            'counts': dict(counter),
        }
        partial = path.with_suffix('.partial')
        partial.write_text(json.dumps(found), encoding='utf-8')
        partial.rename(path)
        if profile is not None:
            write_profile(profile, path.with_suffix('.profile'))

    signal.signal(signal.SIGUSR1, write)
    commands.run()


if __name__ == '__main__':
    sys.exit(main())
