"""Reads the settings file that the platform writes for each process.

Lines of the form a.b=value; lists are joined by commas. Fields that aren't
known are ignored, since new ones may come.
"""

import math

from lentilmoor import exceptions
from lentilmoor.edge import ports
from lentilmoor.edge import staleness
from lentilmoor.platform import settingsfile as fields_module

# Where the deploy file says that metrics are.
METRICS_PORT = 9464
_MS_PER_S = 1000.0


def parse_settings(text: str) -> tuple[ports.Settings, str]:
    """Parses a settings file.

    Args:
      text: The file's content.

    Returns:
      The settings, and the store's host:port.

    Raises:
      SettingsError: A field is missing or not as expected, or a bound is too
        short to be kept; names the field.
    """
    fields = fields_module.split_fields(text)
    bounds = _read_bounds(_take(fields, 'Bounds'))
    settings = ports.Settings(
        instance=_take(fields, 'Node'),
        domain=_take(fields, 'Zone'),
        callers=_take_address(fields, fields_module.CALLERS),
        ready=_take_address(fields, 'Listen.Ready'),
        control=_take_address(fields, 'Listen.Control'),
        metrics=f'{_find_host(fields)}:{METRICS_PORT}',
        seeds=tuple(
            item for item in fields.get('Seeds', '').split(',') if item),
        cores=(_take_number(fields, 'Limits.CpuShare') *
               _take_number(fields, 'Limits.Cores')),
        link_mbps=_take_number(fields, 'Limits.LinkMbps'),
        bounds=bounds,
        first_start=fields.get('Bootstrap', '').strip() == 'true')
    staleness.make_limits(bounds.drain_ms, bounds.config_apply_ms)
    return settings, _take_address(fields, 'Platform.Addr')


def _find_host(fields: dict[str, str]) -> str:
    return _take_address(fields, 'Listen.Control').rpartition(':')[0]


def _read_bounds(text: str) -> ports.Bounds:
    values = dict(item.split('=', 1) for item in text.split(',') if '=' in item)

    def take(name: str) -> float:
        return _take_number(values, name, f'Bounds: {name}')

    return ports.Bounds(
        drain_ms=take('DrainMs'),
        grace_ms=take('GraceS') * _MS_PER_S,
        retry_ratio=take('RetryRatio'),
        retry_slack=take('RetrySlack'),
        retry_window_ms=take('RetryWindowS') * _MS_PER_S,
        hold_max_ms=take('HoldMaxMs'),
        config_apply_ms=(take('ConfigApplyMs')
                         if 'ConfigApplyMs' in values else math.inf))


def _take(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, '').strip()
    if not value:
        raise exceptions.SettingsError([f'{name}: missing'])
    return value


def _take_address(fields: dict[str, str], name: str) -> str:
    value = _take(fields, name)
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit():
        raise exceptions.SettingsError([f'{name}: expected host:port'])
    return value


def _take_number(fields: dict[str, str], name: str, shown: str = '') -> float:
    value = fields.get(name, '').strip()
    try:
        return float(value)
    except ValueError:
        raise exceptions.SettingsError(
            [f'{shown or name}: expected a number, got {value!r}']) from None
