"""A machine that owned the work is removed for good. Long after that a worker
is lost and the present owner is stopped as planned."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import platform_standins as platform  # noqa: E402
import takeover  # noqa: E402

# After the removal; more than the 8 s for which an owner acts on without the store.
SETTLE_S = 15


async def case(record, trouble):
    installation = platform.Installation(record, takeover.NODES, takeover.WORKERS)
    try:
        await takeover.start_standing_job(installation)
        if trouble:
            await takeover.remove_owner(installation)
        await asyncio.sleep(SETTLE_S)
        tasks, expiry = await takeover.lose_worker(installation)
        lost = time.monotonic()
        await asyncio.sleep(1)
        node = await takeover.wait_for_owner(installation, None)
        node.terminate()

        def calm_at():
            if node.process.poll() is None:
                return None
            node.start()
            return max(time.monotonic(), lost + takeover.ENTRY_S)

        held = await takeover.wait_for_runs(installation, record, tasks, lost, calm_at)
        await expiry
        return held
    finally:
        installation.stop()


sys.exit(platform.main(case, FOLDER))
