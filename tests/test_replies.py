"""Tests of the actor's replies."""

from concurrent import futures
import unittest

from lentilmoor import replies


class GiveTest(unittest.TestCase):

    def test_a_result_is_given(self):
        reply = futures.Future()
        replies.give(reply, 7)
        self.assertEqual(reply.result(0), 7)

    def test_who_gave_up_does_no_harm(self):
        reply = futures.Future()
        reply.cancel()
        replies.give(reply, 7)
        self.assertTrue(reply.cancelled())
