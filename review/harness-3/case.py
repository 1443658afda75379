"""Runs a case: sets up its record and its end, and returns its exit code."""

import asyncio
import os
import pathlib
import sys
import traceback

import deployment

HELD = 0
BROKEN = 1
CANT_RUN = 2
_LIMIT_S = 110.0


def run(case_path, play, **options):
    """Play a case and exit with its result.

    :param case_path: the path of the case's module, beside its record
    :param play: given the deployment and whether the disruption is wanted,
        returns the ways in which the rule was broken
    :param options: what the deployment consists of
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployment.Record(pathlib.Path(case_path).parent / "record.txt")
    record("case", trouble=int(trouble))
    try:
        code = asyncio.run(_run(record, play, trouble, options))
    except deployment.CantRunError as exc:
        record("can't run", reason=exc)
        print(f"can't run: {exc}")
        code = CANT_RUN
    except Exception:
        record("can't run", reason=traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
        code = CANT_RUN
    sys.exit(code)


async def _run(record, play, trouble, options):
    lab = deployment.Deployment(record, **options)
    try:
        broken = await asyncio.wait_for(play(lab, trouble), _LIMIT_S)
    except TimeoutError as exc:
        raise deployment.CantRunError("took too long") from exc
    finally:
        lab.end()
    for line in broken:
        record("rule broken", how=line)
        print(f"broken: {line}")
    if not broken:
        record("rule held")
        print("held")
    return BROKEN if broken else HELD
