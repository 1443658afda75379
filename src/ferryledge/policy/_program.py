"""Policy programs: bounded expressions over the facts of a job.

Programs have no loops, no access to attributes and call only a few fixed
functions, so their run time is bounded by their size.
"""

import ast
import dataclasses
import math
import operator

import simpleeval

#: Maximum number of characters of a program.
MAX_CHARACTERS = 500
#: Maximum number of nodes of a program's syntax tree.
MAX_NODES = 120
#: Maximum number of characters of a program's result.
_MAX_TEXT = 200

Value = bool | int | float | str


class PolicyError(Exception):
    """A program is invalid, fails or returns an unsupported value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """The facts of a job that a program can use."""

    workspace: str = ""
    service: str = ""
    #: Number of tasks of the job.
    tasks: int = 1
    #: Learned run time of a task in seconds.
    expected_s: float = 0.0
    #: Longest declared run time of a task in seconds; 0 if none.
    declared_s: float = 0.0
    #: Seconds until the job's deadline; 0 is no deadline.
    deadline_s: float = 0.0
    #: The urgency that the client requested.
    urgency: float = 1.0
    repeatable: bool = True
    #: Number of waiting tasks in the pool.
    waiting: int = 0
    #: Share of the pool's slots in use, from 0 to 1.
    load: float = 0.0
    #: The candidate zone, in ``where`` programs.
    zone: str = ""
    #: The zone of the entry that received the job.
    home: str = ""


_FIELDS = frozenset(field.name for field in dataclasses.fields(Facts))
#: Former names of facts, which stay valid in programs.
_FORMER_NAMES = {"team": "workspace", "hall": "zone"}
_NAMES = _FIELDS | _FORMER_NAMES.keys()


def _multiply(left: float, right: float) -> float:
    if isinstance(left, str) or isinstance(right, str):
        raise PolicyError("text can't be multiplied")
    return left * right


def _modulo(left: float, right: float) -> float:
    if isinstance(left, str):
        raise PolicyError("text can't be formatted")
    return left % right


_OPERATORS = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: _multiply,
    ast.Div: operator.truediv,
    ast.FloorDiv: operator.floordiv,
    ast.Mod: _modulo,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Not: operator.not_,
    ast.USub: operator.neg,
    ast.UAdd: operator.pos,
    ast.In: lambda left, right: left in right,
    ast.NotIn: lambda left, right: left not in right,
}
_FUNCTIONS = {"min": min, "max": max, "abs": abs}
_ALLOWED_NODES = (
    ast.Expression,
    ast.BinOp,
    ast.BoolOp,
    ast.UnaryOp,
    ast.Compare,
    ast.IfExp,
    ast.Call,
    ast.Name,
    ast.Constant,
    ast.Tuple,
    ast.Load,
    ast.operator,
    ast.unaryop,
    ast.boolop,
    ast.cmpop,
)


class Program:
    """A parsed and checked program.

    :param text: the expression
    :raises PolicyError: if the text is too large, not an expression, or
        uses a construct that isn't allowed
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self._node = _parse(text)

    @property
    def text(self) -> str:
        """The expression as written."""
        return self._text

    def run(self, facts: Facts) -> Value:
        """Evaluate the program.

        :param facts: values of the names in the program
        :raises PolicyError: if the evaluation fails, or its result is not
            a finite number, a short text or a boolean
        """
        names = {
            name: getattr(facts, _FORMER_NAMES.get(name, name))
            for name in _NAMES
        }
        evaluator = simpleeval.EvalWithCompoundTypes(
            operators=_OPERATORS, functions=_FUNCTIONS, names=names
        )
        try:
            value = evaluator.eval(self._text, previously_parsed=self._node)
        except PolicyError:
            raise
        except Exception as exc:
            # simpleeval passes on errors that the operators raise.
            name = type(exc).__name__
            raise PolicyError(f"{self._text!r}: {name}: {exc}") from exc
        return _check_value(value)


def _check_value(value: object) -> Value:
    match value:
        case bool() | int():
            return value
        case float() if math.isfinite(value):
            return value
        case str() if len(value) <= _MAX_TEXT:
            return value
    raise PolicyError(
        "the value must be a finite number, a short text or a boolean"
    )


def _parse(text: str) -> ast.expr:
    if len(text) > MAX_CHARACTERS:
        raise PolicyError(f"longer than {MAX_CHARACTERS} characters")
    try:
        tree = ast.parse(text.strip(), mode="eval")
    except (SyntaxError, ValueError, MemoryError, RecursionError) as exc:
        raise PolicyError(f"not an expression: {exc}") from exc
    nodes = list(ast.walk(tree))
    if len(nodes) > MAX_NODES:
        raise PolicyError(f"larger than {MAX_NODES} syntax nodes")
    for node in nodes:
        _check_node(node)
    return tree.body


def _check_node(node: ast.AST) -> None:
    if not isinstance(node, _ALLOWED_NODES):
        raise PolicyError(f"{type(node).__name__} is not allowed")
    match node:
        case ast.operator() | ast.unaryop() | ast.cmpop():
            _check_operator(node)
        case ast.Call():
            _check_call(node)
        case ast.Name(id=name):
            _check_name(name)
        case ast.Constant(value=value):
            if not isinstance(value, bool | int | float | str):
                raise PolicyError(f"{value!r} is not allowed")


def _check_operator(node: ast.AST) -> None:
    if type(node) not in _OPERATORS:
        raise PolicyError(f"{type(node).__name__} is not allowed")


def _check_call(node: ast.Call) -> None:
    function = node.func
    is_known = isinstance(function, ast.Name) and function.id in _FUNCTIONS
    if not is_known or node.keywords:
        known = ", ".join(sorted(_FUNCTIONS))
        raise PolicyError(f"only these may be called: {known}")


def _check_name(name: str) -> None:
    if name not in _NAMES and name not in _FUNCTIONS:
        known = ", ".join(sorted(_NAMES))
        raise PolicyError(f"unknown name {name!r}; known: {known}")
