"""A deployment on loopback under mixed traffic, with a loss and a restart.

`make demo` runs it and prints a table; the exit code is 1 if a key had two
owners at once or an order was run twice. `make run` leaves it running.
"""

import collections
import dataclasses
import pathlib
import shutil
import signal
import sys
import tempfile
import time

from absl import app
from absl import flags
from hdrh import histogram

from standins import audits
from standins import fleet as fleets
from standins import traffic

_SECONDS = flags.DEFINE_float('seconds', 12.0, 'How long traffic is sent.')
_CALLERS = flags.DEFINE_integer('callers', 12, 'Callers at once.')
_PAUSE_MS = flags.DEFINE_float('pause_ms', 15.0, 'Pause of a caller.')
_ENTRIES = flags.DEFINE_integer('entries', 3, 'Entries.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the traffic.')
_FOLDER = flags.DEFINE_string('folder', '',
                              'New folder in which logs are kept.')
_KEEP_RUNNING = flags.DEFINE_boolean('keep_running', False,
                                     'Leave everything running, for curl.')

TEAM = 'hsinchu'
KEYED_SERVERS = ('c1', 'c2', 'c3', 'c4', 'c5')
ORDER_SERVERS = ('o1', 'o2', 'o3')
VICTIM = 'c2'

_SERVICE_MS = '4'
_WARM_S = 2.0
_KILL_AT = 0.3
_RESTART_AT = 0.6
_SETTLED_AT = 0.6
_HIGHEST_US = 60_000_000


@dataclasses.dataclass(slots=True)
class Story:
    """What happened when; times of the monotonic clock, ms."""

    began_ms: float = 0.0
    killed_ms: float = 0.0
    restarted_ms: float = 0.0
    ended_ms: float = 0.0
    exit_code: int = -1


def start_fleet(folder: pathlib.Path, entries: int) -> fleets.Fleet:
    """Starts a deployment and returns it when every entry answers."""
    fleet = fleets.Fleet(folder)
    fleets.start_store(fleet)
    for name in (*KEYED_SERVERS, *ORDER_SERVERS):
        fleets.start_server(fleet, name, '--service_ms', _SERVICE_MS)
    for number in range(1, entries + 1):
        fleets.start_entry(fleet, f'entry-{number}')
    token = fleets.make_token(fleet, TEAM)
    (folder / 'token').write_text(token, encoding='utf-8')
    fleets.put_branch(fleet, token, make_branch(fleet))
    fleets.await_ready(fleet, f'/{TEAM}/catalogue/lots',
                       {'Lentilmoor-Key': 'lot-1'})
    fleets.await_ready(fleet, f'/{TEAM}/orders/list', {})
    return fleet


def make_branch(fleet: fleets.Fleet) -> dict[str, object]:
    """Returns the settings of the demo's team."""

    def list_servers(names: tuple[str, ...]) -> list[dict[str, object]]:
        return [{
            'id': name,
            'address': fleet.addresses[name],
            'failure_domain': f'domain-{index % 3 + 1}'
        } for index, name in enumerate(names)]

    return {
        'team': TEAM,
        'weights': {
            'unavailable': 4.0
        },
        'services': {
            'catalogue': {
                'keyed': True,
                'servers': list_servers(KEYED_SERVERS)
            },
            'orders': {
                'keyed': False,
                'servers': list_servers(ORDER_SERVERS)
            },
        },
    }


def run_story(fleet: fleets.Fleet, callers: traffic.Traffic,
              seconds: float) -> Story:
    """Sends traffic; kills a server and restarts an entry on the way."""
    story = Story(began_ms=time.monotonic() * 1e3)
    callers.start()
    _wait_until(story, seconds * _KILL_AT)
    story.killed_ms = time.monotonic() * 1e3
    fleets.kill(fleet.servers[VICTIM])
    _wait_until(story, seconds * _RESTART_AT)
    story.restarted_ms = time.monotonic() * 1e3
    leaving = fleet.entries.pop('entry-2')
    story.exit_code = fleets.stop_gracefully(leaving)
    fleets.start_entry(fleet, 'entry-2')
    _wait_until(story, seconds)
    callers.stop()
    story.ended_ms = time.monotonic() * 1e3
    return story


def _wait_until(story: Story, seconds: float) -> None:
    left = story.began_ms / 1e3 + seconds - time.monotonic()
    time.sleep(max(0.0, left))


def find_unavailable(sent: list[traffic.Sent], story: Story) -> float:
    """Returns how long the keys of the lost server were not answered, ms.

    From the kill to the first answer, by another server, to a key that the
    lost one was the last to answer; -1 if there was none.
    """
    last = {
        item.key: item.server
        for item in sorted(sent, key=lambda item: item.ended_ms)
        if item.server and item.ended_ms < story.killed_ms
    }
    lost = {key for key, server in last.items() if server == VICTIM}
    answered = [
        item.ended_ms
        for item in sent
        if item.key in lost and item.server not in (
            '', VICTIM) and item.ended_ms > story.killed_ms
    ]
    return min(answered) - story.killed_ms if answered else -1.0


def find_quantile(times_ms: list[float], percent: float) -> float:
    """Returns a quantile of times, ms."""
    counted = histogram.HdrHistogram(1, _HIGHEST_US, 3)
    for item in times_ms:
        counted.record_value(max(1, int(item * 1e3)))
    return counted.get_value_at_percentile(percent) / 1e3


def print_report(sent: list[traffic.Sent], story: Story,
                 checked: audits.Audit) -> None:
    """Prints what callers saw and what the servers' journals say."""
    outcomes = {
        name: sum(item.outcome == name for item in sent)
        for name in ('answered', 'not-run', 'unknown', 'lost')
    }
    times = [
        item.ended_ms - item.began_ms
        for item in sent
        if item.outcome == 'answered' and item.kind != 'document'
    ]
    reasons = collections.Counter(
        f'{item.outcome}: {item.reason}' for item in sent
        if item.outcome != 'answered')
    seconds = (story.ended_ms - story.began_ms) / 1e3
    rows = [
        ('requests', f'{len(sent)} in {seconds:.1f} s'),
        *((f'  {name}', str(count)) for name, count in outcomes.items()),
        *((f'    {name}', str(count)) for name, count in reasons.items()),
        ('  cut answers taken for whole',
         str(sum(
             not item.whole for item in sent if item.outcome == 'answered'))),
        ('requests run by servers', str(checked.runs)),
        ('two owners at once', str(checked.overlaps)),
        ('orders run twice', str(checked.doubled)),
        (f'keys of {VICTIM} not served after its kill',
         f'{find_unavailable(sent, story):.0f} ms'),
        ('imbalance (peak over mean, last part)', f'{checked.imbalance:.2f}'),
        ('keys that changed their server', f'{checked.moved:.1%}'),
        ('graceful restart, exit code', str(story.exit_code)),
        ('p50', f'{find_quantile(times, 50):.1f} ms'),
        ('p99', f'{find_quantile(times, 99):.1f} ms'),
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f'{name.ljust(width)}  {value}')


def _keep_running(fleet: fleets.Fleet) -> None:
    for entry in fleet.entries.values():
        print(f'{entry.name}: callers http://{entry.callers}, '
              f'administration http://{entry.admin}')
    print(f'token: {fleet.folder / "token"}')
    print(f'try: curl -i -H "Lentilmoor-Key: lot-1" '
          f'http://{fleet.callers[0]}/{TEAM}/catalogue/lots')
    print('Ctrl-C ends it.')
    while True:
        time.sleep(1.0)


def _run(folder: pathlib.Path) -> int:
    fleet = None
    try:
        fleet = start_fleet(folder, _ENTRIES.value)
        if _KEEP_RUNNING.value:
            _keep_running(fleet)
        callers = traffic.Traffic(lambda: fleet.callers, _CALLERS.value,
                                  _PAUSE_MS.value, _SEED.value)
        time.sleep(_WARM_S)
        story = run_story(fleet, callers, _SECONDS.value)
    finally:
        if fleet is not None:
            fleets.stop_all(fleet)
    journals = [
        audits.read_journal(name, fleet.journal(name))
        for name in (*KEYED_SERVERS, *ORDER_SERVERS)
    ]
    since = story.began_ms + _SETTLED_AT * (story.ended_ms - story.began_ms)
    checked = audits.audit(journals, since)
    print_report(callers.sent, story, checked)
    return 1 if checked.overlaps or checked.doubled else 0


def main(argv: list[str]) -> None:
    """Runs the demo in a folder of its own."""
    del argv
    # Whoever ends the demo ends what it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if _FOLDER.value:
        folder = pathlib.Path(_FOLDER.value)
        folder.mkdir(parents=True)
    else:
        folder = pathlib.Path(tempfile.mkdtemp(prefix='lentilmoor-'))
    try:
        sys.exit(_run(folder))
    except KeyboardInterrupt:
        sys.exit(0)
    finally:
        if not _FOLDER.value:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == '__main__':
    app.run(main)
