"""Maps data classes to thrift structs of the same name and fields."""

import dataclasses
import enum
import types
import typing
from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet
from typing import Any

Reader = Callable[[Any], Any]


class StructMap:
    """Converts data classes to structs of one thrift module and back.

    Args:
        structs: Thrift module; a data class maps to the struct with its name.
    """

    def __init__(self, structs: Any) -> None:
        self._structs = structs
        self._readers: dict[type, dict[str, Reader]] = {}

    def encode(self, value: Any) -> Any:
        """Returns the thrift form of a data class or one of its values."""
        match value:
            case enum.Enum():
                return value.value
            case tuple():
                return [self.encode(item) for item in value]
            case AbstractSet():
                return sorted(self.encode(item) for item in value)
            case Mapping():
                return {key: self.encode(item) for key, item in value.items()}
            case _ if dataclasses.is_dataclass(value):
                struct = getattr(self._structs, type(value).__name__)
                return struct(
                    **{
                        name: self.encode(getattr(value, name))
                        for name in self._get_readers(type(value))
                    }
                )
        return value

    def decode(self, kind: Any, struct: Any) -> Any:
        """Returns an instance of data class `kind` read from a struct.

        Raises:
            ValueError: A field is missing or has a wrong type.
        """
        readers = self._get_readers(kind)
        return kind(
            **{
                name: read(getattr(struct, name, None))
                for name, read in readers.items()
            }
        )

    def _get_readers(self, kind: type) -> dict[str, Reader]:
        readers = self._readers.get(kind)
        if readers is None:
            hints = typing.get_type_hints(kind)
            readers = {
                field.name: self._find_reader(hints[field.name])
                for field in dataclasses.fields(kind)
            }
            self._readers[kind] = readers
        return readers

    def _find_reader(self, hint: Any) -> Reader:
        hint = getattr(hint, "__supertype__", hint)
        origin = typing.get_origin(hint)
        arguments = typing.get_args(hint)
        # A union with a `NewType` is a `typing.Union`.
        if origin in (types.UnionType, typing.Union):
            return self._read_optional(arguments)
        if origin is tuple:
            item = self._find_reader(arguments[0])
            return lambda value: tuple(item(part) for part in value)
        if origin is frozenset:
            item = self._find_reader(arguments[0])
            return lambda value: frozenset(item(part) for part in value)
        if origin is not None and issubclass(origin, Mapping):
            return self._read_mapping(*arguments)
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            return hint
        if dataclasses.is_dataclass(hint):
            return lambda value: self._read_struct(hint, value)
        return _read_exact(hint)

    def _read_struct(self, kind: Any, value: Any) -> Any:
        if value is None:
            raise ValueError(f"struct {kind.__name__} is missing")
        return self.decode(kind, value)

    def _read_optional(self, arguments: tuple[Any, ...]) -> Reader:
        (present,) = [item for item in arguments if item is not type(None)]
        read = self._find_reader(present)
        return lambda value: None if value is None else read(value)

    def _read_mapping(self, key: Any, item: Any) -> Reader:
        read_key, read_item = self._find_reader(key), self._find_reader(item)
        return lambda value: types.MappingProxyType(
            {read_key(name): read_item(part) for name, part in value.items()}
        )


def _read_exact(hint: Any) -> Reader:
    def read(value: Any) -> Any:
        # thriftpy2 returns bytes for a string that is not UTF-8, and None for
        # a missing field.
        if type(value) is not hint:
            raise ValueError(f"expected type {hint.__name__}, got {value!r}")
        return value

    return read
