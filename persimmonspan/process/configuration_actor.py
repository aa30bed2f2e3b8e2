"""Actor that keeps a daemon at the accepted configuration.

The actor polls the head every second, runs `persimmonspan.version.adoption` and
invokes `Callbacks`. Commits run on the operator's request thread
(`Configuration.submit`), and the actor receives only their result.

Interface: `start(client, objects, callbacks) -> Configuration`, with
`.submit(change)`, `.offer(event)` for events from peers
(`adoption.ChangeReceived`, `DocumentReceived`, `MajorityChecked`),
`.get_document()` for requests from peers, and `.stop()`. `Callbacks` are called
on the actor's thread and must return soon.

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

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import object_store
from persimmonspan.connection import table_service
from persimmonspan.process import store_actor
from persimmonspan.version import adoption
from persimmonspan.version import commit
from persimmonspan.version import difference
from persimmonspan.version import restoration

POLL_INTERVAL_S = 1.0
_TICK_INTERVAL_S = 0.25
_STORE_TIMEOUT_S = 10.0
_FETCH_THREADS = 2
# Spreads the daemons, so that most find the revision restored by another one.
_MAX_RESTORE_DELAY_S = 2.0

_logger = logging.getLogger(__name__)
_change_decoder = decoding.JsonDecoder(commit.ChangeDocument)


class Callbacks(typing.NamedTuple):
    """Functions that the actor calls.

    Attributes:
        adopt: Puts a document of a revision in force.
        set_serving: Receives True on rejoining and False on withdrawal.
        send_change: Sends an adopted change to peers.
        request_document: Requests a whole document of at least a revision
            from peers.
    """

    adopt: collections.abc.Callable[[int, difference.Json], None]
    set_serving: collections.abc.Callable[[bool], None]
    send_change: collections.abc.Callable[[adoption.ChangeReceived], None]
    request_document: collections.abc.Callable[[int], None]


class _StateRequest(typing.NamedTuple):
    """Requests the adoption state."""


class ConfigurationActor(pykka.ThreadingActor):
    """Applies events to the adoption state and executes its commands."""

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
        self._restore_pool = concurrent.futures.ThreadPoolExecutor(1, "restore")
        self._stopped = threading.Event()

    def on_start(self) -> None:
        """Starts the threads that poll the head and send ticks."""
        threading.Thread(target=self._poll, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def on_stop(self) -> None:
        """Stops both threads and the fetch pool."""
        self._stopped.set()
        self._pool.shutdown(wait=False)
        self._restore_pool.shutdown(wait=False)

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one event."""
        if isinstance(message, _StateRequest):
            return self._state
        self._state, commands = adoption.step(self._state, message,
                                              time.monotonic())
        for command in commands:
            try:
                self._execute(command)
            except Exception:  # pylint: disable=broad-exception-caught
                # An exception in a callback must not stop the actor, because
                # adoption and withdrawal would end.
                _logger.exception(
                    "a configuration callback raised an exception")
        return None

    def _execute(self, command: adoption.Command) -> None:
        match command:
            case adoption.Adopt(revision, document, change):
                _logger.info("adopted a configuration revision",
                             extra={"revision": revision})
                self._callbacks.adopt(revision, document)
                if change is not None:
                    self._callbacks.send_change(change)
            case adoption.Rejoin():
                self._callbacks.set_serving(True)
            case adoption.Withdraw():
                _logger.warning(
                    "stopped serving: the configuration is not verified")
                self._callbacks.set_serving(False)
            case adoption.RequestFromPeers(revision):
                self._callbacks.request_document(revision)
            case adoption.FetchFromStore(revision, name):
                self._pool.submit(self._fetch, revision, name)
            case adoption.Restore(revision, document):
                self._restore_pool.submit(self._restore, revision, document)

    def _fetch(self, revision: int, name: str) -> None:
        """Fetches a document on a pool thread and posts it to the actor."""
        try:
            document = decoding.JsonDecoder().decode(self._objects.get(name))
        except (errors.StoreError, msgspec.DecodeError) as error:
            _logger.info("could not fetch a configuration document",
                         extra={
                             "revision": revision,
                             "reason": str(error)
                         })
            return
        self._post_event(adoption.DocumentReceived(revision, document))

    def _restore(self, revision: int, document: difference.Json) -> None:
        """Writes back a revision, unless another daemon has done so."""
        if self._stopped.wait(random.uniform(0.0, _MAX_RESTORE_DELAY_S)):
            return
        try:
            head = read_head(self._client)
            if head.revision >= revision:
                return
            base = _fetch_base(self._objects, head)
            transact = restoration.plan(head, revision, document, base,
                                        self._client.era() or 0)
            self._objects.put(transact.head["document_name"],
                              msgspec.json.encode(document))
            ended = _transact(self._client, transact)
        except (errors.PersimmonspanError, pykka.Timeout) as error:
            _logger.warning(
                "could not restore a configuration revision that the store "
                "had lost",
                extra={
                    "revision": revision,
                    "reason": str(error)
                })
            return
        _logger.warning(
            "restored a configuration revision that the store "
            "had lost",
            extra={
                "revision": revision,
                "head_revision": head.revision,
                "is_applied": ended.is_applied
            })

    def _poll(self) -> None:
        while not self._stopped.is_set():
            sent_s = time.monotonic()
            try:
                head = read_head(self._client)
                self._post_event(
                    adoption.HeadRead(head.revision, head.document_name,
                                      sent_s))
            except errors.StoreError:
                self._post_event(adoption.HeadUnavailable())
            spent_s = time.monotonic() - sent_s
            self._stopped.wait(max(0.0, POLL_INTERVAL_S - spent_s))

    def _tick(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_S):
            self._post_event(adoption.Tick())

    def _post_event(self, event: adoption.Event) -> None:
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
        """Sends the actor an event from a peer or about the majority."""
        self._actor.tell(event)

    def state(self) -> adoption.State:
        """Returns the adoption state, with revision and document."""
        return self._actor.ask(_StateRequest())

    def get_document(self) -> adoption.DocumentReceived:
        """Returns the document in force, for a peer that asks for it."""
        state = self.state()
        return adoption.DocumentReceived(state.revision, state.document)

    def submit(self,
               change: commit.Change,
               rng: random.Random | None = None) -> commit.Done:
        """Commits a change and blocks the calling thread until it ends.

        A store failure ends the commit with `REFUSED` or `UNKNOWN`.
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
                event = self._execute(command)
            except errors.StoreError as error:
                event = commit.OperationFailed(str(error))
        if command.status == commit.Status.ACCEPTED:
            self.offer(
                adoption.ChangeReceived(command.revision, command.base_revision,
                                        command.edits))
        return command

    def stop(self) -> None:
        """Stops the actor."""
        self._actor.stop()

    def _execute(self, command: commit.Command) -> commit.Event:
        match command:
            case commit.ReadHead():
                known_revision = self.state().highest_revision
                head = read_head(self._client)
                return commit.HeadRead(head, known_revision,
                                       self._client.era() or 0)
            case commit.FetchRevision(revision):
                return commit.RevisionFetched(revision,
                                              self._fetch_document(revision))
            case commit.PutObject(name, document):
                self._objects.put(name, msgspec.json.encode(document))
                return commit.ObjectStored(self.state().is_majority_heard)
            case commit.Transact():
                time.sleep(command.delay_s)
                return _transact(self._client, command)
        raise AssertionError(f"unexpected command {command}")

    def _fetch_document(self, revision: int) -> difference.Json:
        state = self.state()
        if state.revision == revision:
            return state.document
        key = commit.change_key(revision)
        row, = self._client.read([key]).get(timeout=_STORE_TIMEOUT_S)
        if not row.version:
            raise errors.StoreError(
                errors.Code.NOT_FOUND,
                f"the store has no configuration revision {revision}")
        name = _change_decoder.decode(row.value)["document_name"]
        return decoding.JsonDecoder().decode(self._objects.get(name))


def _fetch_base(objects: object_store.ObjectStore,
                head: commit.Head) -> difference.Json:
    """Returns the document of a head, empty if the store has none."""
    if not head.document_name:
        return {}
    try:
        return decoding.JsonDecoder().decode(objects.get(head.document_name))
    except (errors.StoreError, msgspec.DecodeError) as error:
        if getattr(error, "code", None) == errors.Code.STORE_UNAVAILABLE:
            raise
        _logger.warning("the document of the head is missing",
                        extra={
                            "name": head.document_name,
                            "reason": str(error)
                        })
        return {}


def read_head(client: store_actor.Client) -> commit.Head:
    """Reads the head from the table service.

    Raises:
        errors.StoreError: The store did not respond.
    """
    row, = client.read(
        [commit.HEAD_KEY],
        priority=store_actor.Priority.URGENT).get(timeout=_STORE_TIMEOUT_S)
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
        priority=store_actor.Priority.URGENT).get(timeout=_STORE_TIMEOUT_S)
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
