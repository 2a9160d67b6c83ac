# SPDX-License-Identifier: BSD-3-Clause
"""Model checking of the core protocols with spin: ``python tools/model.py [--mutants]``.

Without an option, searches every bounded configuration exhaustively. With
``--mutants``, searches mutants of the specification, each of which must violate an
assertion. Prints one line for each search; exits with 1 if a result is unexpected.
"""

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "model"
WORKERS = 4
# Seconds for each command of a search.
SEARCH_TIMEOUT = 400
EXIT_MISSING = 2


class Search:
    """A specification with the bounds of its state space.

    Parameters
    ----------
    model : str
        Name of the Promela file.
    bounds : dict of str to int
        Values of the file's macros.
    """

    __slots__ = ("bounds", "model")

    def __init__(self, model: str, **bounds: int):
        self.model = model
        self.bounds = bounds


def _rollout(terms: int, submissions: int, length: int, daemons: int) -> Search:
    return Search("rollout.pml", TERMS=terms, SUBMISSIONS=submissions, LENGTH=length, DAEMONS=daemons)


CONFIGURATIONS = {
    "one daemon, two terms": _rollout(2, 1, 4, 1),
    "two daemons, two terms": _rollout(2, 1, 4, 2),
    "two daemons, racing submissions": _rollout(1, 2, 6, 2),
    "canary, two daemons": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary, three daemons": Search("canary.pml", DAEMONS=3, STEPS=3),
    "quota, two leaders": Search("quota.pml", STEPS=8),
}
MUTANTS = {
    "NO_QUORUM": _rollout(2, 1, 4, 1),
    "NO_FENCING": _rollout(2, 1, 4, 1),
    "LEARNER_VOTES": _rollout(2, 1, 4, 1),
    "NO_FLOOR": _rollout(2, 1, 4, 1),
    "EARLY_ACCEPT": _rollout(1, 1, 4, 2),
    "REUSED_NUMBER": _rollout(1, 2, 6, 1),
    "REACHED": _rollout(2, 1, 4, 2),
    "canary UNCHECKED_STEP": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary OLDER_PLAN": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary NO_CONFIRMATION": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary FORMER_STEP": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary NO_FLOOR": Search("canary.pml", DAEMONS=2, STEPS=4),
    "canary REACHED": Search("canary.pml", DAEMONS=2, STEPS=4),
    "quota ANSWER_TIME": Search("quota.pml", STEPS=8),
    "quota ANY_MESSAGE": Search("quota.pml", STEPS=8),
    "quota NEW_LEADER_TRUSTS": Search("quota.pml", STEPS=8),
    "quota NO_WAIT": Search("quota.pml", STEPS=8),
    "quota OLD_LOOK": Search("quota.pml", STEPS=8),
    "quota REACHED": Search("quota.pml", STEPS=8),
}


def main() -> int:
    """Run the searches; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mutants", action="store_true", help="check that every mutant violates an assertion")
    is_mutants = parser.parse_args().mutants
    missing = [tool for tool in ("spin", "gcc") if shutil.which(tool) is None]
    if missing:
        print(f"missing: {', '.join(missing)} (on Debian: apt-get install {' '.join(missing)})")
        return EXIT_MISSING
    searches = MUTANTS if is_mutants else CONFIGURATIONS
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(lambda name: _search(name, searches[name], is_mutants), searches))
    for _, line in results:
        print(line)
    passed = sum(is_expected for is_expected, _ in results)
    print(f"{passed} passed, {len(results) - passed} failed")
    return 0 if passed == len(results) else 1


def _search(name: str, search: Search, is_mutant: bool) -> tuple[bool, str]:
    """Run one search; return whether its result is the expected one, and a line to print."""
    flags = [f"-D{macro}={value}" for macro, value in search.bounds.items()]
    if is_mutant:
        flags.append(f"-D{name.split()[-1]}")
    model = FOLDER / search.model
    with tempfile.TemporaryDirectory() as folder:
        shutil.copy(model, folder)
        _run(["spin", "-a", *flags, model.name], folder)
        _run(["gcc", "-O2", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=4000", "-o", "pan", "pan.c"], folder)
        output = _run(["./pan", "-m200000", "-w24"], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    is_complete = "Search not completed" not in output and "max search depth too small" not in output
    has_error = errors is not None and int(errors.group(1)) > 0
    is_expected = has_error if is_mutant else errors is not None and not has_error and is_complete
    violation = re.search(r"assertion violated (.*) \(at depth (\d+)\)", output)
    result = f"found at depth {violation.group(2)}: {violation.group(1)}" if violation else "no error"
    count = states.group(1) if states else "?"
    return is_expected, f"{'ok  ' if is_expected else 'FAIL'} {name}: {result}, {count} states"


def _run(command: list[str], folder: str) -> str:
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False, timeout=SEARCH_TIMEOUT)
    return done.stdout + done.stderr


if __name__ == "__main__":
    sys.exit(main())
