"""Many stand-in backend servers in one process, for `slopes_fleet`."""

import pathlib
import sys
import threading

from absl import flags

from lentilmoor import clocks
from standins import backend
from standins import backend_state
from standins import serving

SERVICE_MS = 2.0


def main(arguments: list[str]) -> None:
    """Serves until it is ended.

    Args:
      arguments: File to which the addresses are written, then server ids.
    """
    flags.FLAGS(['slopes_servers'])
    path, *names = arguments
    addresses = []
    for name in names:
        state = backend_state.BackendState(
            name, clocks.Clock(), backend_state.Switches(service_ms=SERVICE_MS))
        server = backend.make_server(state)
        serving.serve_in_thread(server)
        addresses.append(server.address)
    partial = pathlib.Path(path + '.partial')
    partial.write_text('\n'.join(addresses), encoding='utf-8')
    partial.rename(path)
    threading.Event().wait()


if __name__ == '__main__':
    main(sys.argv[1:])
