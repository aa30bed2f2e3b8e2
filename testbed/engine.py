"""Stand-in for a model engine: continuous decoding over the real wire format.

The most recent generations stay in memory after their last token, so that a
caller can resume them. The text of token `i` is the hash of the prompt, a dash
and `i`, so a caller can check that a response belongs to its request and is
complete and in order. After `POST /v1/leave` all answers say that it leaves.

A prompt that contains `[fault@i]` triggers that fault at token `i` of the first
connection: see `_FAULTS`.
"""

import argparse
import collections.abc
import hashlib
import os
import random
import re
import threading
import time
import typing
import uuid

import msgspec
from cheroot import server

from persimmonspan.connection import engine
from persimmonspan.connection import leaving_header
from persimmonspan.connection import retry_after

_PROMPT_HASH_CHARS = 6
_MS_PER_S = 1000.0
_FAULT_DIRECTIVE = re.compile(r"\[([a-z_]+)@(\d+)\]")
_HANG_S = 3600.0
_MAX_KEPT_GENERATIONS = 256
_LONG_TEXT_CHARS = 4096


class Options(typing.NamedTuple):
    """Options of the stand-in."""

    token_interval_s: float = 0.01
    mean_tokens: int = 40
    kv_capacity_tokens: int = 65536
    max_running: int = 64
    is_random: bool = True  # Whether token counts vary around the mean.
    # Time that a full engine names with its refusal, in which it refuses all.
    pause_s: float = 0.0


class Generation:
    """One generation and its progress."""

    def __init__(self, request: engine.GenerateDocument, tokens: int) -> None:
        self.request = request
        self.tokens = tokens
        self.started_s = time.monotonic()
        self.is_cancelled = False
        self.is_fully_sent = False  # Whether its last token was sent.

    def make_token(self, index: int) -> engine.TokenDocument:
        """Returns the token at an index."""
        is_last = index == self.tokens - 1
        return engine.TokenDocument(
            r=self.request["request_id"],
            g=self.request["generation_id"],
            i=index,
            t=f"{prompt_hash(self.request['prompt'])}-{index} ",
            f="stop" if is_last else None)


def prompt_hash(prompt: str) -> str:
    """Returns the hash that begins each token of the response to a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_PROMPT_HASH_CHARS]


class Engine:
    """State of the engine stand-in."""

    def __init__(self, options: Options, seed: int) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.is_leaving = False  # Said in all answers.
        self.generations: dict[str, Generation] = {}
        self.runs: dict[str, int] = {}
        self.cancelled: list[str] = []
        self._random = random.Random(seed)
        self._opens_s = 0.0  # Monotonic time until which it refuses all.
        self._lock = threading.Lock()

    def pause_left_s(self) -> float:
        """Returns for how long it still refuses all requests."""
        with self._lock:
            return max(0.0, self._opens_s - time.monotonic())

    def start_generation(self,
                         request: engine.GenerateDocument) -> Generation | None:
        """Starts a generation; returns None if the engine is full."""
        with self._lock:
            now_s = time.monotonic()
            if now_s < self._opens_s:
                return None
            if self._count_running() >= self.options.max_running:
                self._opens_s = now_s + self.options.pause_s
                return None
            tokens = min(request["max_tokens"], self._draw_token_count())
            generation = Generation(request, tokens)
            self.generations[request["generation_id"]] = generation
            self.runs[request["request_id"]] = self.runs.get(
                request["request_id"], 0) + 1
            return generation

    def _draw_token_count(self) -> int:
        mean = self.options.mean_tokens
        if not self.options.is_random:
            return mean
        return 1 + int(self._random.expovariate(1 / mean))

    def load(self) -> engine.LoadDocument:
        """Returns the load report."""
        with self._lock:
            running = self._count_running()
        return engine.LoadDocument(
            kv_used_tokens=running * self.options.mean_tokens,
            kv_capacity_tokens=self.options.kv_capacity_tokens,
            running=running,
            waiting=0,
            preemptions=0,
            measured_age_s=0.0,
            incarnation=self.incarnation)

    def cancel(self, request_id: str) -> None:
        """Cancels the generations of a request."""
        with self._lock:
            self.cancelled.append(request_id)
            for key, generation in list(self.generations.items()):
                if generation.request["request_id"] == request_id:
                    generation.is_cancelled = True
                    del self.generations[key]

    def finish_generation(self, generation: Generation) -> None:
        """Releases the slot of a generation whose last token was sent.

        The connection may lose these tokens, so the most recent generations
        are kept for a resume.
        """
        with self._lock:
            generation.is_fully_sent = True
            fully_sent = [
                key for key, g in self.generations.items() if g.is_fully_sent
            ]
            for key in fully_sent[:-_MAX_KEPT_GENERATIONS]:
                del self.generations[key]

    def _count_running(self) -> int:
        return sum(not g.is_fully_sent for g in self.generations.values())


def make_server(address: tuple[str, int], state: Engine) -> server.HTTPServer:
    """Returns a server for the stand-in."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            if state.is_leaving:
                self.req.outheaders.append(
                    (leaving_header.NAME.encode(), state.incarnation.encode()))
            _respond(self.req, state)

    threads = state.options.max_running + 8
    return server.HTTPServer(address, _Gateway, threads, threads)


def _respond(request: server.HTTPRequest, state: Engine) -> None:
    body = request.rfile.read()
    match request.path:
        case b"/v1/generate":
            document = msgspec.json.decode(body, type=engine.GenerateDocument)
            generation = state.start_generation(document)
            if generation is None:
                _send_response(request, b"503 Service Unavailable",
                               {"run_state": "not_run"},
                               _retry_after(state.pause_left_s()))
            else:
                _stream_tokens(request, state, generation, 0,
                               _parse_fault_directive(document["prompt"]))
        case b"/v1/resume":
            document = msgspec.json.decode(body)
            generation = state.generations.get(document["generation_id"])
            if generation is None:
                _send_response(request, b"404 Not Found", {})
            else:
                _stream_tokens(request, state, generation,
                               document["from_index"], None)
        case b"/v1/cancel":
            state.cancel(msgspec.json.decode(body)["request_id"])
            _send_response(request, b"200 OK", {})
        case b"/v1/load":
            _send_response(request, b"200 OK", state.load())
        case b"/v1/leave":
            state.is_leaving = True
            _send_response(request, b"200 OK", {})
        case b"/v1/runs":
            _send_response(request, b"200 OK", state.runs)
        case b"/v1/cancelled":
            _send_response(request, b"200 OK", state.cancelled)
        case _:
            _send_response(request, b"404 Not Found", {})


def _stream_tokens(request: server.HTTPRequest, state: Engine,
                   generation: Generation, index: int,
                   fault: tuple[str, int] | None) -> None:
    request.status = b"200 OK"
    request.outheaders.append((b"Content-Type", b"text/event-stream"))
    request.ensure_headers_sent()
    while index < generation.tokens and not generation.is_cancelled:
        ready_s = (generation.started_s +
                   (index + 1) * state.options.token_interval_s)
        time.sleep(max(0.0, ready_s - time.monotonic()))
        if fault is not None and fault[1] == index:
            _FAULTS[fault[0]](request, generation, index)
            if fault[0] not in ("repeat", "crossed"):
                return
        request.write(engine.encode_token(generation.make_token(index)))
        index += 1
    if not generation.is_cancelled:
        state.finish_generation(generation)


def _parse_fault_directive(prompt: str) -> tuple[str, int] | None:
    match = _FAULT_DIRECTIVE.search(prompt)
    return (match[1], int(match[2])) if match is not None else None


def _send_modified_token(request: server.HTTPRequest, generation: Generation,
                         index: int, **changes: typing.Any) -> None:
    token = {**generation.make_token(index), **changes}
    request.write(engine.encode_token(typing.cast(engine.TokenDocument, token)))


def _exit_process(request: server.HTTPRequest, generation: Generation,
                  index: int) -> None:
    del request, generation, index
    os._exit(1)  # pylint: disable=protected-access  # A crash: no clean-up.


def _send_truncated_event(request: server.HTTPRequest, generation: Generation,
                          index: int) -> None:
    event = engine.encode_token(generation.make_token(index))
    request.write(event[:len(event) // 2])
    # Ends the connection without the last chunk.
    request.chunked_write = False
    request.close_connection = True


def _hang(request: server.HTTPRequest, generation: Generation,
          index: int) -> None:
    del request, generation, index
    time.sleep(_HANG_S)


def _send_endless_tokens(request: server.HTTPRequest, generation: Generation,
                         index: int) -> None:
    """Sends large tokens until the connection or the generation ends."""
    while not generation.is_cancelled:
        token = {
            **generation.make_token(index), "i": index,
            "t": "x" * _LONG_TEXT_CHARS,
            "f": None
        }
        request.write(
            engine.encode_token(typing.cast(engine.TokenDocument, token)))
        index += 1


_FAULTS: dict[str,
              typing.Callable[[server.HTTPRequest, Generation, int], None]] = {
                  # A token with a wrong request id, generation id or index.
                  "crossed":
                      lambda request, generation, index: _send_modified_token(
                          request, generation, index, r="another", t="crossed"),
                  "wrong_generation":
                      lambda request, generation, index: _send_modified_token(
                          request, generation, index, g="another", t="crossed"),
                  "wrong_index":
                      lambda request, generation, index: _send_modified_token(
                          request, generation, index, i=index + 1, t="skipped"),
                  # A token that was sent before.
                  "repeat":
                      lambda request, generation, index: _send_modified_token(
                          request, generation, max(0, index - 1)),
                  "garbage":
                      lambda request, generation, index: request.write(
                          b'data: {"r": \xff\xfe]\n\n'),
                  # The connection ends inside an event or between two events.
                  "truncate":
                      _send_truncated_event,
                  "stop":
                      lambda request, generation, index: None,
                  "hang":
                      _hang,
                  "long":
                      _send_endless_tokens,
                  "die":
                      _exit_process,
              }


def _retry_after(pause_s: float) -> list[tuple[bytes, bytes]]:
    return [(retry_after.NAME, f"{pause_s:.3f}".encode())] if pause_s else []


def _send_response(
    request: server.HTTPRequest,
    status: bytes,
    body: object,
    headers: collections.abc.Iterable[tuple[bytes, bytes]] = ()
) -> None:
    request.status = status
    request.outheaders += [(b"Content-Type", b"application/json"), *headers]
    request.ensure_headers_sent()
    request.write(msgspec.json.encode(body))


def main() -> None:
    """Runs the engine stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--token-interval-ms", type=float, default=10.0)
    parser.add_argument("--mean-tokens", type=int, default=40)
    parser.add_argument("--max-running", type=int, default=64)
    parser.add_argument("--pause-s",
                        type=float,
                        default=0.0,
                        help="time that a full engine wants no requests")
    parser.add_argument("--fixed-length",
                        action="store_true",
                        help="all generations have the mean length")
    parser.add_argument("--seed", type=int, default=0)
    parsed = parser.parse_args()
    options = Options(parsed.token_interval_ms / _MS_PER_S,
                      parsed.mean_tokens,
                      max_running=parsed.max_running,
                      is_random=not parsed.fixed_length,
                      pause_s=parsed.pause_s)
    make_server(("127.0.0.1", parsed.port), Engine(options,
                                                   parsed.seed)).safe_start()


if __name__ == "__main__":
    main()
