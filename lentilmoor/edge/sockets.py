"""The socket on which callers' connections arrive.

It is opened before the rest of the program is loaded, which takes some 0.3 s of
a start: connections that come meanwhile wait in its queue and are served after.
Without it the platform's balancer resets them.
"""

import socket

# Connections that wait to be taken: what comes to an entry within a second when
# all others are down.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Returns a socket that takes connections at an address.

    Args:
      address: host:port.

    Raises:
      OSError: The address can't be used.
    """
    host, _, port = address.rpartition(':')
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
