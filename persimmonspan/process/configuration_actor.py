"""Actor that keeps a daemon at the accepted configuration.

It polls the head every second, runs `persimmonspan.version.adoption` and calls
back. Commits run on the operator's request thread (`Configuration.submit`);
only their result goes to the actor.

Interface: `start(client, objects, callbacks) -> Configuration`, with
`.submit(change)`, `.offer(event)` for what peers send
(`adoption.ChangeOffered`, `WholeOffered`, `MajorityHeard`), `.whole()` for what
peers ask for, and `.stop()`. `Callbacks` are called on the actor's thread and
must return soon.

See Also:
    `persimmonspan.version.commit`: the steps of a commit.
"""

import collections.abc
import concurrent.futures
import logging
import random
import threading
import time
import typing

import msgspec
import pykka

from persimmonspan import errors
from persimmonspan.connection import object_store
from persimmonspan.connection import table_service
from persimmonspan.process import store_actor
from persimmonspan.version import adoption
from persimmonspan.version import commit
from persimmonspan.version import difference

POLL_INTERVAL_S = 1.0
_TICK_INTERVAL_S = 0.25
_WAIT_S = 10.0
_FETCH_THREADS = 2

_logger = logging.getLogger(__name__)
_change_decoder = msgspec.json.Decoder(commit.ChangeDocument)


class Callbacks(typing.NamedTuple):
    """What the actor calls.

    Attributes:
        adopt: Puts a document of a revision in force.
        serve: Told True on rejoining and False on withdrawal.
        send_change: Sends an adopted change to peers.
        ask_whole: Asks peers for a whole document of at least a revision.
    """

    adopt: collections.abc.Callable[[int, difference.Json], None]
    serve: collections.abc.Callable[[bool], None]
    send_change: collections.abc.Callable[[adoption.ChangeReceived], None]
    ask_whole: collections.abc.Callable[[int], None]


class _StateRequest(typing.NamedTuple):
    """Asks for the adoption state."""


class ConfigurationActor(pykka.ThreadingActor):
    """Owns the adoption state."""

    use_daemon_thread = True

    def __init__(self, client: store_actor.Client,
                 objects: object_store.ObjectStore,
                 callbacks: Callbacks) -> None:
        super().__init__()
        self._client = client
        self._objects = objects
        self._callbacks = callbacks
        self._state = adoption.State()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _FETCH_THREADS, "configuration")
        self._stopped = threading.Event()

    def on_start(self) -> None:
        """Starts the poll and the timer."""
        threading.Thread(target=self._poll, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def on_stop(self) -> None:
        """Stops the poll and the timer."""
        self._stopped.set()
        self._pool.shutdown(wait=False)

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one event."""
        if isinstance(message, _StateRequest):
            return self._state
        self._state, commands = adoption.step(self._state, message,
                                              time.monotonic())
        for command in commands:
            try:
                self._carry_out(command)
            except Exception:  # pylint: disable=broad-exception-caught
                # A callback's fault must not end adoption and withdrawal.
                _logger.exception("configuration callback failed")
        return None

    def _carry_out(self, command: adoption.Command) -> None:
        match command:
            case adoption.Adopt(revision, document, change):
                _logger.info("revision adopted", extra={"revision": revision})
                self._callbacks.adopt(revision, document)
                if change is not None:
                    self._callbacks.send_change(change)
            case adoption.Rejoin():
                self._callbacks.serve(True)
            case adoption.Withdraw():
                _logger.warning("configuration is not verified; withdrawn")
                self._callbacks.serve(False)
            case adoption.RequestFromPeers(revision):
                self._callbacks.ask_whole(revision)
            case adoption.FetchFromStore(revision, name):
                self._pool.submit(self._fetch, revision, name)

    def _fetch(self, revision: int, name: str) -> None:
        """Runs on a pool thread."""
        try:
            document = msgspec.json.decode(self._objects.get(name))
        except (errors.StoreError, msgspec.DecodeError) as error:
            _logger.info("document was not fetched",
                         extra={
                             "revision": revision,
                             "reason": str(error)
                         })
            return
        self._tell(adoption.DocumentReceived(revision, document))

    def _poll(self) -> None:
        while not self._stopped.is_set():
            sent_s = time.monotonic()
            try:
                head = read_head(self._client)
                self._tell(
                    adoption.HeadRead(head.revision, head.document_name,
                                      sent_s))
            except errors.StoreError:
                self._tell(adoption.HeadUnavailable())
            spent_s = time.monotonic() - sent_s
            self._stopped.wait(max(0.0, POLL_INTERVAL_S - spent_s))

    def _tick(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_S):
            self._tell(adoption.Tick())

    def _tell(self, event: adoption.Event) -> None:
        try:
            self.actor_ref.tell(event)
        except pykka.ActorDeadError:
            self._stopped.set()


class Configuration:
    """Handle of the actor for other threads and actors."""

    def __init__(self, actor: pykka.ActorRef[ConfigurationActor],
                 client: store_actor.Client,
                 objects: object_store.ObjectStore) -> None:
        self._actor = actor
        self._client = client
        self._objects = objects

    def offer(self, event: adoption.Event) -> None:
        """Hands over what a peer sent or what is known of the majority."""
        self._actor.tell(event)

    def state(self) -> adoption.State:
        """Returns the adoption state, with revision and document."""
        return self._actor.ask(_StateRequest())

    def whole(self) -> adoption.DocumentReceived:
        """Returns the document in force, for a peer that asks for it."""
        state = self.state()
        return adoption.DocumentReceived(state.revision, state.document)

    def submit(self,
               change: commit.Change,
               rng: random.Random | None = None) -> commit.Done:
        """Commits a change; blocks the calling thread until it has ended.

        Store failures end the commit with `REFUSED` or `UNKNOWN`.
        """
        is_majority_heard = self.state().is_majority_heard
        rng = rng or random.Random(change.commit_id)
        state = commit.State(change)
        event: commit.Event = commit.Begin(is_majority_heard)
        while True:
            state, commands = commit.step(state, event, time.monotonic(), rng)
            command, = commands
            if isinstance(command, commit.Done):
                break
            try:
                event = self._carry_out(command)
            except errors.StoreError as error:
                event = commit.Failed(str(error))
        if command.status == commit.Status.ACCEPTED:
            self.offer(
                adoption.ChangeReceived(command.revision, command.base_revision,
                                       command.edits))
        return command

    def stop(self) -> None:
        """Stops the actor."""
        self._actor.stop()

    def _carry_out(self, command: commit.Command) -> commit.Event:
        match command:
            case commit.ReadHead():
                return commit.HeadRead(read_head(self._client))
            case commit.Fetch(revision):
                return commit.Fetched(revision, self._document(revision))
            case commit.Store(name, document):
                self._objects.put(name, msgspec.json.encode(document))
                return commit.Stored(self.state().is_majority_heard)
            case commit.Transact():
                time.sleep(command.delay_s)
                return _transact(self._client, command)
        raise AssertionError(f"unexpected command {command}")

    def _document(self, revision: int) -> difference.Json:
        state = self.state()
        if state.revision == revision:
            return state.document
        key = commit.change_key(revision)
        row, = self._client.read([key]).get(timeout=_WAIT_S)
        if not row.version:
            raise errors.StoreError(errors.Code.NOT_FOUND,
                                    f"no revision {revision}")
        name = _change_decoder.decode(row.value)["document_name"]
        return msgspec.json.decode(self._objects.get(name))


def read_head(client: store_actor.Client) -> commit.Head:
    """Reads the head.

    Raises:
        errors.StoreError: The store did not answer.
    """
    row, = client.read(
        [commit.HEAD_KEY],
        priority=store_actor.Priority.URGENT).get(timeout=_WAIT_S)
    return commit.decode_head(row.version, row.value)


def start(client: store_actor.Client, objects: object_store.ObjectStore,
          callbacks: Callbacks) -> Configuration:
    """Starts the actor."""
    return Configuration(ConfigurationActor.start(client, objects, callbacks),
                         client, objects)


def _transact(client: store_actor.Client,
              command: commit.Transact) -> commit.TransactEnded:
    revision = command.head["revision"]
    change_key = commit.change_key(revision)
    values = {
        commit.HEAD_KEY: command.head,
        change_key: command.change,
        commit.audit_key(revision): command.audit
    }
    versions = {commit.HEAD_KEY: command.head_version}
    result = client.transact(
        [table_service.Check(key, versions.get(key, 0)) for key in values], [
            table_service.Put(key,
                              msgspec.json.encode(value).decode())
            for key, value in values.items()
        ],
        witness=change_key,
        priority=store_actor.Priority.URGENT).get(timeout=_WAIT_S)
    winner = None
    for row in result.conflicts:
        if row.key == change_key and row.version:
            winner = _change_decoder.decode(row.value)["commit_id"]
    is_applied = {
        table_service.Outcome.APPLIED: True,
        table_service.Outcome.NOT_APPLIED: False,
        table_service.Outcome.UNKNOWN: None
    }[result.outcome]
    return commit.TransactEnded(is_applied, result.code == errors.Code.CONFLICT,
                                winner)
