"""The result-code table in the docs and the one in the code are the same."""

import re
from pathlib import Path

from ebonyshore.frame.result_codes import RESULT_INFO, ResultCode

TABLE = Path(__file__).parent.parent / "docs" / "result_codes.md"
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (.+?) \| (\d+) \| `(\w+)` \| (yes|no) \|")


def test_docs_and_code_have_the_same_table() -> None:
    rows = {
        ROW.fullmatch(line).groups()
        for line in TABLE.read_text().splitlines()
        if ROW.fullmatch(line)
    }
    expected = {
        (
            str(int(code)),
            code.name,
            info.text,
            str(info.http_status),
            info.execution.value,
            "yes" if info.is_retryable else "no",
        )
        for code, info in RESULT_INFO.items()
    }
    assert rows == expected


def test_every_code_has_an_entry_and_fits_an_exit_status() -> None:
    assert set(RESULT_INFO) == set(ResultCode)
    assert all(0 <= code <= 255 for code in ResultCode)
