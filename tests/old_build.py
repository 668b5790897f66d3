"""The build that is in use when an upgrade to this one begins."""

import pathlib
import subprocess
import tarfile

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Replaced by the next commit that users run, once they run it.
COMMIT = "374443051ecb77850e75e061f48664f29d705da3"


def extract(folder: pathlib.Path) -> pathlib.Path:
    """Writes the files of the old build to a folder and returns the folder.

    Fails the test if the history of the repository lacks the commit.
    """
    archive = folder / "old-build.tar"
    found = subprocess.run(
        ["git", "archive", "--output", str(archive), COMMIT],
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
    )
    if found.returncode:
        pytest.fail(
            f"this test plays commit {COMMIT} beside the present code, and "
            f"the history here lacks it ({found.stderr.strip()}); make a full "
            f"clone, or run: git fetch --unshallow"
        )
    tree = folder / "old-build"
    with tarfile.open(archive) as files:
        files.extractall(tree, filter="data")
    return tree
