"""The parts stand alone: examples run, imports stay light."""

import pathlib
import re
import subprocess
import sys

import pytest

import ferryledge

ROOT = pathlib.Path(ferryledge.__file__).parent
DOCS = ROOT.parents[1] / "docs"
PARTS = ("configlog", "health", "ledger", "limits", "placement", "policy")
FORBIDDEN = ("agent", "cli", "client", "core", "entry", "runtime", "wire")
EXAMPLES = re.findall(
    r"```python\n(.*?)```", (DOCS / "library.md").read_text(), re.DOTALL
)


@pytest.mark.parametrize("number", range(len(EXAMPLES)))
def test_examples_of_the_page(number):
    exec(compile(EXAMPLES[number], f"example {number}", "exec"), {})


@pytest.mark.parametrize("part", PARTS)
def test_a_part_imports_no_daemon(part):
    code = (
        f"import sys; import ferryledge.{part}\nprint('\\n'.join(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    modules = set(done.stdout.split())
    unwanted = {f"ferryledge.{name}" for name in FORBIDDEN}
    unwanted |= {"anyio", "uvicorn", "httpcore", "asyncio"}
    assert modules & unwanted == set()


def test_only_modules_are_imported():
    """OpenStack's rule: import modules, not names."""
    wrong = []
    for path in ROOT.rglob("*.py"):
        for line in path.read_text().splitlines():
            found = re.match(r"from (ferryledge[\w.]*) import (\w+)$", line)
            if found is None:
                continue
            place = ROOT.parent / found[1].replace(".", "/")
            module = place / f"{found[2]}.py"
            package = place / found[2] / "__init__.py"
            if not (module.exists() or package.exists()):
                wrong.append(f"{path.name}: {line}")
    assert wrong == []
