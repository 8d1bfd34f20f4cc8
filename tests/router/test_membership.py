"""Membership entries of a VM in the store."""

import msgspec
import trio
from result import Ok

from jujuberudder_router import VM, Appended, Record, Store

from .test_store_out_of_reach import make_node


async def test_entry_is_written_again_after_an_older_write_took_effect(
    autojump_clock, nursery
):
    """Guards against keys without an owner because a late write hides a VM's target.

    A call that got no answer may be executed seconds later.
    """
    written = []

    async def append(topic, key, value, expected_end):
        written.append(value)
        return Ok(Appended(len(written) - 1))

    node = make_node("vm-0", Store(append, None, None))

    def read(value):
        node.membership.apply(Record(len(written), "vm/vm-0", value))

    def newest():
        return msgspec.msgpack.decode(written[-1], type=VM)

    # The topic has been read, and was empty.
    node.membership_follower.end = 0
    nursery.start_soon(node.membership.run)
    node.target.id, node.target.started_ms = "i", 1
    await trio.sleep(2.0)
    read(written[-1])
    node.target.id, node.target.started_ms = "j", 2
    node.membership.announce()
    await trio.sleep(1.0)
    read(written[-1])
    await trio.sleep(1.0)
    assert [newest().target_incarnation, len(written)] == ["j@2", 2]
    read(written[0])
    await trio.sleep(1.0)
    assert [newest().target_incarnation, len(written)] == ["j@2", 3]
    read(written[-1])
    await trio.sleep(5.0)
    assert len(written) == 3
