"""The platform's key-value service and instance list, as a small program.

Run it as `python -m standins.store --port 0 --port_file F`. It keeps all in
memory. See docs/ADAPTERS.md for its calls.
"""

import base64
import dataclasses
import json
import time
from typing import Any

from absl import app
from absl import flags

from lentilmoor import clocks
from lentilmoor import stores
from standins import serving
from standins import store_state

_THREADS = flags.DEFINE_integer('threads', 96, 'Calls handled at once.')

_KV = '/v1/kv/'
_LEASES = '/v1/leases'
_INSTANCES = '/v1/instances/'
_STATUS = {
    store_state.Status.DONE: 200,
    store_state.Status.ABSENT: 404,
    store_state.Status.CONFLICT: 412,
    store_state.Status.TOO_LARGE: 413,
    store_state.Status.NO_LEASE: 409,
}
_GARBAGE = serving.Reply(200, (('ETag', '"?"'),), b'{"records": 7')
_OUTAGE = serving.Reply(503)
_NOT_FOUND = serving.Reply(404)
_BAD_REQUEST = serving.Reply(400)


def make_handler(state: store_state.StoreState):
    """Returns the function that answers calls to a state."""

    def handle(call: serving.Call) -> serving.Reply:
        if call.path == '/v1/control':
            return _control(state, call)
        if call.path == '/v1/calls':
            return serving.reply_json(dict(state.calls))
        state.count(_kind(call))
        time.sleep(state.switches.delay_ms / clocks.MS_PER_S)
        if state.switches.outage:
            return _OUTAGE
        if state.switches.garbage:
            return _GARBAGE
        try:
            return _answer(state, call)
        except (ValueError, KeyError, TypeError):
            return _BAD_REQUEST

    return handle


def _kind(call: serving.Call) -> str:
    if call.path.startswith(_KV):
        return 'read' if call.method == 'GET' else 'write'
    first = call.path.split('/')[2] if call.path.count('/') > 1 else 'other'
    return {'kv': 'list'}.get(first, first)


def _answer(state: store_state.StoreState, call: serving.Call):
    if call.path.startswith(_KV):
        return _key(state, call, call.path[len(_KV):])
    if call.path.startswith(_LEASES):
        return _lease(state, call)
    if call.path.startswith(_INSTANCES):
        return _instance(state, call, call.path[len(_INSTANCES):])
    answer = _COLLECTIONS.get(call.path)
    return answer(state, call) if answer else _NOT_FOUND


def _list(state: store_state.StoreState, call: serving.Call):
    revision, entries = state.list_entries(call.query.get('prefix', ''))
    return serving.reply_json({
        'revision': revision,
        'records': [_format(entry) for entry in entries]
    })


def _list_instances(state: store_state.StoreState, _: serving.Call):
    listed = [stores.format_instance(item) for item in state.instances()]
    return serving.reply_json({'instances': listed})


def _key(state: store_state.StoreState, call: serving.Call, key: str):
    if call.method == 'GET':
        entry = state.get(key)
        return _show(entry) if entry else _NOT_FOUND
    expected = _expected(call)
    if call.method == 'DELETE':
        written = state.take_write(lambda: state.delete(key, expected))
    elif call.method == 'PUT':
        value = call.body()
        lease = int(call.query.get('lease', '0'))
        written = state.take_write(
            lambda: state.put(key, value, expected, lease))
    else:
        return _BAD_REQUEST
    if written is None:
        return serving.DROPPED
    status = _STATUS[written.status]
    if written.entry is None:
        return serving.Reply(status)
    body = written.entry.value if status == 412 else b''
    return _show(dataclasses.replace(written.entry, value=body), status)


def _expected(call: serving.Call) -> int | None:
    if call.header('If-None-Match') == '*':
        return 0
    tag = call.header('If-Match')
    return int(tag.strip('"')) if tag else None


def _show(entry: store_state.Entry, status: int = 200) -> serving.Reply:
    headers = (('ETag', f'"{entry.version}"'), ('Content-Type',
                                                'application/octet-stream'))
    return serving.Reply(status, headers, entry.value)


def _format(item: store_state.Entry | stores.Record) -> dict[str, Any]:
    return {
        'key': item.key,
        'version': item.version,
        'value': base64.b64encode(item.value).decode()
    }


def _watch(state: store_state.StoreState, call: serving.Call):
    changes = state.wait_changes(call.query.get('prefix', ''),
                                 int(call.query.get('after', '0')),
                                 float(call.query.get('wait_ms', '0')))
    return serving.reply_json({
        'revision': changes.revision,
        'records': [_format(record) for record in changes.records],
        'deleted': changes.deleted,
        'snapshot': changes.snapshot
    })


def _lease(state: store_state.StoreState, call: serving.Call):
    if call.path == _LEASES:
        lease = state.grant_lease(float(call.query['ttl_ms']))
    else:
        lease = state.keep_alive(int(call.path[len(_LEASES) + 1:]))
    if lease is None:
        return _NOT_FOUND
    return serving.reply_json({'id': lease.id, 'ttl_ms': lease.ttl_ms})


def _instance(state: store_state.StoreState, call: serving.Call, name: str):
    if call.method == 'DELETE':
        state.unregister(name)
    else:
        item = json.loads(call.body()) | {'id': name}
        state.register(stores.parse_instance(item))
    return serving.Reply()


def _control(state: store_state.StoreState, call: serving.Call):
    """Sets switches by name; `deliver_parked` lets parked writes arrive."""
    wanted = call.json()
    if not isinstance(wanted, dict):
        return _BAD_REQUEST
    if wanted.pop('deliver_parked', False):
        state.deliver_parked()
    names = {field.name for field in dataclasses.fields(state.switches)}
    if not names.issuperset(wanted):
        return _BAD_REQUEST
    for name, value in wanted.items():
        setattr(state.switches, name, value)
    return serving.reply_json(dataclasses.asdict(state.switches))


_COLLECTIONS = {
    '/v1/kv': _list,
    '/v1/watch': _watch,
    '/v1/instances': _list_instances,
}


def _main(_) -> None:
    state = store_state.StoreState(clocks.Clock())
    server = serving.make_server(make_handler(state), serving.PORT.value,
                                 _THREADS.value)
    serving.serve(server)


if __name__ == '__main__':
    app.run(_main)
