"""Tests of the peer protocol over real loopback sockets."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from concurrent import futures
import socket
import ssl
import threading
import unittest

import trustme

from lentilmoor import clocks
from lentilmoor import links
from lentilmoor import outcomes
from lentilmoor import peers
from lentilmoor.protocol import peer_pb2

LONG_MS = 10_000.0
REQUEST = peer_pb2.LeaseRequest(shard='a/b/0', epoch=3)


def make_handlers(**changes) -> peers.Handlers:
    handlers = {
        'exchange': lambda request: peer_pb2.ExchangeMessage(),
        'fetch': lambda request: peer_pb2.FetchReply(),
        'lease': lambda request: peer_pb2.LeaseReply(epoch=request.epoch),
        'claim': lambda request: peer_pb2.ClaimReply(),
        'settle': lambda request: peer_pb2.SettleReply(),
    }
    return peers.Handlers(**{**handlers, **changes})


def make_settings(**changes) -> peers.PeerSettings:
    values = {'address': '127.0.0.1:0', 'secret': b'secret'}
    return peers.PeerSettings(**{**values, **changes})


def split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host, int(port)


class PeersTestCase(unittest.TestCase):

    def start(self, handlers=None, clock=None, **changes):
        running = peers.start_peers(make_settings(**changes), handlers or
                                    make_handlers(), clock or clocks.Clock())
        self.addCleanup(running.stop, 0.0)
        return running

    def assert_failed(self, outcome, reason):
        self.assertIsInstance(outcome, outcomes.Failed)
        self.assertEqual(outcome.reason, reason)


class CallTest(PeersTestCase):

    def test_every_call_is_answered(self):
        one, two = self.start(), self.start()
        calls = [
            one.call_exchange(two.address, peer_pb2.ExchangeMessage(), LONG_MS),
            one.call_fetch(two.address, peer_pb2.FetchRequest(), LONG_MS),
            one.call_lease(two.address, REQUEST, LONG_MS),
            one.call_claim(two.address, peer_pb2.ClaimRequest(), LONG_MS),
            one.call_settle(two.address, peer_pb2.SettleRequest(), LONG_MS),
        ]
        replies = [type(call.result()) for call in calls]
        self.assertEqual(replies, [
            peer_pb2.ExchangeMessage, peer_pb2.FetchReply, peer_pb2.LeaseReply,
            peer_pb2.ClaimReply, peer_pb2.SettleReply
        ])
        self.assertEqual(one.called.connections, 1)
        self.assertGreater(one.heard_at(two.address), 0)

    def test_a_handler_may_answer_from_another_thread(self):
        answer = futures.Future()
        two = self.start(make_handlers(lease=lambda request: answer))
        call = self.start().call_lease(two.address, REQUEST, LONG_MS)
        answer.set_result(peer_pb2.LeaseReply(epoch=7))
        self.assertEqual(call.result().epoch, 7)

    def test_a_caller_without_the_secret_is_refused(self):
        seen = []
        two = self.start(make_handlers(lease=seen.append))
        stranger = self.start(secret=b'other')
        call = stranger.call_lease(two.address, REQUEST, LONG_MS)
        self.assert_failed(call.result(), outcomes.Reason.NOT_AUTHORIZED)
        self.assertEqual(seen, [])

    def test_unknown_fields_of_a_newer_release_are_ignored(self):
        newer = peer_pb2.LeaseRequest.FromString(REQUEST.SerializeToString() +
                                                 b'\xa2\x06\x03new')
        two = self.start()
        call = self.start().call_lease(two.address, newer, LONG_MS)
        self.assertEqual(call.result().epoch, 3)

    def test_a_refusal_of_the_handler_is_an_outcome(self):
        refusal = outcomes.Failed(outcomes.Reason.SHUTTING_DOWN)
        two = self.start(make_handlers(lease=lambda request: refusal))
        call = self.start().call_lease(two.address, REQUEST, LONG_MS)
        self.assert_failed(call.result(), outcomes.Reason.PEER_UNAVAILABLE)

    def test_nobody_listening_fails_at_once_and_is_held_off(self):
        time = clocks.ManualTime()
        one = self.start(clock=time.clock(),
                         limits=links.LinkLimits(hold_ms=1_000.0))
        for _ in range(4):
            call = one.call_lease('127.0.0.1:9', REQUEST, LONG_MS)
            self.assert_failed(call.result(), outcomes.Reason.PEER_UNAVAILABLE)
        self.assertEqual(one.called.connections, 3)
        self.assertEqual(one.called.held, 1)
        time.advance(1_001.0)
        one.call_lease('127.0.0.1:9', REQUEST, LONG_MS).result()
        self.assertEqual(one.called.connections, 4)

    def test_calls_after_the_end_fail(self):
        one = self.start()
        one.stop(0.0)
        call = one.call_lease('127.0.0.1:9', REQUEST, LONG_MS)
        self.assert_failed(call.result(), outcomes.Reason.SHUTTING_DOWN)

    def test_calls_made_while_it_ends_all_end(self):
        two = self.start()
        for _ in range(10):
            one = self.start()
            ending = threading.Thread(target=one.stop, args=(0.0,))
            ending.start()
            calls = [
                one.call_lease(two.address, REQUEST, LONG_MS) for _ in range(50)
            ]
            ending.join()
            ended = futures.wait(calls, timeout=LONG_MS / 1_000)
            self.assertEqual(len(ended.done), 50)

    def test_an_address_in_use_is_an_error(self):
        with self.assertRaises(OSError):
            peers.start_peers(make_settings(address=self.start().address),
                              make_handlers(), clocks.Clock())

    def test_stop_lets_running_calls_end(self):
        answer, started = futures.Future(), threading.Event()

        def lease(_):
            started.set()
            return answer

        two = self.start(make_handlers(lease=lease))
        call = self.start().call_lease(two.address, REQUEST, LONG_MS)
        started.wait()
        ending = threading.Thread(target=two.stop, args=(LONG_MS,))
        ending.start()
        answer.set_result(peer_pb2.LeaseReply(epoch=7))
        ending.join()
        self.assertEqual(call.result().epoch, 7)


class SilentTest(PeersTestCase):
    """A connection that swallows everything, while new ones work."""

    def start_silent(self) -> str:
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        return f'127.0.0.1:{listener.getsockname()[1]}'

    def test_a_call_ends_at_its_deadline(self):
        one = self.start()
        call = one.call_lease(self.start_silent(), REQUEST, 50.0)
        self.assert_failed(call.result(), outcomes.Reason.TIMED_OUT)
        self.assertEqual(one.called.timed_out, 1)

    def test_a_channel_that_timed_out_is_not_used_again(self):
        replies = iter([futures.Future(), peer_pb2.LeaseReply(epoch=7)])
        two = self.start(make_handlers(lease=lambda request: next(replies)))
        one = self.start()
        call = one.call_lease(two.address, REQUEST, 50.0)
        self.assert_failed(call.result(), outcomes.Reason.TIMED_OUT)
        again = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assertEqual(again.result().epoch, 7)
        self.assertEqual(one.called.connections, 2)

    def test_a_link_from_a_silent_peer_is_closed(self):
        two = self.start(silent_ms=20.0, check_ms=10.0)
        stranger = socket.create_connection(split(two.address))
        self.addCleanup(stranger.close)
        while stranger.recv(4_096):
            pass  # Its greeting, then the end.
        self.assertEqual(two.served.closed, 1)

    def test_an_idle_link_is_closed_and_opened_again(self):
        one = self.start(limits=links.LinkLimits(idle_ms=0.0), check_ms=10.0)
        two = self.start()
        one.call_lease(two.address, REQUEST, LONG_MS).result()
        while one.heard_at(two.address):
            pass  # Until it is forgotten.
        call = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assertEqual(call.result().epoch, 3)
        self.assertEqual(one.called.connections, 2)


class TlsTest(PeersTestCase):

    def setUp(self):
        authority = trustme.CA()
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert('127.0.0.1').configure_cert(self.server)
        authority.configure_trust(self.server)
        self.server.verify_mode = ssl.CERT_REQUIRED
        self.client = ssl.create_default_context()
        authority.configure_trust(self.client)
        for context in (self.server, self.client):
            context.set_alpn_protocols(['h2'])
        self.authority = authority

    def test_peers_with_certificates_talk(self):
        self.authority.issue_cert('127.0.0.1').configure_cert(self.client)
        two = self.start(server_tls=self.server)
        one = self.start(client_tls=self.client)
        call = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assertEqual(call.result().epoch, 3)

    def test_a_peer_without_a_certificate_is_refused(self):
        two = self.start(server_tls=self.server)
        one = self.start(client_tls=self.client)
        call = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assert_failed(call.result(), outcomes.Reason.PEER_UNAVAILABLE)
        self.assertEqual(two.served.served, 0)

    def test_a_peer_without_tls_is_refused(self):
        two = self.start(server_tls=self.server)
        call = self.start().call_lease(two.address, REQUEST, LONG_MS)
        self.assert_failed(call.result(), outcomes.Reason.PEER_UNAVAILABLE)


class BoundTest(PeersTestCase):

    def test_calls_to_one_peer_are_bounded_and_others_go_on(self):
        answer, started = futures.Future(), threading.Event()

        def lease(_):
            started.set()
            return answer

        stuck = self.start(make_handlers(lease=lease))
        two = self.start()
        one = self.start(limits=links.LinkLimits(in_flight=1, queue=1))
        first = one.call_lease(stuck.address, REQUEST, LONG_MS)
        started.wait()
        second = one.call_lease(stuck.address, REQUEST, LONG_MS)
        third = one.call_lease(stuck.address, REQUEST, LONG_MS)
        self.assert_failed(third.result(), outcomes.Reason.OVERLOADED)
        other = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assertEqual(other.result().epoch, 3)
        answer.set_result(peer_pb2.LeaseReply(epoch=7))
        self.assertEqual(first.result().epoch, 7)
        self.assertEqual(second.result().epoch, 7)

    def test_calls_served_at_once_are_bounded(self):
        answer, started = futures.Future(), threading.Event()

        def lease(_):
            started.set()
            return answer

        two = self.start(make_handlers(lease=lease), serving=1)
        one = self.start()
        first = one.call_lease(two.address, REQUEST, LONG_MS)
        started.wait()
        second = one.call_lease(two.address, REQUEST, LONG_MS)
        self.assert_failed(second.result(), outcomes.Reason.OVERLOADED)
        answer.set_result(peer_pb2.LeaseReply(epoch=7))
        self.assertEqual(first.result().epoch, 7)

    def test_only_so_many_peers_keep_a_channel(self):
        one = self.start(limits=links.LinkLimits(links=2))
        others = [self.start() for _ in range(3)]
        for other in others:
            one.call_lease(other.address, REQUEST, LONG_MS).result()
        kept = [one.heard_at(other.address) > 0 for other in others]
        self.assertEqual(kept, [False, True, True])


if __name__ == '__main__':
    unittest.main()
