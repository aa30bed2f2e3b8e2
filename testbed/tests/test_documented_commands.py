"""Guards against documentation that differs from the program.

Each documented command must succeed, and the pages of settings and metrics must
list what the program has.
"""

import argparse
import os
import pathlib
import re
import shlex
import signal
import subprocess
import sys

from prometheus_client import parser
import pytest

from persimmonspan.process import metrics
from persimmonspan.process import settings
from testbed import deployment
from testbed import processes

_ROOT = pathlib.Path(__file__).parents[2]
_PAGES = [_ROOT / "README.md", *sorted(_ROOT.glob("docs/operating/*.md"))]
_DOCUMENTED_ADDRESS = "127.0.0.1:8080"
_BLOCK = re.compile(r"(?:^    .*\n?)+|^```\w*\n(?:.*\n)*?```", re.MULTILINE)
_WATCH_DURATION_S = 3.0


def _commands(text):
    """Returns the argument lists of commands in indented and fenced blocks.

    An open quote or a backslash continues a command on the next line.
    """
    commands = []
    for block in _BLOCK.findall(text):
        pending = ""
        for line in block.splitlines():
            pending += line.strip() + "\n"
            if not pending.startswith(("persimmonspan ", "curl ")):
                pending = ""
                continue
            try:
                arguments = shlex.split(pending.replace("\\\n", " "))
            except ValueError:
                continue
            if not line.endswith("\\"):
                commands.append(arguments)
                pending = ""
    return commands


def _run(arguments, directory, address):
    """Runs a command, and stops `serve` and `--watch`, which do not end.

    Returns the exit code and the output.
    """
    port = processes.free_port()
    arguments = [
        item.replace(_DOCUMENTED_ADDRESS, address) for item in arguments
    ]
    if arguments[0] == "persimmonspan":
        arguments = [sys.executable, "-m", *arguments]
    environment = os.environ | {
        "PYTHONPATH": str(_ROOT),
        settings.variable_name("--daemon"): address,
        settings.variable_name("--token"): deployment.OPERATOR_TOKEN,
        settings.variable_name("--listen-address"): f"127.0.0.1:{port}"
    }
    with subprocess.Popen(arguments,
                          cwd=directory,
                          env=environment,
                          stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT) as process:
        try:
            if "serve" in arguments:
                processes.wait_for_port(port, process)
                process.send_signal(signal.SIGTERM)
            elif "--watch" in arguments:
                try:
                    process.wait(_WATCH_DURATION_S)
                except subprocess.TimeoutExpired:
                    process.send_signal(signal.SIGINT)
            output, _ = process.communicate(timeout=30)
        finally:
            process.kill()
    return process.returncode, output


def test_block_reader_joins_continued_lines():
    text = "a\n\n    curl x \\\n      -d '{\n      }'\n    cp a b\n"
    text += "\n```sh\npersimmonspan check a\n```\n"
    assert _commands(text) == [["curl", "x", "-d", "{\n}"],
                               ["persimmonspan", "check", "a"]]


@pytest.fixture(name="interruptible")
def _interruptible():
    """Lets the commands be interrupted, also if this process ignores SIGINT."""
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, before)


@pytest.mark.usefixtures("interruptible")
def test_each_documented_command_succeeds(tmp_path):
    commands = [(page.name, arguments)
                for page in _PAGES
                for arguments in _commands(page.read_text(encoding="utf-8"))]
    shown = {(arguments[0], arguments[1]) for _, arguments in commands}
    assert {("persimmonspan", "check"), ("persimmonspan", "serve"),
            ("persimmonspan", "status")} <= shown
    assert any(program == "curl" for program, _ in shown)
    with deployment.running(deployment.Plan(
            daemons=1, directory=str(tmp_path))) as running:
        failed = []
        for page, arguments in commands:
            code, output = _run(arguments, tmp_path, running.daemons[0].address)
            if code:
                failed.append((page, arguments, code, output.decode()))
    assert not failed


def test_settings_page_names_each_flag_variable_and_default():
    page = (_ROOT / "docs/operating/settings.md").read_text(encoding="utf-8")
    rows = [row.split(" | ")[:3] for row in page.splitlines() if "| `--" in row]
    flags = argparse.ArgumentParser()
    settings.add_arguments(flags)
    expected = []
    for name in settings.Settings._fields:
        flag = "--" + name.replace("_", "-")
        default = flags.get_default(name)
        expected.append([
            f"| `{flag}`", f"`{settings.variable_name(flag)}`",
            "none" if default is None else f"`{default}`"
        ])
    assert rows == expected


def test_metrics_page_names_each_metric():
    page = (_ROOT / "docs/operating/metrics.md").read_text(encoding="utf-8")
    counters = metrics.Metrics()
    counters.count("retry")
    families = parser.text_string_to_metric_families(
        counters.exposition().decode())
    names = {
        sample.name.removesuffix("_count").removesuffix("_sum")
        for family in families
        for sample in family.samples
        if not sample.name.endswith("_created")
    }
    assert names == set(
        re.findall(r"^\| `(\w+)(?:\{\w+\})?` \| (?:counter|gauge|summary) ",
                   page, re.MULTILINE))
