"""Parses the settings file that the platform writes for each process.

The file has lines of the form a.b=value; the items of lists are separated by
commas. Unknown fields are ignored, as the platform may add new ones.
"""

import math

from lentilmoor import exceptions
from lentilmoor.edge import ports
from lentilmoor.edge import staleness
from lentilmoor.platform import settingsfile as fields_module

# The deployment file names this port for metrics.
METRICS_PORT = 9464
_MS_PER_S = 1000.0


def parse_settings(text: str) -> tuple[ports.Settings, str]:
    """Parses a settings file.

    Args:
      text: The file's content.

    Returns:
      The settings, and the store's host:port.

    Raises:
      SettingsError: A field is missing or invalid, or a bound is too short to
        be kept; the message names the field.
    """
    fields = fields_module.split_fields(text)
    bounds = _read_bounds(_require(fields, 'Bounds'))
    settings = ports.Settings(
        instance=_require(fields, 'Node'),
        domain=_require(fields, 'Zone'),
        callers=_require_address(fields, fields_module.CALLERS_FIELD),
        ready=_require_address(fields, 'Listen.Ready'),
        control=_require_address(fields, 'Listen.Control'),
        metrics=f'{_find_host(fields)}:{METRICS_PORT}',
        seeds=tuple(
            item for item in fields.get('Seeds', '').split(',') if item),
        cores=(_parse_number(fields, 'Limits.CpuShare') *
               _parse_number(fields, 'Limits.Cores')),
        link_mbps=_parse_number(fields, 'Limits.LinkMbps'),
        bounds=bounds,
        first_start=fields.get('Bootstrap', '').strip() == 'true',
        memory_mb=_read_memory(fields))
    staleness.make_limits(bounds.drain_ms, bounds.config_apply_ms)
    return settings, _require_address(fields, 'Platform.Addr')


def _find_host(fields: dict[str, str]) -> str:
    return _require_address(fields, 'Listen.Control').rpartition(':')[0]


def _read_bounds(text: str) -> ports.Bounds:
    values = dict(item.split('=', 1) for item in text.split(',') if '=' in item)

    def parse_bound(name: str) -> float:
        return _parse_number(values, name, f'Bounds: {name}')

    return ports.Bounds(
        drain_ms=parse_bound('DrainMs'),
        grace_ms=parse_bound('GraceS') * _MS_PER_S,
        retry_ratio=parse_bound('RetryRatio'),
        retry_slack=parse_bound('RetrySlack'),
        retry_window_ms=parse_bound('RetryWindowS') * _MS_PER_S,
        hold_max_ms=parse_bound('HoldMaxMs'),
        config_apply_ms=(parse_bound('ConfigApplyMs')
                         if 'ConfigApplyMs' in values else math.inf))


def _read_memory(fields: dict[str, str]) -> float:
    name = 'Limits.MemoryMb'
    if name not in fields:
        return ports.MIN_MEMORY_MB
    memory_mb = _parse_number(fields, name)
    if not 0 < memory_mb < math.inf:
        raise exceptions.SettingsError(
            [f'{name}: expected a positive number, got {memory_mb}'])
    return memory_mb


def _require(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, '').strip()
    if not value:
        raise exceptions.SettingsError([f'{name}: missing'])
    return value


def _require_address(fields: dict[str, str], name: str) -> str:
    value = _require(fields, name)
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit():
        raise exceptions.SettingsError([f'{name}: expected host:port'])
    return value


def _parse_number(fields: dict[str, str], name: str, label: str = '') -> float:
    value = fields.get(name, '').strip()
    try:
        return float(value)
    except ValueError:
        raise exceptions.SettingsError(
            [f'{label or name}: expected a number, got {value!r}']) from None
