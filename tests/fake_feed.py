"""A registry feed without registries."""

from ibishead.routing.targets import TargetView


class FakeFeed:
    """A view of targets, the blocked parts, and the messages sent to the registries."""

    def __init__(self, *blocked):
        self.view = TargetView()
        self.blocked = {found.part: found for found in blocked}
        self.sent = []

    def broadcast(self, message):
        self.sent.append(message)
