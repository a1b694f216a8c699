"""How long a request waits for targets whose links have gone silent."""

from ibishead.entry.agents import REDIAL_INTERVAL
from ibishead.entry.dispatching import REACH_PATIENCE
from ibishead.entry.placing import SUSPECT_AFTER
from ibishead.links import TICKS_PER_INTERVAL
from ibishead.session import HEARTBEAT_INTERVAL, SILENCE_LIMIT


def test_a_request_outlasts_the_time_until_a_silent_link_is_dialled_anew():
    """The only target is refused as none while its link waits to be given up."""
    given_up = (
        SILENCE_LIMIT + HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / TICKS_PER_INTERVAL
    )
    assert given_up - SUSPECT_AFTER + REDIAL_INTERVAL <= REACH_PATIENCE
