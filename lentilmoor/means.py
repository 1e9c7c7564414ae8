"""Moving means of what each slice and each hot key costs its server.

The grantor folds the delegates' reports into a `LoadTable`, which `read` turns
into the `Loads` that the planner weighs. Rates are milliseconds of service
time per second: 1000 is one busy slot. Each row has a slow mean, which noise
hardly moves, and a fast one; where they differ by more than noise explains,
the slow one starts again from the fast.
"""

from array import array
import dataclasses
import math

from lentilmoor import loads
from lentilmoor import sketches
from lentilmoor import slices
from lentilmoor import windows

SLOW_MS = 30_000.0
FAST_MS = 3_000.0
# A change is held to be real beyond this many standard deviations.
_DEVIATIONS = 4.0
# Of all cost, what makes a point hot.
_HOT_SHARE = 0.0005
# How long a row follows its fast mean once it has changed.
_FOLLOW_MS = 3.0 * FAST_MS
# After this many windows a mean counts as resting on a whole one.
_SETTLED_WINDOWS = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loads:
    """What the planner is handed: rows aligned with a slice map.

    Attributes:
      rates: Rate of each slice, ms of service time per second; typecode d.
      requests: Number of requests that each rate rests on; typecode d.
      owned_since: When each slice came to its owner, ms; typecode d.
      hot: Points that cost most, dearest first, with rates.
      observed_ms: How long loads have been observed.
    """

    rates: array
    requests: array
    owned_since: array
    hot: tuple[loads.HotPoint, ...]
    observed_ms: float


@dataclasses.dataclass(slots=True)
class LoadTable:
    """The grantor's means, one row for each slice.

    Attributes:
      slice_map: The map that the rows follow.
      started_at: When the table began to observe, ms.
      slow: The means that are read.
      fast: The means that show changes.
      since: When the slow mean of a row starts, ms; typecode d.
      follows_until: Until when the slow mean follows the fast one, ms.
      changed: Sequence of the map that gave the slice its bounds.
      owned_since: When the slice came to its owner, ms; typecode d.
    """

    slice_map: slices.SliceMap
    started_at: float
    slow: windows.Window
    fast: windows.Window
    since: array
    follows_until: array
    changed: array
    owned_since: array


def make_table(slice_map: slices.SliceMap,
               now: float,
               capacity: int = sketches.CAPACITY) -> LoadTable:
    """Returns an empty table for a map.

    Args:
      slice_map: The map that the rows follow.
      now: Time, ms.
      capacity: Hot points kept.
    """
    count = len(slice_map.bounds)
    slow = windows.make_window(SLOW_MS, now, count, True, capacity)
    fast = windows.make_window(FAST_MS, now, count, False, capacity)
    return LoadTable(slice_map, now, slow, fast, _fill('d', now, count),
                     _fill('d', now, count),
                     _fill('Q', slice_map.sequence, count),
                     _fill('d', -math.inf, count))


def _fill(typecode: str, value: float, count: int) -> array:
    return array(typecode, [value]) * count


def fold(table: LoadTable, report: loads.Report, now: float) -> None:
    """Folds a delegate's report into the means.

    What was counted before a slice got its present bounds is passed over,
    unless the slice is a hot point of the report; so is all that was counted
    under another epoch.

    Args:
      table: Is changed.
      report: What a delegate counted.
      now: Time, ms.
    """
    slow = windows.weigh(table.slow, now)
    fast = windows.weigh(table.fast, now)
    epoch, sequence = report.version
    if epoch == table.slice_map.epoch:
        _fold_rows(table, report.slices, sequence, slow, fast)
        _fold_singles(table, report.hot, sequence, slow, fast)
    points = [hot.point for hot in report.hot]
    sketches.add(table.slow.sketch, points,
                 [hot.cost * slow for hot in report.hot])
    sketches.add(table.fast.sketch, points,
                 [hot.cost * fast for hot in report.hot])


def _fold_rows(table: LoadTable, rows: tuple[loads.SliceCost, ...],
               sequence: int, slow: float, fast: float) -> None:
    find = table.slice_map.find
    for row in rows:
        index = find(row.first)
        if table.changed[index] > sequence:
            continue
        table.slow.costs[index] += row.cost_ms * slow
        table.fast.costs[index] += row.cost_ms * fast
        table.slow.requests[index] += row.requests * slow


def _fold_singles(table: LoadTable, hot: tuple[loads.HotPoint, ...],
                  sequence: int, slow: float, fast: float) -> None:
    """Adds what points cost that have a slice of their own since."""
    bounds = table.slice_map.bounds
    for item in hot:
        index = table.slice_map.find(item.point)
        if table.changed[index] <= sequence:
            continue
        if bounds[index] == table.slice_map.last_point(index):
            table.slow.costs[index] += item.cost * slow
            table.fast.costs[index] += item.cost * fast


def read(table: LoadTable, now: float) -> Loads:
    """Returns the rates as of now, aligned with the table's map.

    Args:
      table: Rows whose load has changed start again from their fast mean.
      now: Time, ms.
    """
    gauge = _make_gauge(table, now)
    rates = _rate_rows(table, gauge, now)
    _restart_changed(table, gauge, rates, now)
    requests = array('d', (item / gauge.slow for item in table.slow.requests))
    return Loads(rates, requests, table.owned_since,
                 _rate_hot(table, gauge, now), now - table.started_at)


@dataclasses.dataclass(frozen=True, slots=True)
class _Gauge:
    """Turns sums into rates as of one moment.

    Attributes:
      slow: Weight of an addition to the slow means.
      fast: Factor from a fast sum to a rate, without what all rows share.
      seconds: Seconds that the fast means rest on.
      mean_cost: Mean cost of a request, ms.
    """

    slow: float
    fast: float
    seconds: float
    mean_cost: float


def _make_gauge(table: LoadTable, now: float) -> _Gauge:
    slow = windows.weigh(table.slow, now)
    fast = windows.weigh(table.fast, now)
    observed = now - table.started_at
    total = sum(table.slow.costs)
    mean_cost = total / max(sum(table.slow.requests), 1e-9)
    seconds = windows.fill_of(table.fast, observed)
    # Reports that are late or lost lower all fast means alike, and those that
    # come at once raise them: so the fast means count as shares of the whole.
    rate = total / (slow * windows.fill_of(table.slow, observed))
    factor = rate / max(sum(table.fast.costs), 1e-9)
    if total <= 0.0:
        factor = 1.0 / (fast * seconds)
    return _Gauge(slow, factor, seconds, mean_cost)


def _rate_rows(table: LoadTable, gauge: _Gauge, now: float) -> array:
    rates = array('d', table.slow.costs)
    settled = now - _SETTLED_WINDOWS * SLOW_MS
    full = gauge.slow * windows.fill_of(table.slow, _SETTLED_WINDOWS * SLOW_MS)
    for index, since in enumerate(table.since):
        if since <= settled:
            rates[index] /= full
        else:
            rates[index] /= gauge.slow * windows.fill_of(
                table.slow, now - since)
    return rates


def _restart_changed(table: LoadTable, gauge: _Gauge, rates: array,
                     now: float) -> None:
    """Lets rows that have changed follow their fast mean for a while.

    The slow mean of such a row rests on as many seconds as the fast one does,
    and on more and more afterwards.
    """
    fill = windows.fill_of(table.slow, FAST_MS)
    for index, cost in enumerate(table.fast.costs):
        recent = cost * gauge.fast
        if table.follows_until[index] <= now:
            if not _differ(rates[index], recent, gauge):
                continue
            table.follows_until[index] = now + _FOLLOW_MS
        fresh = recent * fill * gauge.slow
        if table.slow.costs[index] > 0.0:
            table.slow.requests[index] *= fresh / table.slow.costs[index]
        table.slow.costs[index] = fresh
        table.since[index] = now - FAST_MS
        rates[index] = recent


def _differ(rate: float, recent: float, gauge: _Gauge) -> bool:
    """Returns whether noise does not explain the difference of two means."""
    gap = rate - recent
    more = rate if gap > 0.0 else recent
    variance = more * gauge.mean_cost / gauge.seconds
    return gap * gap > _DEVIATIONS * _DEVIATIONS * variance


def _rate_hot(table: LoadTable, gauge: _Gauge,
              now: float) -> tuple[loads.HotPoint, ...]:
    factor = 1.0 / (gauge.slow *
                    windows.fill_of(table.slow, now - table.started_at))
    least = _HOT_SHARE * factor * sum(table.slow.costs)
    slow = table.slow.sketch.costs
    fast = table.fast.sketch.costs
    points = {point for point in slow if slow[point] * factor >= least}
    points.update(point for point in fast if fast[point] * gauge.fast >= least)
    hot = []
    for point in points:
        rate = slow.get(point, 0.0) * factor
        recent = fast.get(point, 0.0) * gauge.fast
        rate = recent if _differ(rate, recent, gauge) else rate
        if rate >= least:
            hot.append(loads.HotPoint(point, rate))
    hot.sort(key=lambda item: (-item.cost, item.point))
    return tuple(hot)


def follow_map(table: LoadTable, slice_map: slices.SliceMap,
               now: float) -> None:
    """Takes up a newer map.

    A slice with new bounds starts with its known hot points' cost and, by its
    share of points, its part of the rest of the slices it was cut from.

    Args:
      table: Is changed.
      slice_map: A map of the same epoch or a later one.
      now: Time, ms.
    """
    seen = read(table, now)
    before = _copy(table)
    _empty(table, slice_map, now)
    kept = dict(loads.match_rows(before.slice_map, slice_map))
    for index, bound in enumerate(slice_map.bounds):
        was = kept.get(index)
        if was is None:
            was = before.slice_map.find(bound)
            _derive(before, seen, table, index)
        else:
            _carry(before, table, index, was, 1.0)
            table.changed[index] = before.changed[was]
            table.follows_until[index] = before.follows_until[was]
        if _name_owner(before.slice_map, was) == _name_owner(slice_map, index):
            table.owned_since[index] = before.owned_since[was]


def _copy(table: LoadTable) -> LoadTable:
    return dataclasses.replace(table,
                               slow=dataclasses.replace(table.slow),
                               fast=dataclasses.replace(table.fast))


def _empty(table: LoadTable, slice_map: slices.SliceMap, now: float) -> None:
    count = len(slice_map.bounds)
    table.slice_map = slice_map
    windows.empty(table.slow, count)
    windows.empty(table.fast, count)
    table.since = _fill('d', now, count)
    table.follows_until = _fill('d', now + _FOLLOW_MS, count)
    table.changed = _fill('Q', slice_map.sequence, count)
    table.owned_since = _fill('d', now, count)


def _carry(before: LoadTable, table: LoadTable, index: int, was: int,
           share: float) -> None:
    """Adds a share of an old row to a row."""
    table.slow.costs[index] += before.slow.costs[was] * share
    table.fast.costs[index] += before.fast.costs[was] * share
    table.slow.requests[index] += before.slow.requests[was] * share
    table.since[index] = min(table.since[index], before.since[was])


def _derive(before: LoadTable, seen: Loads, table: LoadTable,
            index: int) -> None:
    """Fills the row of a slice with new bounds from the rows it overlaps."""
    first = table.slice_map.bounds[index]
    last = table.slice_map.last_point(index)
    old = before.slice_map
    was = old.find(first)
    while was < len(old.bounds) and old.bounds[was] <= last:
        low, high = old.bounds[was], old.last_point(was)
        hot = [item for item in seen.hot if low <= item.point <= high]
        inside = [item for item in hot if first <= item.point <= last]
        overlap = min(high, last) - max(low, first) + 1
        share = loads.share_rate(seen.rates[was], hot, inside,
                                 overlap / (high - low + 1))
        _carry(before, table, index, was, share)
        was += 1


def _name_owner(slice_map: slices.SliceMap, index: int) -> str | None:
    owner = slice_map.owners[index]
    return None if owner == slices.NO_OWNER else slice_map.servers[owner]
