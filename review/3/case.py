"""A worker is lost for good, and at the same time the machine that owns the work."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import platform_standins as platform  # noqa: E402
import takeover  # noqa: E402


async def case(record, trouble):
    installation = platform.Installation(record, takeover.NODES, takeover.WORKERS)
    try:
        await takeover.start_standing_job(installation)
        await asyncio.sleep(8)
        tasks, expiry = await takeover.lose_worker(installation)
        lost = time.monotonic()
        await asyncio.sleep(0.3)
        if trouble:
            await takeover.remove_owner(installation)
        held = await takeover.wait_for_runs(installation, record, tasks, lost,
                                            lambda: lost + takeover.ENTRY_S)
        await expiry
        return held
    finally:
        installation.stop()


sys.exit(platform.main(case, FOLDER))
