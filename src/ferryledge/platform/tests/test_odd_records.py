"""Odd values in the records and the answers of the store."""

import base64
import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import net
from ferryledge import platform
from ferryledge.platform.tests import servers


def _item(key: str, value: bytes, offset: int) -> dict[str, object]:
    text = base64.b64encode(value).decode()
    return {"TlsKey": key, "Value": text, "Offset": offset}


_SOUND_ITEM = _item("a", b"value", 1)
_ODD_ITEMS = odd_values.variants(_item("b", b"value", 2), odd_values.DECODABLE)


# Guards against a record of another program that ends those who list a topic,
# or stops them following it.
@pytest.mark.parametrize("odd_first", [True, False])
@pytest.mark.parametrize("item", _ODD_ITEMS.values(), ids=_ODD_ITEMS.keys())
def test_odd_record_does_not_hide_the_others(
    item: bytes, odd_first: bool
) -> None:
    sound = json.dumps(_SOUND_ITEM).encode()
    items = [item, sound] if odd_first else [sound, item]
    content = b'{"items":[%s],"End":3}' % b",".join(items)

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        page = await store.read_newest("keyed.t")
        assert platform.KeyedRecord("a", b"value") in page.records
        assert page.next_offset == 3
        await store.close()

    servers.serve_body(content, use)


@pytest.mark.parametrize("name", odd_values.ALL)
@pytest.mark.parametrize("form", ["%s", '{"items":%s}', '{"End":%s}'])
def test_odd_list_is_a_store_error_or_empty(name: str, form: str) -> None:
    """Guards against an answer of the store that ends its readers."""
    content = (form % odd_values.ALL[name]).encode()

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        try:
            page = await store.read_newest("keyed.t")
        except platform.StoreError:
            return
        assert page.records == ()
        assert len(range(page.next_offset)) >= 0
        await store.close()

    servers.serve_body(content, use)


@pytest.mark.parametrize("key", ["é€", "a b", "a&From=0", "x\r\ny: z", "%"])
def test_list_continues_after_any_key(key: str) -> None:
    """Guards against a key that can't be sent in the path of a call."""
    paths: list[str] = []

    async def answer(request: net.Request) -> net.HttpResponse:
        after = request.query("DependsOn")
        paths.append(after)
        item = _item("z", b"2", 2) if after else _item(key, b"1", 1)
        page = {"items": [item], "MorePages": not after, "End": 3}
        return net.HttpResponse.json(200, page)

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        page = await store.read_newest("keyed.t")
        assert [record.key for record in page.records] == [key, "z"]
        await store.close()

    servers.serve(answer, use)
    assert paths == ["", key]


@pytest.mark.parametrize("odd", [b"", b"\x05ab", b"\xff"])
def test_record_shorter_than_its_key_keeps_later_ones_in_place(
    odd: bytes,
) -> None:
    """Guards against a reader that stops at such a record for good."""
    records = (odd, b"\x01kvalue")
    framed = [len(each).to_bytes(4, "big") + each for each in records]

    async def use(port: int) -> None:
        store = platform.StoreClient(f"127.0.0.1:{port}")
        page = await store.read("keyed.t", 7, 0.0)
        first, second = page.records
        assert (first.key, first.value) == ("", b"")
        assert second == platform.KeyedRecord("k", b"value")
        assert (second.offset, page.next_offset) == (8, 9)
        await store.close()

    servers.serve_body(bytes(16) + b"".join(framed), use)
