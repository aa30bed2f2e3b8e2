"""Bare relay, the baseline: a cheroot worker copies what urllib3 reads.

Nothing is parsed, checked or counted. It turns the caller's request into the
engine's and writes each chunk as it comes.
"""

import argparse
import itertools
import uuid

import msgspec
import urllib3
from cheroot import server


def make_server(port: int, engines: list[str],
                threads: int) -> server.HTTPServer:
    """Returns a relay that spreads requests evenly."""
    turns = itertools.cycle(engines)

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Copies one answer."""
            request = self.req
            body = msgspec.json.decode(request.rfile.read())
            host, engine_port = next(turns).rsplit(":", 1)
            connection = urllib3.connection.HTTPConnection(
                host, int(engine_port))
            connection.request("POST",
                               "/v1/generate",
                               body=msgspec.json.encode({
                                   "request_id": uuid.uuid4().hex,
                                   "generation_id": uuid.uuid4().hex,
                                   "model": "",
                                   "prompt": body["prompt"],
                                   "max_tokens": body["max_tokens"],
                                   "priority": 0,
                                   "from_index": 0
                               }),
                               preload_content=False)
            response = connection.getresponse()
            request.status = b"200 OK"
            request.outheaders = [(b"Content-Type", b"text/event-stream")]
            request.ensure_headers_sent()
            for chunk in response.read_chunked():
                request.write(chunk)
            connection.close()

    result = server.HTTPServer(("127.0.0.1", port), _Gateway, threads, threads)
    result.request_queue_size = 1024
    return result


def main() -> None:
    """Runs the relay as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--engine", action="append", required=True)
    parser.add_argument("--threads", type=int, default=900)
    parsed = parser.parse_args()
    make_server(parsed.port, parsed.engine, parsed.threads).safe_start()


if __name__ == "__main__":
    main()
