"""A backend server: enforces grants, runs requests, and can send extra answers.

It follows the users' pages: it runs a request only if it is the instance that
the request names and, for a sharded service, only while it holds the key.
"""

import json
import random
import socket
import threading
import time
import uuid

_BACKLOG = 128
# Share of a faulty server's answers to releases that it sends twice.
RELEASE_SHARE = 0.5


class Upstream:
    """One backend server, reached at `address`.

    Attributes:
      doubles_rejections: Whether it sends each answer with status 421 a second
        time, at the point where the next answer on that connection is expected.
      doubles_releases: Whether it sends half of its answers to releases twice,
        one copy right after the other.
      work_s: Time that one request takes.
    """

    def __init__(self, store, service, name, sharded, record, zone='zone-a',
                 slots=2, work_s=0.01):
        self.store, self.service, self.name = store, service, name
        self.sharded, self.record, self.zone = sharded, record, zone
        self.slots_count, self.work_s = slots, work_s
        self.doubles_rejections = False
        self.doubles_releases = False
        self.random = random.Random(name)
        self.answer_count = self.doubled_count = 0
        self.lock = threading.Lock()
        self.port = 0
        self.address = ''
        self.held = []
        self.seen = []
        self.start()

    def start(self):
        """Starts a process: a new listener that holds and knows nothing."""
        self.slots = threading.Semaphore(self.slots_count)
        self.running = 0
        self.waiting = 0
        self.born = int(time.time() * 1000)
        self.held, self.seen, self.works = [], [], []
        self.open = set()
        self.up = True
        self.seq = 0
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', self.port))
        listener.listen(_BACKLOG)
        self.listener = listener
        self.port = listener.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        generation = self.born
        threading.Thread(target=self._accept, args=(listener, generation),
                         daemon=True).start()
        threading.Thread(target=self._beat, args=(generation,),
                         daemon=True).start()

    def crash(self):
        """Ends as a crash does: connections are reset, nothing is written."""
        with self.lock:
            self.up = False
            self.held = []
            connections = list(self.open)
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b'\1\0\0\0\0\0\0\0')
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _beat(self, generation):
        while self.up and self.born == generation:
            self.seq += 1
            self.store.put(f'servers/{self.name}', {
                'Service': self.service,
                'Addr': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots_count,
                'State': 'ready',
                'WarmupLeftMs': 0,
                'Seq': self.seq,
                'born': self.born
            })
            time.sleep(0.87)

    def _accept(self, listener, generation):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if not self.up or self.born != generation:
                    connection.close()
                    return
                self.open.add(connection)
            threading.Thread(target=self._serve,
                             args=(connection, generation),
                             daemon=True).start()

    def _serve(self, connection, generation):
        reader = connection.makefile('rb')
        extra = b''
        try:
            while True:
                request = read_message(reader)
                if request is None:
                    return
                if extra:
                    # The next answer on this connection is expected now.
                    connection.sendall(extra)
                    self.record.note('extra_sent', server=self.name)
                answer, is_doubled = self._answer(request, generation)
                if answer is None:
                    return
                self.answer_count += 1
                is_release = request[0].startswith('POST /-/release ')
                if (is_release and self.doubles_releases and
                        self.random.random() < RELEASE_SHARE):
                    self.doubled_count += 1
                    answer += answer
                    self.record.note('doubled', server=self.name)
                self.doubled_count += is_doubled
                extra = answer if is_doubled else b''
                connection.sendall(answer)
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.open.discard(connection)
            connection.close()

    def _answer(self, request, generation):
        """Returns the answer, and whether it is sent a second time."""
        line, headers, body = request
        method, target, _ = line.split(' ', 2)
        if target == '/-/grant':
            status = self._grant(json.loads(body), generation)
            return make_answer(status, {}, b''), False
        if target == '/-/release':
            token = self._release(json.loads(body), generation)
            return make_answer(200, {'Lentilmoor-Handover': token}, b''), False
        if target == '/healthz':
            return make_answer(200, {'Lentilmoor-Instance-Id': self.name},
                               b''), False
        answer = self._request(method, target, headers, body, generation)
        rejected = answer is not None and answer.startswith(b'HTTP/1.1 421')
        return answer, rejected and self.doubles_rejections

    def _holds(self, key):
        now = time.monotonic()
        return any(first <= key <= last and until > now
                   for first, last, _, until in self.held)

    def _request(self, method, target, headers, body, generation):
        attempt = headers.get('lentilmoor-attempt-id', '')
        self.record.note('arrived', server=self.name, id=attempt)
        not_run = {'Lentilmoor-Not-Executed': '1',
                   'Lentilmoor-Attempt-Id': attempt}
        key = int(headers.get('lentilmoor-shard-key', -1))
        if headers.get('lentilmoor-expect-instance', self.name) != self.name:
            return make_answer(421, not_run, b'')
        with self.lock:
            held = not self.sharded or self._holds(key)
            if held:
                if self.running + self.waiting >= self.slots_count + 8:
                    return make_answer(503, not_run, b'')
                self.waiting += 1
        if not held:
            self.record.note('rejected', server=self.name, id=attempt)
            return make_answer(421, not_run, b'')
        with self.slots:
            with self.lock:
                self.waiting -= 1
                if not self.up or self.born != generation:
                    return None
                if self.sharded and not self._holds(key):
                    return make_answer(421, not_run, b'')
                self.running += 1
                self.works.append(key)
            self.record.note('run', server=self.name, id=attempt, key=key,
                             method=method, target=target, bytes=len(body))
            time.sleep(self.work_s)
            self.record.note('ended', server=self.name, id=attempt, key=key)
            with self.lock:
                self.running -= 1
                if self.born == generation:
                    self.works.remove(key)
                if not self.up or self.born != generation:
                    return None
        text = f'{self.name} {attempt}'.encode()
        return make_answer(200, {
            'Lentilmoor-Attempt-Id': attempt,
            'Lentilmoor-Upstream-Seal': f'seal.{attempt}',
            'Lentilmoor-Upstream-Load':
                f'{self.running},{self.waiting},{self.slots_count}'
        }, text)

    def _grant(self, fields, generation):
        arrived = time.monotonic()
        first, last, fence = fields['From'], fields['To'], fields['fence']
        with self.lock:
            if not self.up or self.born != generation:
                raise OSError('crashed')
            if any(f <= last and t >= first and known > fence
                   for f, t, known in self.seen):
                return 409
            self.seen = [row for row in self.seen
                         if not (first <= row[0] and row[1] <= last)]
            self.seen.append((first, last, fence))
            self._cut(first, last)
            self.held.append((first, last, fence,
                              arrived + fields['HoldMs'] / 1000.0))
        self.record.note('grant', server=self.name, first=first, last=last,
                         fence=fence, hold=fields['HoldMs'],
                         token=fields.get('Handover', ''))
        return 200

    def _release(self, fields, generation):
        """Stops new work on keys, and waits until their running work ends."""
        first, last = fields['From'], fields['To']
        self.record.note('release', server=self.name, first=first, last=last)
        with self.lock:
            self._cut(first, last)
        while True:
            with self.lock:
                if not self.up or self.born != generation:
                    raise OSError('crashed')
                if not any(first <= key <= last for key in self.works):
                    break
            time.sleep(0.002)
        token = uuid.uuid4().hex[:16]
        self.record.note('released', server=self.name, first=first, last=last,
                         token=token)
        return token

    def _cut(self, first, last):
        kept = []
        for f, t, fence, until in self.held:
            if t < first or f > last:
                kept.append((f, t, fence, until))
                continue
            if f < first:
                kept.append((f, first - 1, fence, until))
            if t > last:
                kept.append((last + 1, t, fence, until))
        self.held = kept


def read_message(reader):
    """Returns start line, headers by lower-case name, and body; None at EOF."""
    line = reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = reader.readline()
        if not row:
            return None
        if row in (b'\r\n', b'\n'):
            break
        name, _, value = row.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = reader.read(length) if length else b''
    if len(body) != length:
        return None
    return line.decode('latin-1').strip(), headers, body


def make_answer(status, headers, body):
    """Returns the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} {"OK" if status == 200 else "Status"}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
