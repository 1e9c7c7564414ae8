"""Sampling, parents and exporters of traces, and lines of the state log."""

import io
import json
import os
import random
import tempfile
import unittest

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import models
from lentilmoor import traces

_PARENT = '00-' + 'ab' * 16 + '-' + 'cd' * 8 + '-01'


def _make(rate, stream, exporter='console', path=''):
    settings = models.TraceSettings(exporter=exporter,
                                    path=path,
                                    sample_rate=rate)
    return traces.make_tracer(settings, 'entry-1',
                              clocks.ManualTime().clock(), random.Random(1),
                              stream)


def _spans(text):
    return {item['name']: item for item in map(json.loads, text.splitlines())}


class TracesTest(unittest.TestCase):

    def setUp(self):
        self.stream = io.StringIO()

    def test_a_span_for_each_hop_with_its_parent(self):
        tracer = _make(1.0, self.stream)
        with tracer.begin('entry', _PARENT) as entry:
            with entry.child('try') as hop:
                hop.note('server.id', 's-1')
                peer = tracer.join('relay', hop.traceparent)
                peer.end()
                peer.end()
        tracer.close()
        spans = _spans(self.stream.getvalue())
        self.assertEqual(spans['entry']['parent_id'], '0x' + 'cd' * 8)
        self.assertEqual(spans['try']['parent_id'],
                         spans['entry']['context']['span_id'])
        self.assertEqual(spans['relay']['parent_id'],
                         spans['try']['context']['span_id'])
        self.assertEqual(spans['try']['attributes'], {'server.id': 's-1'})
        for span in spans.values():
            self.assertEqual(span['context']['trace_id'], '0x' + 'ab' * 16)

    def test_unsampled_makes_no_span(self):
        tracer = _make(0.0, self.stream)
        for header in ('', _PARENT[:-1] + '0', 'nonsense'):
            self.assertIs(tracer.begin('entry', header), traces.NO_SPAN)
            self.assertIs(tracer.join('relay', header), traces.NO_SPAN)
        with tracer.begin('entry', '') as span:
            self.assertIs(span.child('try'), span)
            self.assertEqual(span.traceparent, '')
        tracer.close()
        self.assertEqual(self.stream.getvalue(), '')

    def test_malformed_header_begins_a_new_trace(self):
        tracer = _make(1.0, self.stream)
        for header in ('00-zz-01', '00-' + '0' * 32 + '-' + 'cd' * 8 + '-01'):
            span = tracer.begin('entry', header)
            self.assertRegex(span.traceparent, '00-[0-9a-f]{32}-.{16}-01')
            self.assertNotIn('cd' * 8, span.traceparent)
            self.assertIs(tracer.join('relay', header), traces.NO_SPAN)
        tracer.close()

    def test_callers_cannot_force_traces_without_bound(self):
        tracer = _make(0.0, self.stream)
        spans = [tracer.begin('entry', _PARENT) for _ in range(1_000)]
        forced = [span for span in spans if span is not traces.NO_SPAN]
        self.assertEqual(len(forced), traces.MAX_FORCED_PER_S)
        self.assertIsNot(tracer.join('relay', _PARENT), traces.NO_SPAN)
        tracer.close()

    def test_rate(self):
        tracer = _make(0.1, self.stream)
        sampled = sum(
            tracer.begin('entry', '') is not traces.NO_SPAN
            for _ in range(2_000))
        self.assertAlmostEqual(sampled, 200, delta=60)
        tracer.close()

    def test_file_exporter_and_none(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'spans.jsonl')
            tracer = _make(1.0, None, 'file', path)
            tracer.start('renew').end()
            tracer.close()
            with open(path, encoding='utf-8') as file:
                self.assertIn('renew', _spans(file.read()))
        none = _make(1.0, None, 'none')
        self.assertIs(none.begin('entry', _PARENT), traces.NO_SPAN)
        none.close()


class StateLogTest(unittest.TestCase):

    def test_a_line_only_for_a_change(self):
        stream = io.StringIO()
        note = logs.make_change_logger(logs.make_logger('entry-1', stream))
        self.assertTrue(note('liveness', 's-1', 'live'))
        self.assertFalse(note('liveness', 's-1', 'live'))
        self.assertTrue(note('liveness', 's-2', 'live'))
        self.assertTrue(note('liveness', 's-1', 'dead', evidence=3))
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(len(lines), 3)
        self.assertEqual(lines[2]['before'], 'live')
        self.assertEqual(lines[2]['state'], 'dead')
        self.assertEqual(lines[2]['evidence'], 3)
        self.assertEqual(lines[2]['instance'], 'entry-1')
