def test_workspace_imports() -> None:
    """The packages import without a third-party service."""
    from yuccapitch.catalogue import model

    assert model.RequestClass("read-only") is model.RequestClass.READ_ONLY
