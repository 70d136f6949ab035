"""Tests of the list of known failures."""

import pytest

from tests.known_failures import read_known_failures

ENTRY = "test: tests/test_a.py::test_b[c]\ncommand: pytest test_a.py\nseen: 3 of 4\nissue: 7\n"


def write(tmp_path, text):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    return path


def test_entries_are_found_by_test_id(tmp_path):
    known = read_known_failures(write(tmp_path, f"{ENTRY}\n{ENTRY.replace('test_b', 'test_d')}"))
    assert list(known) == ["tests/test_a.py::test_b[c]", "tests/test_a.py::test_d[c]"]
    assert known["tests/test_a.py::test_b[c]"].issue == "7"


def test_without_the_file_no_test_is_known_to_fail(tmp_path):
    assert read_known_failures(tmp_path / "KNOWN-RED.txt") == {}


@pytest.mark.parametrize("text", [ENTRY.replace("issue: 7", ""), ENTRY + "note: x\n", "test: x\n"])
def test_an_incomplete_entry_is_an_error(tmp_path, text):
    with pytest.raises(ValueError, match="an entry needs"):
        read_known_failures(write(tmp_path, text))
