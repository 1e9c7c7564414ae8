"""A router for keyed services whose servers own their keys exclusively.

Each key belongs to one backend server; an entry carries every request to the
server that owns its key. Basic use:

    >>> import lentilmoor
    >>> entry = lentilmoor.start('entry.yaml')
    >>> entry.callers_address
    '10.0.0.5:8080'
    >>> lentilmoor.stop(entry)
"""

from lentilmoor.front import start
from lentilmoor.front import stop

__all__ = ['start', 'stop']
__version__ = '0.1.0'
