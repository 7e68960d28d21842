"""Tests of the account of the memory that callers take."""

import pytest

from dotterelweir_core.gateway import memory_account

MEBI = 1_048_576
FDS = 4_096
Verdict = memory_account.Verdict


@pytest.fixture
def account():
    return memory_account.MemoryAccount(24 * MEBI, FDS)


class Caller:
    """A connection that records whether it had to give way."""

    def __init__(self, account, address):
        self.gave_way = False
        self.holding = account.open(address, self.give_way)

    def give_way(self):
        self.gave_way = True


@pytest.mark.parametrize('memory_mb', [1, 88, 128, 552])
def test_one_body_fits_on_every_machine(memory_mb):
    """Guards against bounds that refuse a request inside the limits."""
    account = memory_account.MemoryAccount.for_process(
        memory_mb * 1_000_000, FDS
    )
    caller = Caller(account, 'a')
    size = int(1.25 * 4 * MEBI)
    assert account.grow(caller.holding, size, 0.0) is Verdict.GRANTED


def test_no_charge_exceeds_the_account(account):
    """Guards against an account that is overdrawn by many callers."""
    callers = [Caller(account, f'caller-{number}') for number in range(40)]
    verdicts = [
        account.grow(caller.holding, 4 * MEBI, 0.0) for caller in callers
    ]
    assert verdicts.count(Verdict.GRANTED) == 4
    assert account.held_bytes <= account.size_bytes


def test_the_reserve_is_for_small_requests(account):
    """Guards against large bodies that keep ordinary callers out."""
    for number in range(40):
        account.grow(Caller(account, f'{number}').holding, 4 * MEBI, 0.0)
    small = Caller(account, 'ordinary')
    assert account.grow(small.holding, 8_192, 0.0) is Verdict.GRANTED


def test_one_caller_leaves_room_for_another(account):
    """Guards against one address that takes all that large bodies may."""
    mean = [Caller(account, 'mean') for _ in range(40)]
    verdicts = [account.grow(one.holding, 4 * MEBI, 0.0) for one in mean]
    assert verdicts.count(Verdict.GRANTED) == 3
    assert Verdict.CALLER_FULL in verdicts
    other = Caller(account, 'other')
    assert account.grow(other.holding, 4 * MEBI, 0.0) is Verdict.GRANTED


def test_stalled_callers_give_way_the_largest_first(account):
    """Guards against unfinished bodies that keep complete ones out."""
    sizes = [2 * MEBI, 6 * MEBI, 5 * MEBI]
    stalled = [Caller(account, f'{number}') for number in range(3)]
    for caller, size in zip(stalled, sizes, strict=True):
        account.grow(caller.holding, size, 0.0)
        caller.holding.phase = memory_account.Phase.COLLECTING
    running = Caller(account, 'running')
    account.grow(running.holding, 4 * MEBI, 0.0)
    running.holding.phase = memory_account.Phase.RUNNING
    late = Caller(account, 'late')
    assert account.grow(late.holding, 4 * MEBI, 0.5) is Verdict.FULL
    assert account.grow(late.holding, 4 * MEBI, 1.0) is Verdict.GRANTED
    assert [caller.gave_way for caller in stalled] == [False, True, False]
    assert not running.gave_way


def test_a_closed_connection_holds_nothing(account):
    """Guards against bytes that stay charged for good."""
    caller = Caller(account, 'a')
    account.grow(caller.holding, 4 * MEBI, 0.0)
    account.close(caller.holding)
    account.close(caller.holding)
    account.shrink(caller.holding, 10)
    assert account.held_bytes == account.large_bytes == 0
    assert account.grow(caller.holding, 1, 0.0) is Verdict.FULL


def test_connections_leave_descriptors_for_targets():
    """Guards against callers that take the descriptors of targets."""
    account = memory_account.MemoryAccount(512 * MEBI, FDS)
    assert account.connections_max <= (FDS - 200) / 2
    assert memory_account.MemoryAccount(MEBI, 0).connections_max == 1


def test_short_memory_takes_an_eighth_of_the_time_at_most():
    """Guards against instances that leave service for lack of memory."""
    limiter = memory_account.ReadinessLimiter()
    ready = [limiter.is_ready(1.0, second * 0.5) for second in range(2_000)]
    assert 0 < ready.count(False) <= 2_000 / 8 + 6
    assert limiter.is_ready(0.1, 1_001.0)
