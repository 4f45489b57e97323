import subprocess
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path
from unittest import mock

from netplay import process_group

# A leader with one child process. SIGTERM ends the leader at once and is handled by the child as its argument says:
# "cleans_up" takes a moment to write a file, "ignores" runs on. The child holds memory that takes time to be released.
LEADER = textwrap.dedent('''\
    import os, signal, sys, time
    behaviour, folder = sys.argv[1:]
    def clean_up(*_):
        time.sleep(0.3)
        open(f"{folder}/cleaned-up", "w").close()
        os._exit(0)
    if os.fork() == 0:
        signal.signal(signal.SIGTERM, clean_up if behaviour == "cleans_up" else signal.SIG_IGN)
        memory = b"x" * (64 << 20)
        print(os.getpid(), flush=True)
    while True:
        signal.pause()
''')


def is_alive(pid: int) -> bool:
    """Whether a process still runs; a zombie process does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


class Terminate(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, behaviour: str) -> tuple["subprocess.Popen[bytes]", int]:
        """Starts a leader and waits until its child handles signals. Returns the leader and the child's process id."""
        leader = subprocess.Popen([sys.executable, "-c", LEADER, behaviour, str(self.folder)], stdout=subprocess.PIPE,
                                  start_new_session=True)
        assert leader.stdout is not None
        self.addCleanup(leader.stdout.close)
        return leader, int(leader.stdout.readline())

    def test_child_has_the_grace_time_after_its_leader_exited(self) -> None:
        # Guards against a child that is killed in the middle of its shutdown because its leader exited sooner.
        leader, child = self.start("cleans_up")
        process_group.terminate(leader)
        self.assertTrue((self.folder / "cleaned-up").exists(), "the child was killed before its grace time was over")
        self.assertFalse(is_alive(child))

    def test_returns_once_a_killed_child_has_exited(self) -> None:
        # Guards against a return while a killed child is still exiting.
        leader, child = self.start("ignores")
        with mock.patch.object(process_group, "STOP_GRACE_S", 0.2):
            process_group.terminate(leader)
        self.assertFalse(is_alive(child))

    def test_exited_leader_without_children_is_no_error(self) -> None:
        leader = subprocess.Popen([sys.executable, "-c", ""], start_new_session=True)
        leader.wait()
        process_group.terminate(leader)
        self.assertEqual(leader.returncode, 0)


if __name__ == "__main__":
    unittest.main()
