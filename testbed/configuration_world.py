"""Simulates the configuration of several daemons in memory, for fuzzing.

The world holds the daemons' adoption states, the pending commits, the store and
the messages between peers. Its caller chooses which event happens next;
`check_guarantees` compares each daemon with the accepted revisions.
"""

import enum
import random
import typing

from persimmonspan.version import adoption
from persimmonspan.version import commit
from persimmonspan.version import difference
from testbed import ledger_world

Fate = ledger_world.Fate
_WORKSPACES = ("a", "b", "c")


class Fault(enum.StrEnum):
    """Deliberate faults that show that the oracle can fail."""

    NONE = "none"
    ADOPT_ANY = "adopt_any"
    SERVE_ISOLATED = "serve_isolated"
    BLIND_COMMIT = "blind_commit"


class _PendingCommit:
    """A commit that a daemon has begun and not ended."""

    def __init__(self, daemon: int, change: commit.Change,
                 event: commit.Event) -> None:
        self.daemon = daemon
        self.state = commit.State(change)
        self.event: commit.Event | None = event
        self.command: commit.Command | None = None


class World:
    """Daemons, the store, and the links to store and peers."""

    def __init__(self, daemons: int, fault: Fault = Fault.NONE) -> None:
        self.now_s = 0.0
        self.fault = fault
        self.states = [adoption.State() for _ in range(daemons)]
        self.daemons_without_store: set[int] = set()
        self.daemons_without_peers: set[int] = set()
        self.paused: set[int] = set()
        # Last restart or link change after which a daemon had store or peers.
        self.last_connected_s = [0.0] * daemons
        self.pending_commits: list[_PendingCommit] = []
        self.accepted_revisions: list[tuple[str, difference.Json]] = []
        self.objects: dict[str, difference.Json] = {}
        self.delayed_transactions: list[commit.Transact] = []
        self.messages: list[tuple[int, adoption.Event]] = []
        self.commit_statuses: dict[str, commit.Status] = {}
        self.requested_shares: dict[str, tuple[str, int]] = {}
        self._rng = random.Random(0)

    def pass_time(self, seconds: float) -> None:
        """Advances the clock and sends a tick to each running daemon."""
        self.now_s += seconds
        for daemon in range(len(self.states)):
            if daemon not in self.paused:
                self._step_adoption(daemon, adoption.Tick())

    def read_head(self, daemon: int, delay_s: float) -> None:
        """A daemon reads the head with a read that it sent `delay_s` ago."""
        if daemon in self.paused:
            return
        if daemon in self.daemons_without_store:
            self._step_adoption(daemon, adoption.HeadUnavailable())
            return
        head = commit.Head(len(self.accepted_revisions),
                           len(self.accepted_revisions),
                           self._document_name(len(self.accepted_revisions)))
        self.messages.append(
            (daemon,
             adoption.HeadRead(head.revision, head.document_name,
                               self.now_s - delay_s)))

    def check_majority(self, daemon: int) -> None:
        """Reports to a daemon whether it and its peers form a majority."""
        if daemon in self.paused:
            return
        peers = self._reachable_peers(daemon)
        highest = max((self.states[peer].revision for peer in peers), default=0)
        self._step_adoption(
            daemon,
            adoption.MajorityChecked(2 * (len(peers) + 1) > len(self.states),
                                     highest))

    def deliver_message(self, index: int, is_kept: bool) -> None:
        """Delivers a message; a kept message can arrive again later."""
        if not self.messages:
            return
        index %= len(self.messages)
        daemon, event = self.messages[index]
        if daemon in self.paused:
            return
        if not is_kept:
            del self.messages[index]
        self._step_adoption(daemon, event)

    def deliver_all_messages(self, daemon: int) -> None:
        """Delivers a daemon's messages in order until none is left."""
        if daemon in self.paused:
            return
        while any(peer == daemon for peer, _ in self.messages):
            index = [peer for peer, _ in self.messages].index(daemon)
            self.deliver_message(index, False)

    def begin_commit(self, daemon: int, workspace: int, share: int) -> None:
        """An operator sends a change of a workspace's share to a daemon."""
        if daemon in self.paused:
            return
        state = self.states[daemon]
        name = _WORKSPACES[workspace % len(_WORKSPACES)]
        commit_id = f"c{len(self.requested_shares) + 1}"
        self.requested_shares[commit_id] = (name, share)
        document = _replace_share(state.document or _make_initial_document(),
                                  name, share)
        change = commit.Change(commit_id, state.revision, document, "ana", "")
        self.pending_commits.append(
            _PendingCommit(daemon, change,
                           commit.Begin(state.is_majority_heard)))

    def advance_commit(self, index: int, fate: Fate) -> None:
        """Advances a commit by one step unless its daemon is paused."""
        if not self.pending_commits:
            return
        item = self.pending_commits[index % len(self.pending_commits)]
        if item.daemon in self.paused:
            return
        if item.event is not None:
            item.state, commands = commit.step(item.state, item.event,
                                               self.now_s, self._rng)
            item.event, item.command = None, commands[0]
        elif isinstance(item.command, commit.Done):
            self._end_commit(item, item.command)
        elif item.command is not None:
            item.event = self._execute_commit_command(item, item.command, fate)

    def apply_delayed_transaction(self, index: int) -> None:
        """A delayed transaction reaches the store."""
        if self.delayed_transactions:
            self._apply_transaction(
                self.delayed_transactions.pop(index %
                                              len(self.delayed_transactions)))

    def restart_daemon(self, daemon: int) -> None:
        """A daemon dies and starts again without a configuration."""
        self.states[daemon] = adoption.State()
        self.paused.discard(daemon)
        self.last_connected_s[daemon] = self.now_s
        self.pending_commits = [
            item for item in self.pending_commits if item.daemon != daemon
        ]
        self.messages = [item for item in self.messages if item[0] != daemon]

    def set_link_down(self, daemon: int, is_store: bool, is_down: bool) -> None:
        """Breaks or restores a daemon's link to the store or to all peers."""
        disconnected = (self.daemons_without_store
                        if is_store else self.daemons_without_peers)
        (disconnected.add if is_down else disconnected.discard)(daemon)
        if not self._is_isolated(daemon):
            self.last_connected_s[daemon] = self.now_s
        for peer in range(len(self.states)):
            self.check_majority(peer)

    def restore_all(self) -> None:
        """Restores all links and resumes all paused daemons."""
        self.paused.clear()
        for daemon in range(len(self.states)):
            self.set_link_down(daemon, True, False)
            self.set_link_down(daemon, False, False)

    def check_guarantees(self) -> None:
        """Raises AssertionError if a guarantee is broken."""
        names = [name for name, _ in self.accepted_revisions]
        assert len(set(names)) == len(names), "a commit was accepted twice"
        for daemon, state in enumerate(self.states):
            if state.revision:
                assert difference.is_same(
                    state.document,
                    self.accepted_revisions[state.revision - 1][1]), (
                        f"daemon {daemon} holds another revision "
                        f"{state.revision}")
            if (daemon not in self.paused and self._is_isolated(daemon) and
                    self.now_s - self.last_connected_s[daemon]
                    > adoption.FRESHNESS_TIMEOUT_S):
                assert not state.is_serving, (
                    f"daemon {daemon} serves but is isolated")
        for name, status in self.commit_statuses.items():
            assert status == commit.Status.UNKNOWN or (
                status == commit.Status.ACCEPTED) == (name in names), (
                    f"commit {name} ended with wrong status {status}")
        before = _make_initial_document()
        for name, document in self.accepted_revisions:
            workspace, share = self.requested_shares[name]
            assert difference.is_same(
                document,
                _replace_share(before, workspace,
                               share)), (f"commit {name} lost a change")
            before = document

    def _step_adoption(self, daemon: int, event: adoption.Event) -> None:
        before = self.states[daemon]
        if (self.fault == Fault.ADOPT_ANY and
                isinstance(event, adoption.DocumentReceived)):
            self.states[daemon] = before._replace(revision=0)
        if self.fault == Fault.SERVE_ISOLATED and isinstance(
                event, adoption.HeadUnavailable):
            event = adoption.HeadRead(before.highest_revision, "", self.now_s)
        self.states[daemon], commands = adoption.step(self.states[daemon],
                                                      event, self.now_s)
        assert self.states[daemon].revision >= before.revision, (
            f"daemon {daemon} reverted to an older revision")
        for command in commands:
            self._execute_adoption_command(daemon, command)

    def _execute_adoption_command(self, daemon: int,
                                  command: adoption.Command) -> None:
        assert not isinstance(command, adoption.Restore), (
            f"daemon {daemon} restores a revision that the store has")
        if isinstance(command, adoption.Adopt) and command.change is not None:
            self._send_to_peers(daemon, command.change)
        elif isinstance(command, adoption.FetchFromStore):
            if daemon not in self.daemons_without_store:
                self.messages.append((daemon,
                                      adoption.DocumentReceived(
                                          command.revision,
                                          self.objects[command.document_name])))
        elif isinstance(command, adoption.RequestFromPeers):
            for peer in self._reachable_peers(daemon):
                state = self.states[peer]
                if state.revision:
                    self.messages.append(
                        (daemon,
                         adoption.DocumentReceived(state.revision,
                                                   state.document)))

    def _send_to_peers(self, daemon: int,
                       change: adoption.ChangeReceived) -> None:
        self.messages.extend(
            (peer, change) for peer in self._reachable_peers(daemon))

    def _execute_commit_command(self, item: _PendingCommit,
                                command: commit.Command,
                                fate: Fate) -> commit.Event:
        if isinstance(command, commit.Transact):
            return self._execute_transaction(
                command, Fate.REFUSED
                if item.daemon in self.daemons_without_store else fate)
        if fate == Fate.REFUSED or item.daemon in self.daemons_without_store:
            return commit.OperationFailed("store is unavailable")
        match command:
            case commit.ReadHead():
                revision = len(self.accepted_revisions)
                return commit.HeadRead(
                    commit.Head(revision, revision,
                                self._document_name(revision)))
            case commit.FetchRevision(revision):
                return commit.RevisionFetched(
                    revision, self.accepted_revisions[revision - 1][1])
            case commit.PutObject(name, document):
                self.objects[name] = document
        return commit.ObjectStored(self.states[item.daemon].is_majority_heard)

    def _execute_transaction(self, command: commit.Transact,
                             fate: Fate) -> commit.TransactEnded:
        if fate == Fate.REFUSED:
            return commit.TransactEnded(False)
        if fate in (Fate.LATE, Fate.TWICE):
            self.delayed_transactions.append(command)
        if fate in (Fate.DONE, Fate.TWICE):
            return self._apply_transaction(command)
        if fate == Fate.LOST_AFTER:
            self._apply_transaction(command)
        return commit.TransactEnded(None)

    def _apply_transaction(self,
                           command: commit.Transact) -> commit.TransactEnded:
        revision = command.head["revision"]
        commit_id = command.head["commit_id"]
        if command.head_version != len(self.accepted_revisions):
            if self.fault != Fault.BLIND_COMMIT:
                winner = self.accepted_revisions[
                    revision -
                    1][0] if revision <= len(self.accepted_revisions) else None
                return commit.TransactEnded(False, True, winner)
        self.accepted_revisions.append(
            (commit_id, self.objects[command.head["document_name"]]))
        return commit.TransactEnded(True)

    def _end_commit(self, item: _PendingCommit, done: commit.Done) -> None:
        self.pending_commits.remove(item)
        self.commit_statuses[item.state.change.commit_id] = done.status
        if done.status == commit.Status.ACCEPTED:
            self._step_adoption(
                item.daemon,
                adoption.ChangeReceived(done.revision, done.base_revision,
                                        done.edits))

    def _reachable_peers(self, daemon: int) -> list[int]:
        if daemon in self.daemons_without_peers:
            return []
        return [
            peer for peer in range(len(self.states))
            if peer not in self.daemons_without_peers | self.paused | {daemon}
        ]

    def _is_isolated(self, daemon: int) -> bool:
        return (daemon in self.daemons_without_store and
                daemon in self.daemons_without_peers)

    def _document_name(self, revision: int) -> str:
        return (f"config/{revision}-{self.accepted_revisions[revision - 1][0]}"
                if revision else "")


def _make_initial_document() -> difference.Json:
    return {
        "inventory": {
            "places": [],
            "services": [],
            "request_kinds": [],
            "workspaces": [{
                "name": name,
                "share": 1,
                "key_sha256": []
            } for name in _WORKSPACES]
        },
        "rules": {}
    }


def _replace_share(document: difference.Json, name: str,
                   share: int) -> difference.Json:
    path = ("inventory", "workspaces", name, "share")
    operation = typing.cast(typing.Literal["set"], "set")
    return difference.apply(document, [difference.Edit(operation, path, share)])
