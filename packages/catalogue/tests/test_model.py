def test_model_imports() -> None:
    """The package can be imported without third-party services."""
    from yuccapitch.catalogue import model

    assert model.RequestClass("read-only") is model.RequestClass.READ_ONLY
