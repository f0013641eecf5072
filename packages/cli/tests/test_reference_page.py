import pathlib

from yuccapitch.catalogue import schema_page
from yuccapitch.cli import reference_page

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "reference" / "command-line.md"


def test_reference_page_is_up_to_date() -> None:
    text = PAGE.read_text(encoding="utf-8")
    updated = schema_page.replace_between_markers(
        text, reference_page.BEGIN, reference_page.END, reference_page.render()
    )
    assert text == updated, f"run python -m yuccapitch.cli.reference_page {PAGE}"
