"""Builds the one shipped file: `python -m bench.build_zipapp`.

shiv puts the package and its libraries into `dist/persimmonspan.pyz`. The
libraries are copied from the environment that runs this command, so the build
needs no network and ships what was tested.
"""

import argparse
import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

_PACKAGE = "persimmonspan"
_OUT = pathlib.Path("dist/persimmonspan.pyz")
_NAME = re.compile(r"[A-Za-z0-9._-]+")


def main() -> None:
    """Builds the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, default=_OUT)
    build(parser.parse_args().out)


def build(out: pathlib.Path) -> None:
    """Writes the zipapp.

    Args:
        out: File to write.

    Raises:
        subprocess.CalledProcessError: shiv failed.
    """
    out.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        packages = pathlib.Path(folder)
        for name in sorted(_libraries()):
            _copy(name, packages)
        shutil.copytree(pathlib.Path(__file__).parents[1] / _PACKAGE,
                        packages / _PACKAGE,
                        ignore=shutil.ignore_patterns("tests", "__pycache__",
                                                      "conftest.py"))
        subprocess.run([
            sys.executable, "-m", "shiv", "--site-packages", folder,
            "--entry-point", f"{_PACKAGE}.process.cli:main", "--python",
            "/usr/bin/env python3.11", "--reproducible", "--no-modify",
            "--output-file",
            str(out)
        ],
                       check=True)


def _libraries() -> set[str]:
    """Returns the libraries that the package needs, with theirs."""
    project = pathlib.Path(__file__).parents[1] / "pyproject.toml"
    listed = re.search(r"^dependencies = \[(.*?)^\]",
                       project.read_text(encoding="utf-8"), re.M | re.S)
    if listed is None:
        raise ValueError(f"no dependencies in {project}")
    waiting = re.findall(r'"([A-Za-z0-9._-]+)', listed[1])
    found: set[str] = set()
    while waiting:
        name = waiting.pop().lower().replace("_", "-")
        if name not in found:
            found.add(name)
            waiting += [
                match[0]
                for need in importlib.metadata.requires(name) or ()
                if (match := _NAME.match(need)) and _is_needed(need)
            ]
    return found


def _is_needed(requirement: str) -> bool:
    """Returns whether a requirement holds here: no extra, no old Python."""
    marker = requirement.partition(";")[2]
    if not marker:
        return True
    # The markers of our libraries name extras, other implementations of Python
    # and versions before 3.11, none of which applies; numbers of later
    # versions are met if the library is installed.
    if "extra" in marker or "pypy" in marker:
        return False
    name = _NAME.match(requirement)
    try:
        importlib.metadata.distribution(name[0] if name else "")
    except importlib.metadata.PackageNotFoundError:
        return False
    return True


def _copy(name: str, packages: pathlib.Path) -> None:
    distribution = importlib.metadata.distribution(name)
    for file in distribution.files or ():
        source = pathlib.Path(str(distribution.locate_file(file)))
        if ".." in file.parts or "__pycache__" in file.parts:
            continue  # Scripts outside of the packages.
        target = packages / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(source, target)


if __name__ == "__main__":
    main()
