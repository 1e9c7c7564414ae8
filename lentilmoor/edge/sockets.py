"""The listening socket for callers' connections.

It is opened before the rest of the program is loaded, which takes about 0.3 s
at startup. Connections that arrive in the meantime wait in the backlog and are
served afterwards; without the socket, the platform's load balancer resets them.
"""

import socket

# Maximum number of connections that wait to be accepted: those that an entry
# receives within a second when all other entries are down.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens at an address.

    Args:
      address: Address in the form host:port.

    Raises:
      OSError: The socket can't be bound to the address.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
