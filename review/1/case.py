"""Orders for keyed servers, some of which send a rejection a second time."""

import collections
import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

# pylint: disable=wrong-import-position
from review.lib import stage as stages

CLIENTS = 24
PAUSE_S = 0.12
SERVERS = 7
# The servers that send extra answers: 4 of 7, a share of 0.57.
FAULTY = 4
# One spell of the disruption, the rest until the next one, and their number.
SPELL_S = 5.0
REST_S = 0.5
SPELLS = 12
# In each spell two servers crash, one after the other, and start again.
CRASHES = 2
DOWN_S = 0.3
# `TROUBLE=crashes` plays the crashes without the extra answers.
DOUBLES = os.environ.get('TROUBLE', '1') not in ('0', 'crashes')
# A share of the retry allowance is usable after this time.
SETTLE_S = 12.0


def order(stage, number, ends_at):
    """Places orders until the end."""
    generator = random.Random(number)
    requester = stages.Requester(stage, stage.entries[number % 3], 900)
    while time.monotonic() < ends_at:
        requester.send('POST', '/book/order', generator.randrange(65536),
                       b'2 drums')
        time.sleep(PAUSE_S * generator.uniform(0.5, 1.5))
    requester.close()


def trouble(stage):
    """Plays the spells."""
    victim = 0
    for _ in range(SPELLS):
        for server in stage.upstreams[:FAULTY]:
            server.doubles_rejections = DOUBLES
        for _ in range(CRASHES):
            server = stage.upstreams[victim % FAULTY]
            victim += 1
            time.sleep(SPELL_S / CRASHES - DOWN_S)
            if stage.trouble:
                server.crash()
                stage.record.note('crash', server=server.name)
            time.sleep(DOWN_S)
            if stage.trouble:
                server.start()
                stage.record.note('restart', server=server.name)
        for server in stage.upstreams:
            server.doubles_rejections = False
        time.sleep(REST_S)


def main():
    """Plays the case; returns the exit code."""
    stage = stages.Stage(HERE)
    try:
        for _ in range(SERVERS):
            stage.add_upstream('ledger', True, work_s=0.02)
        stage.store.put('op/config', stages.make_manifest(
            1, {'book': stages.make_route('/book/', 'ledger', 'non_idempotent',
                                          1000)}, {'ledger': True}))
        if not stage.start_entries():
            return 2
        time.sleep(SETTLE_S)
        ends_at = time.monotonic() + SPELLS * (SPELL_S + REST_S) + 2.0
        threads = [threading.Thread(target=order, args=(stage, n, ends_at))
                   for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        trouble(stage)
        for thread in threads:
            thread.join()
        return judge(stage)
    finally:
        stage.close()


def judge(stage):
    """Checks the rules TWICE and REFUSED; returns the exit code."""
    runs = collections.Counter(f['id'] for _, f in stage.record.select('run'))
    answers = {f['id']: f['status'] for _, f in stage.record.select('answered')}
    twice = [name for name, count in runs.items() if count > 1]
    refused = [name for name in runs
               if answers.get(name) in (408, 421, 429, 503)]
    doubled = sum(server.doubled_count for server in stage.upstreams)
    made = sum(server.answer_count for server in stage.upstreams[:FAULTY])
    print(f'sent {len(stage.record.select("sent"))}, run {len(runs)}, '
          f'rejected {len(stage.record.select("rejected"))}, '
          f'doubled {doubled} of {made} answers of the faulty servers, '
          f'statuses {dict(collections.Counter(answers.values()))}; '
          f'run twice {len(twice)}, refused and run {len(refused)}')
    for name in twice[:3] + refused[:2]:
        for at, kind, fields in stage.record.rows:
            if fields.get('id') == name:
                print(f'  {at:8.3f} {kind} {fields}')
    return 1 if twice or refused else 0


if __name__ == '__main__':
    stages.run(main)
