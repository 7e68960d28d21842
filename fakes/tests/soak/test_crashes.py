"""A short seeded run of the soak with a request that ends engines."""

from dotterelweir_fakes.soak import crashes


async def test_a_request_that_ends_engines_is_blocked_while_instances_fail(
    tmp_path,
):
    """Guards against blocks that restarts and freezes of instances undo."""
    result = await crashes.CrashSoak(1, 16.0, 3, tmp_path).run()
    assert result['violations'] == []
    assert result['ends'] >= 3


async def test_a_request_under_which_engines_go_dark_is_blocked(tmp_path):
    """Guards against ends that only show in what is missing."""
    result = await crashes.CrashSoak(2, 22.0, 3, tmp_path, dark=True).run()
    assert result['violations'] == []
    assert result['ends'] >= 3
