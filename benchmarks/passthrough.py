"""The baseline: a bare pass-through from cheroot to one server by urllib3.

Nothing but the two libraries: no routing, no admission, no counters. The
entry is held to a share of its requests per second.
"""

from absl import app
from absl import flags
from cheroot import wsgi
import urllib3

_PORT = flags.DEFINE_integer(
    'port', 0, 'Port to listen on; 0 lets the system '
    'pick one.')
_PORT_FILE = flags.DEFINE_string('port_file', '', 'Where to write the port.')
_SERVER = flags.DEFINE_string('server', '', 'host:port of the server.')
_THREADS = flags.DEFINE_integer('threads', 32, 'Request threads.')

_CHUNK_BYTES = 64 * 1024
_DROPPED = {'connection', 'transfer-encoding', 'keep-alive'}


def make_app(pool: urllib3.HTTPConnectionPool):
    """Returns a WSGI application that passes each request to a pool."""

    def pass_through(environ, start_response):
        headers = {
            name[5:].replace('_', '-'): value
            for name, value in environ.items()
            if name.startswith('HTTP_') and name != 'HTTP_CONNECTION'
        }
        body = None
        if environ.get('CONTENT_LENGTH'):
            headers['Content-Length'] = environ['CONTENT_LENGTH']
            body = environ['wsgi.input']
        path = environ['PATH_INFO']
        if environ['QUERY_STRING']:
            path = f'{path}?{environ["QUERY_STRING"]}'
        answer = pool.urlopen(environ['REQUEST_METHOD'],
                              path,
                              body=body,
                              headers=headers,
                              retries=False,
                              redirect=False,
                              assert_same_host=False,
                              preload_content=False)
        start_response(f'{answer.status} {answer.reason}',
                       [(name, value)
                        for name, value in answer.headers.items()
                        if name.lower() not in _DROPPED])
        return answer.stream(_CHUNK_BYTES, decode_content=False)

    return pass_through


def main(argv):
    """Serves until it is ended."""
    del argv
    host, _, port = _SERVER.value.rpartition(':')
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=_THREADS.value)
    server = wsgi.Server(('127.0.0.1', _PORT.value),
                         make_app(pool),
                         numthreads=_THREADS.value)
    server.keep_alive_conn_limit = None
    server.prepare()
    if _PORT_FILE.value:
        with open(_PORT_FILE.value, 'w', encoding='utf-8') as file:
            file.write(str(server.bind_addr[1]))
    server.serve()


if __name__ == '__main__':
    app.run(main)
