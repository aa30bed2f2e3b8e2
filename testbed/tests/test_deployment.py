"""Guards the promises in a whole deployment of processes with faults.

Daemons use the table service, the object store and the links between them.
"""

from persimmonspan.process import cli
from testbed import demo
from testbed import deployment


def test_every_promise_holds_during_configuration_changes_and_faults():
    assert demo.run(rate_per_s=12.0, duration_s=8.0, seed=5) == 0


def test_operator_commands_against_a_running_daemon(tmp_path, capsys):
    plan = deployment.Plan(daemons=2, directory=str(tmp_path))
    with deployment.running(plan) as running:
        access = [
            "--daemon", running.daemons[0].address, "--token",
            deployment.OPERATOR_TOKEN
        ]
        assert cli.main(["status", *access]) == 0
        assert "permit-model-1" in capsys.readouterr().out
        assert cli.main(["drain", "target", "permit-model-1", *access]) == 0
        assert "accepted" in capsys.readouterr().out
        assert cli.main(["audit", *access]) == 0
        assert "duty-operator" in capsys.readouterr().out
        assert cli.main(["keys", "surco", *access]) == 0
        assert "psk_" in capsys.readouterr().out
        files = [str(tmp_path / "inventory.json"), str(tmp_path / "rules.json")]
        stale = ["--base-revision", "1"]
        assert cli.main(["apply", *files, "--dry-run", *stale, *access]) == 0
        assert "dry run" in capsys.readouterr().out
        assert cli.main(["outcomes", *access]) == 0
        assert cli.main(["quarantine", *access]) == 0
        assert cli.main(["explain", "nothing", *access]) == 0
        assert cli.main(["status", "--daemon", "127.0.0.1:1"]) == 5
