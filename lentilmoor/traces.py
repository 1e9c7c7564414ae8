"""Traces: an OpenTelemetry span for each hop, W3C traceparent in and out.

Whether a request is sampled is decided before any span is made: a request
that is not sampled gets `NO_SPAN`, whose methods do nothing. The SDK is
imported only if spans are exported, for its memory.
"""

from collections.abc import Callable
import dataclasses
import random
import re
import sys
from typing import Any
from typing import TextIO

from lentilmoor import clocks
from lentilmoor import models

HEADER = 'traceparent'
MAX_FORCED_PER_S = 100

_TRACEPARENT = re.compile(r'00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})')
_SAMPLED_FLAG = 0x01

Attribute = str | bool | int | float


class Span:
    """One hop of a sampled request; also a context manager that ends it."""

    __slots__ = ('_span', '_tracer')

    def __init__(self, tracer: Any, span: Any):
        self._tracer = tracer
        self._span = span

    @property
    def traceparent(self) -> str:
        """The header's value for the next hop; empty if not sampled."""
        context = self._span.get_span_context()
        return f'00-{context.trace_id:032x}-{context.span_id:016x}-01'

    def child(self, name: str) -> 'Span':
        """Starts a span below this one."""
        return Span(self._tracer,
                    _start(self._tracer, name, self._span.get_span_context()))

    def note(self, name: str, value: Attribute) -> None:
        """Sets an attribute."""
        self._span.set_attribute(name, value)

    def end(self) -> None:
        """Ends the span; a second call does nothing."""
        if self._span.is_recording():
            self._span.end()

    def __enter__(self) -> 'Span':
        return self

    def __exit__(self, kind: type | None, *_: object) -> None:
        if kind is not None:
            self.note('error.type', kind.__name__)
        self.end()


class _NoSpan(Span):
    """The span of a request that is not sampled."""

    __slots__ = ()

    def __init__(self):
        super().__init__(None, None)

    @property
    def traceparent(self) -> str:
        return ''

    def child(self, name: str) -> Span:
        return self

    def note(self, name: str, value: Attribute) -> None:
        pass

    def end(self) -> None:
        pass

    def __exit__(self, kind: type | None, *_: object) -> None:
        pass


NO_SPAN = _NoSpan()


@dataclasses.dataclass(frozen=True, slots=True)
class Tracer:
    """How spans are begun; made by `make_tracer`.

    Attributes:
      begin: (name, traceparent) -> span of a request from a caller. A
        caller's sampled flag is honoured up to `MAX_FORCED_PER_S`.
      join: (name, traceparent) -> span of a request from another entry; it is
        sampled if and only if the header says so.
      start: (name) -> span of a control action, sampled like a request
        without a header.
      close: Exports what is queued and stops.
    """

    begin: Callable[[str, str], Span]
    join: Callable[[str, str], Span]
    start: Callable[[str], Span]
    close: Callable[[], None]


def make_tracer(settings: models.TraceSettings,
                instance: str,
                clock: clocks.Clock,
                seeded: random.Random,
                stream: TextIO | None = None) -> Tracer:
    """Returns a tracer as the settings say.

    Args:
      settings: Exporter, path and sampling rate.
      instance: Instance id, an attribute of all spans.
      clock: Bounds the rate of traces that callers force.
      seeded: Decides which requests are sampled.
      stream: Where the console exporter writes; standard output if None.
    """
    if settings.exporter == 'none':
        return Tracer(begin=lambda name, traceparent: NO_SPAN,
                      join=lambda name, traceparent: NO_SPAN,
                      start=lambda name: NO_SPAN,
                      close=lambda: None)
    if settings.exporter == 'file':
        # pylint: disable-next=consider-using-with
        stream = open(settings.path, 'a', encoding='utf-8')
    provider = _make_provider(instance, stream or sys.stdout)
    tracer = provider.get_tracer('lentilmoor')
    draw = seeded.random
    rate = settings.sample_rate
    may_force = _make_allowance(clock)

    def begin(name: str, traceparent: str) -> Span:
        flagged = traceparent[-2:] == '01' and may_force()
        if not flagged and draw() >= rate:
            return NO_SPAN
        return Span(tracer, _start(tracer, name, _read(traceparent)))

    def join(name: str, traceparent: str) -> Span:
        if traceparent[-2:] != '01':
            return NO_SPAN
        parent = _read(traceparent)
        if parent is None:
            return NO_SPAN
        return Span(tracer, _start(tracer, name, parent))

    def close() -> None:
        provider.shutdown()
        if settings.exporter == 'file':
            stream.close()

    return Tracer(begin=begin,
                  join=join,
                  start=lambda name: begin(name, ''),
                  close=close)


def _make_allowance(clock: clocks.Clock) -> Callable[[], bool]:
    """Returns a check that passes `MAX_FORCED_PER_S` times a second.

    Threads may race on it; the bound is then passed by a few, no more.

    Args:
      clock: Tells the seconds apart.
    """
    second = 0
    used = 0

    def may_force() -> bool:
        nonlocal second, used
        now = int(clock.now() / clocks.MS_PER_S)
        if now != second:
            second = now
            used = 0
        used += 1
        return used <= MAX_FORCED_PER_S

    return may_force


def _make_provider(instance: str, stream: TextIO) -> Any:
    # pylint: disable=import-outside-toplevel
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace
    from opentelemetry.sdk.trace import export
    from opentelemetry.sdk.trace import sampling
    resource = resources.Resource({
        'service.name': 'lentilmoor',
        'service.instance.id': instance
    })
    exporter = export.ConsoleSpanExporter(
        out=stream, formatter=lambda span: span.to_json(indent=None) + '\n')
    provider = trace.TracerProvider(resource=resource,
                                    sampler=sampling.ALWAYS_ON,
                                    shutdown_on_exit=False)
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return provider


def _read(traceparent: str) -> Any:
    """Returns the span context that a header names, or None."""
    # pylint: disable-next=import-outside-toplevel
    from opentelemetry import trace
    match = _TRACEPARENT.fullmatch(traceparent)
    if match is None:
        return None
    context = trace.SpanContext(trace_id=int(match[1], 16),
                                span_id=int(match[2], 16),
                                is_remote=True,
                                trace_flags=trace.TraceFlags(_SAMPLED_FLAG))
    return context if context.is_valid else None


def _start(tracer: Any, name: str, parent: Any) -> Any:
    # pylint: disable-next=import-outside-toplevel
    from opentelemetry import trace
    if parent is None:
        return tracer.start_span(name)
    context = trace.set_span_in_context(trace.NonRecordingSpan(parent))
    return tracer.start_span(name, context=context)
