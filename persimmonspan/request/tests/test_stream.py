"""Tests exactly-once delivery in order from a single generation."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from persimmonspan.request import stream

_TOKENS = 12


class StreamMachine(stateful.RuleBasedStateMachine):
    """Checks that the delivered texts are a prefix of one generation."""

    def __init__(self):
        super().__init__()
        self.state = stream.State("r", "g")
        self.delivered = []
        self.ending = None
        self.position = 0  # Next index on the current connection.
        self.count_commands = 0

    def _step(self, event):
        old = self.state
        self.state, commands = stream.step(self.state, event, 0.0, None)
        if self.ending is not None:
            assert self.state == old
            assert all(isinstance(c, stream.Count) for c in commands)
        for command in commands:
            match command:
                case stream.Deliver(text):
                    self.delivered.append(text)
                case stream.Resume(from_index):
                    assert from_index == len(self.delivered)
                    self.position = from_index
                case stream.End(ending):
                    assert self.ending is None
                    self.ending = ending
                case stream.Count():
                    self.count_commands += 1

    def _token(self, index, request="r", generation="g"):
        finish = "stop" if index == _TOKENS - 1 else None
        self._step(
            stream.TokenReceived(request, generation, index, f"t{index}",
                                 finish))

    @stateful.rule(count=strategies.integers(1, 4))
    def receive(self, count):
        for _ in range(count):
            if self.position < _TOKENS and self.ending is None:
                self.position += 1
                self._token(self.position - 1)

    @stateful.rule(index=strategies.integers(0, _TOKENS - 1),
                   request=strategies.sampled_from(["r", "other"]),
                   generation=strategies.sampled_from(["g", "other"]))
    def receive_stray(self, index, request, generation):
        """Receives any token: expected, crossed, repeated, early or foreign."""
        expected = (request, generation, index) == ("r", "g",
                                                    len(self.delivered))
        count_commands = self.count_commands
        self._token(index, request, generation)
        assert expected or self.count_commands > count_commands
        self.position = len(self.delivered)

    @stateful.rule(reason=strategies.sampled_from(stream.BreakReason))
    def break_off(self, reason):
        count_commands = self.count_commands
        self._step(stream.ConnectionBroken(reason))
        assert self.count_commands > count_commands

    @stateful.rule()
    def lose_engine(self):
        self._step(stream.GenerationUnknown())
        assert self.ending is not None

    @stateful.invariant()
    def delivered_is_a_prefix(self):
        assert self.delivered == [f"t{i}" for i in range(len(self.delivered))]
        match self.ending:
            case stream.Ending.FINISHED:
                assert len(self.delivered) == _TOKENS
            case stream.Ending.LOST:
                assert not self.delivered
            case stream.Ending.CUT:
                assert 0 < len(self.delivered) < _TOKENS
            case _:
                assert len(self.delivered) < _TOKENS


TestStream = StreamMachine.TestCase
TestStream.settings = hypothesis.settings(max_examples=150,
                                          stateful_step_count=30,
                                          derandomize=True,
                                          deadline=None)


def test_engine_that_sends_no_token_is_abandoned():
    # Guards against endless resumes on an engine that hangs.
    state = stream.State("r", "g")
    resumes = 0
    while state.ending is None:
        state, commands = stream.step(
            state, stream.ConnectionBroken(stream.BreakReason.SILENT), 0.0,
            None)
        resumes += any(isinstance(c, stream.Resume) for c in commands)
    assert resumes == stream.MAX_RESUMES_WITHOUT_TOKEN
    assert state.ending is stream.Ending.LOST
