"""Which runs the successor of an agent finds, and whether it may be judged.

A successor renews what its predecessor ordered. Whether it can depends on
more than the agent: so only what nothing else disturbs is judged.
"""

import asyncio
import contextlib

from ferryledge.platform import standin as platform_standin
from ferryledge.soak import _judge
from ferryledge.soak import _plan
from ferryledge.soak import _processes

#: Seconds without another fault before and after an agent's end: longer
#: than any fault lasts and its traces do.
_QUIET_S = 5.0
#: Seconds within which a successor is expected to renew for the first time.
_START_S = 5.0
_POLL_S = 0.01
#: By how many seconds a timer may be late before nothing is judged: leases
#: are renewed more often than that, and a busy machine may stop them.
_STALL_S = 0.15


def is_quiet(plan: _plan.Plan, fault: _plan.Fault) -> bool:
    """Return whether nothing else goes wrong around a fault."""
    return all(
        other is fault
        or other.at + other.for_s < fault.at - _QUIET_S
        or other.at > fault.at + _QUIET_S
        for other in plan.faults
    )


class Adoption:
    """Tells the judge what successors find.

    :param judge: the judge
    """

    def __init__(self, judge: _judge.Judge) -> None:
        self._judge = judge

    async def watch_machine(self) -> None:
        """Let the judge forget what was found whenever the machine stalls."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + _POLL_S
            await asyncio.sleep(_POLL_S)
            if loop.time() - due_at > _STALL_S:
                self._judge.forget_found()

    async def watch_successor(
        self,
        program: _processes.Program,
        lives: int,
        endpoint: platform_standin.EndpointServer,
    ) -> None:
        """Note what the successor of an agent finds at its endpoint.

        :param program: the agent
        :param lives: starts of it before it was ended
        :param endpoint: the endpoint beside it
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_S):
                while program.lives == lives:
                    await asyncio.sleep(_POLL_S)
                renewals = endpoint.renewals
                while endpoint.renewals == renewals:
                    await asyncio.sleep(_POLL_S)
            self._judge.found(endpoint.model.runs)
