def test_model_imports() -> None:
    """The model can be imported without any third-party service running."""
    from yuccapitch.catalogue import model

    assert model.RequestClass("read-only") is model.RequestClass.READ_ONLY
