"""Processor time of one request: inside an entry, and of a whole process."""

from collections.abc import Callable
import dataclasses
import time

from benchmarks import slopes_fleet
from benchmarks import slopes_systems as systems
from lentilmoor import calls
from lentilmoor import clocks
from tests import pathhelp

CALLERS = 8
SPAN_S = 4.0
_SETTLE_S = 2.0
_NOW = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PathCost:
    """Processor time per request, microseconds.

    Attributes:
      name: Which part.
      cpu_us: Its processor time.
      per_s: Requests a second in the run; 0 if in process.
    """

    name: str
    cpu_us: float
    per_s: float = 0.0


def measure_inside() -> list[PathCost]:
    """Measures parts of the path with fakes for all that is outside."""
    return [
        PathCost('read_call', systems.spend(_make_read())),
        PathCost('dispatch_call, fake server', systems.spend(_make_dispatch())),
    ]


def _make_read() -> Callable[[], object]:
    settings = pathhelp.make_settings()
    raw = pathhelp.make_raw(lentilmoor_key='lot-1', lentilmoor_caller='shop-1')
    return lambda: calls.read_call(raw, lambda *_: settings, _NOW)


def _make_dispatch() -> Callable[[], object]:
    settings = pathhelp.make_settings()
    route = pathhelp.make_route()
    snapshot = pathhelp.make_snapshot(settings, route)
    time_ = clocks.ManualTime(_NOW)
    dispatcher = pathhelp.make_dispatcher(snapshot, time_.clock())
    call = pathhelp.make_call(settings, _NOW)
    wires = pathhelp.FakeWiring(results=[pathhelp.make_answer()])

    def work() -> None:
        pathhelp.dispatch_one(dispatcher, wires, call)
        wires.sent.clear()
        dispatcher.observations.clear()

    return work


def measure_process() -> list[PathCost]:
    """Measures one entry process under as much load as it takes."""
    deployment = slopes_fleet.HSINCHU
    with slopes_fleet.run_fleet(deployment, 1, sockets=False,
                                profile=False) as fleet:
        time.sleep(_SETTLE_S)
        rest = slopes_fleet.measure_span(fleet, deployment, 'rest', SPAN_S,
                                         False)
        busy = slopes_fleet.measure_span(fleet,
                                         deployment,
                                         'busy',
                                         SPAN_S,
                                         True,
                                         pause_s=0.0)
    cpu_us = (busy.core - rest.core) / busy.requests_per_s * 1e6
    return [
        PathCost('whole entry process, beyond rest', cpu_us,
                 busy.requests_per_s),
        PathCost('whole entry process', busy.core / busy.requests_per_s * 1e6,
                 busy.requests_per_s),
    ]
