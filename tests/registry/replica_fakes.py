"""A replica of the log that is always alone."""

from ibishead.errors import ErrorCode, Unavailable


class FakeReplica:
    """Applies each command at once, unless it has no quorum."""

    def __init__(self, state):
        self.state, self.leads, self.index, self.failures = state, True, 0, 0
        self.commands: list[bytes] = []

    def is_leader(self):
        return self.leads

    async def propose(self, command, *, applied=True):
        if self.failures:
            self.failures -= 1
            raise Unavailable("no quorum", "wait", code=ErrorCode.NO_QUORUM)
        self.index += 1
        self.commands.append(command)
        return self.state.apply(self.index, command)
