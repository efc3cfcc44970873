"""Settings of a process: YAML, checked, with the origin of each value.

A process's settings are a pydantic model whose fields are the table of
names, defaults and checks. Values come from the defaults, then a file,
then the command line.
"""

import dataclasses
import difflib

import pydantic
import yaml

from pumicestand import errors


class Model(pydantic.BaseModel):
    """A table of settings."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings with where each value came from.

    :param values: the checked model
    :param origins: name to ``default``, a file's path or ``command line``
    :param warnings: what the reader should look at, with what to do
    """

    values: Model
    origins: dict[str, str]
    warnings: tuple[str, ...] = ()


def load(model, path=None, overrides=()):
    """Read settings.

    :param model: a subclass of `Model`
    :param path: of a YAML file, or None
    :param overrides: texts such as ``name=value``, the value in YAML
    :returns: a `LoadedSettings`
    :raises errors.SettingsError: for an unknown name or a wrong value
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
        checked = model.model_validate(values)
    except pydantic.ValidationError as error:
        _refuse(error, origins)
    return LoadedSettings(checked, origins, tuple(_warnings(checked)))


def _read_file(path):
    try:
        with open(path, encoding='utf-8') as file:
            data = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(
            f'the settings file {path} can not be read: {error}',
            remedy='name a file that holds YAML',
        ) from error
    if data is None:
        return {}
    if not isinstance(data, dict):
        raise errors.SettingsError(
            f'the settings file {path} holds no mapping',
            remedy='write one "name: value" a line',
        )
    return data


def _read_override(text):
    name, separator, value = text.partition('=')
    if not separator:
        raise errors.SettingsError(
            f'{text!r} is no setting', remedy='write name=value'
        )
    return name.strip(), yaml.safe_load(value)


def _check_name(model, name, origins):
    if name in model.model_fields:
        return
    close = difflib.get_close_matches(str(name), model.model_fields, 1)
    remedy = f'did you mean {close[0]}?' if close else 'remove it'
    raise errors.SettingsError(
        f'the setting {name!r} from {origins[name]} is unknown',
        remedy=remedy,
    )


def _refuse(error, origins):
    first = error.errors()[0]
    name = str(first['loc'][0]) if first['loc'] else '?'
    message = first['msg'].removeprefix('Value error, ')
    raise errors.SettingsError(
        f'the setting {name!r} from {origins.get(name, "default")} is '
        f'wrong: {message}',
        remedy='correct the value; --show-settings prints them all',
    )


def _warnings(values):
    check = getattr(values, 'warnings', None)
    return check() if check else ()


def format_settings(loaded):
    """Return all settings as text, one a line with its origin."""
    lines = []
    for name, value in loaded.values.model_dump(mode='json').items():
        text = yaml.safe_dump(value, default_flow_style=True).strip()
        text = text.removesuffix('\n...').strip()
        lines.append(f'{name}: {text}  # {loaded.origins[name]}')
    return '\n'.join(lines)
