"""Loads and validates the settings of a process.

A subclass of `Model` defines the names, defaults and constraints. Values on
the command line override those of a YAML file, which override the defaults.
The origin of each value is kept.
"""

import dataclasses
import difflib

import pydantic
import yaml

from pumicestand import errors


class Model(pydantic.BaseModel):
    """Base class of settings; unknown names are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Validated settings with the origin of each value.

    :param values: the validated model
    :param origins: for each name ``default``, the path of the file or
        ``command line``
    :param warnings: texts for the operator about doubtful values
    """

    values: Model
    origins: dict[str, str]
    warnings: tuple[str, ...] = ()


def load(model, path=None, overrides=()):
    """Load settings and validate them.

    :param model: a subclass of `Model`
    :param path: path of a YAML file, None for no file
    :param overrides: strings of the form ``name=value``, with the value in
        YAML
    :returns: a `LoadedSettings`
    :raises errors.SettingsError: if the file can't be read, a name is
        unknown or a value is invalid
    """
    origins = dict.fromkeys(model.model_fields, 'default')
    values = {}
    if path is not None:
        for name, value in _read_file(path).items():
            values[name] = value
            origins[name] = str(path)
    for override in overrides:
        name, value = _read_override(override)
        values[name] = value
        origins[name] = 'command line'
    for name in values:
        _check_name(model, name, origins)
    try:
        validated = model.model_validate(values)
    except pydantic.ValidationError as error:
        _raise_invalid(error, origins)
    return LoadedSettings(validated, origins, tuple(_warnings(validated)))


def _read_file(path):
    try:
        with open(path, encoding='utf-8') as file:
            data = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(
            f'the settings file {path} can not be read: {error}',
            remedy='name a readable file that holds YAML',
        ) from error
    if data is None:
        return {}
    if not isinstance(data, dict):
        raise errors.SettingsError(
            f'the settings file {path} holds no mapping of names to values',
            remedy='write one "name: value" a line',
        )
    return data


def _read_override(text):
    name, separator, value = text.partition('=')
    if not separator:
        raise errors.SettingsError(
            f'the override {text!r} has no "="', remedy='write name=value'
        )
    return name.strip(), yaml.safe_load(value)


def _check_name(model, name, origins):
    """Raise an error that suggests a similar name if a name is unknown."""
    if name in model.model_fields:
        return
    similar = difflib.get_close_matches(str(name), model.model_fields, 1)
    remedy = f'did you mean {similar[0]}?' if similar else 'remove it'
    raise errors.SettingsError(
        f'the setting {name!r} from {origins[name]} is unknown',
        remedy=remedy,
    )


def _raise_invalid(error, origins):
    """Raise a `SettingsError` for the first error that pydantic found."""
    first = error.errors()[0]
    name = str(first['loc'][0]) if first['loc'] else '?'
    message = first['msg'].removeprefix('Value error, ')
    raise errors.SettingsError(
        f'the setting {name!r} from {origins.get(name, "default")} is '
        f'invalid: {message}',
        remedy='correct the value; --show-settings prints all settings',
    )


def _warnings(model):
    """Return the warnings of a model that has a method `warnings`."""
    get_warnings = getattr(model, 'warnings', None)
    return get_warnings() if get_warnings else ()


def format_settings(loaded):
    """Return all settings as text, one a line, each with its origin."""
    lines = []
    for name, value in loaded.values.model_dump(mode='json').items():
        text = yaml.safe_dump(value, default_flow_style=True).strip()
        text = text.removesuffix('\n...').strip()
        lines.append(f'{name}: {text}  # {loaded.origins[name]}')
    return '\n'.join(lines)
