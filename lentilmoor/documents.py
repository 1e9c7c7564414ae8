"""YAML documents: checked loading, lines of fields, edits that keep comments.

A document is refused if a key stands twice in one mapping, or if its aliases
would unfold to more than `MAX_NODES` nodes.
"""

import dataclasses
from typing import Any

import yaml

from lentilmoor import exceptions

MAX_NODES = 100_000

_LOADER = yaml.CSafeLoader if yaml.__with_libyaml__ else yaml.SafeLoader
_MERGE_TAG = 'tag:yaml.org,2002:merge'

Path = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A loaded document.

    Attributes:
      text: Its text.
      value: Plain dicts, lists and scalars.
      root: Its node graph, which knows lines; None if it is empty.
    """

    text: str
    value: Any
    root: yaml.Node | None

    def find_line(self, path: Path) -> int:
        """Returns the line, from 1, of the deepest part of a path it has."""
        node = self.root
        line = 1
        for part in path:
            key, node = _step(node, part)
            if node is None:
                break
            line = (key or node).start_mark.line + 1
        return line


def load(text: str) -> Document:
    """Loads a document.

    Args:
      text: YAML.

    Raises:
      SettingsError: It is no YAML, or is refused; the line is named.
    """
    try:
        loader = _LOADER(text)
        try:
            root = loader.get_single_node()
            if root is None:
                return Document(text, None, None)
            _measure(root, {}, [])
            return Document(text, loader.construct_document(root), root)
        finally:
            loader.dispose()
    except yaml.YAMLError as error:
        raise exceptions.SettingsError([_describe(error)]) from error
    except RecursionError as error:
        raise exceptions.SettingsError(['YAML: nested too deeply']) from error


def set_flag(text: str, path: Path, name: str, value: bool) -> str | None:
    """Sets a boolean field of a mapping and leaves all else as it is.

    Args:
      text: YAML.
      path: Where the mapping is.
      name: The field.
      value: Its new value.

    Returns:
      The new text; None if there is no mapping of its own at the path.
    """
    node = load(text).root
    for part in path:
        _, node = _step(node, part)
    if not isinstance(node, yaml.MappingNode) or not node.value:
        return None
    shown = 'true' if value else 'false'
    _, old = _step(node, name)
    if old is not None:
        start, end = old.start_mark.index, old.end_mark.index
        return text[:start] + shown + text[end:]
    first = node.value[0][0].start_mark
    between = ', ' if node.flow_style else '\n' + ' ' * first.column
    return (f'{text[:first.index]}{name}: {shown}{between}'
            f'{text[first.index:]}')


def _step(
    node: yaml.Node | None,
    part: str | int,
) -> tuple[yaml.Node | None, yaml.Node | None]:
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        found = node.value[part] if part < len(node.value) else None
        return None, found
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return key, value
    return None, None


def _measure(node: yaml.Node, sizes: dict[int, int],
             above: list[yaml.Node]) -> int:
    """Returns the number of nodes that a node unfolds to."""
    if id(node) in sizes:
        return sizes[id(node)]
    if any(node is other for other in above):
        raise _refuse(node, 'an alias of a node within itself')
    above.append(node)
    size = 1 + sum(_measure(child, sizes, above) for child in _children(node))
    above.pop()
    if size > MAX_NODES:
        raise _refuse(node, f'expected at most {MAX_NODES} nodes')
    sizes[id(node)] = size
    return size


def _children(node: yaml.Node) -> list[yaml.Node]:
    if isinstance(node, yaml.SequenceNode):
        return node.value
    if not isinstance(node, yaml.MappingNode):
        return []
    seen = set()
    for key, _ in node.value:
        if not isinstance(key, yaml.ScalarNode):
            raise _refuse(key, 'expected a plain key')
        if key.tag != _MERGE_TAG and key.value in seen:
            raise _refuse(key, f'key {key.value!r} stands twice')
        seen.add(key.value)
    return [value for _, value in node.value]


def _refuse(node: yaml.Node, problem: str) -> yaml.MarkedYAMLError:
    return yaml.MarkedYAMLError(problem=problem, problem_mark=node.start_mark)


def _describe(error: yaml.YAMLError) -> str:
    mark = getattr(error, 'problem_mark', None)
    if mark is None:
        return f'YAML: {error}'
    problem = getattr(error, 'problem', None) or 'invalid YAML'
    return f'line {mark.line + 1}, column {mark.column + 1}: {problem}'
