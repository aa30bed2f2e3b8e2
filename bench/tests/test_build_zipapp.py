"""Guards the shipped file: it is whole and starts no other process."""

import contextlib
import os
import pathlib
import subprocess
import sys

import urllib3

from bench import build_zipapp
from testbed import processes

_SAMPLES = pathlib.Path(__file__).parents[2] / "samples"


def _children(pid):
    return [
        child for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
        for child in (task / "children").read_text().split()
    ]


def test_shipped_file_serves_as_one_process(tmp_path):
    # Guards against a library that is missing, and against child processes.
    file = tmp_path / "persimmonspan.pyz"
    build_zipapp.build(file)
    port = processes.free_port()
    environment = {**os.environ, "SHIV_ROOT": str(tmp_path / "shiv")}
    environment.pop("PYTHONPATH", None)
    # -S: without the libraries that are installed here.
    command = [
        sys.executable, "-S",
        str(file), "serve", "--listen-address", f"127.0.0.1:{port}",
        "--inventory",
        str(_SAMPLES / "plaza-verde-inventory.json"), "--max-streams", "4"
    ]
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(
            subprocess.Popen(command, env=environment, cwd=tmp_path))
        stack.callback(process.kill)
        processes.wait_for_port(port, process)
        url = f"http://127.0.0.1:{port}"
        assert urllib3.request("GET", f"{url}/readyz").status == 200
        # No engine runs, so this walks through connecting and retrying.
        response = urllib3.request(
            "POST",
            f"{url}/v1/completions",
            json={"prompt": "fair"},
            headers={"Authorization": "Bearer demo-miraflores"})
        assert response.json()["error"]["run_state"] == "not_run"
        assert not _children(process.pid)
        process.terminate()
        assert process.wait(20) == 0
