import pathlib

from yuccapitch.catalogue import schema_page

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "reference" / "catalogue.md"


def test_page_matches_model() -> None:
    text = PAGE.read_text(encoding="utf-8")
    updated = schema_page.replace_between_markers(
        text, schema_page.BEGIN, schema_page.END, schema_page.render()
    )
    assert text == updated, f"run python -m yuccapitch.catalogue.schema_page {PAGE}"
