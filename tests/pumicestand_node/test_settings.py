"""Tests of the node's settings."""

import pytest

from pumicestand import errors
from pumicestand import settings
from pumicestand_node import main
from pumicestand_node import settings as node_settings


def load(tmp_path, text='', overrides=()):
    path = tmp_path / 'node.yaml'
    path.write_text(text, encoding='utf-8')
    return settings.load(node_settings.NodeSettings, path, overrides)


def test_each_value_has_its_origin(tmp_path):
    loaded = load(tmp_path, 'zone: z1\nname: n1', ['name=n2', 'drain=5s'])
    assert (loaded.values.zone, loaded.values.name) == ('z1', 'n2')
    assert loaded.values.drain == 5.0
    assert loaded.origins['zone'] == str(tmp_path / 'node.yaml')
    assert loaded.origins['name'] == 'command line'
    assert loaded.origins['host'] == 'default'
    assert 'drain: 5s  # command line' in settings.format_settings(loaded)


# Each case: the file, a part of the message and a part of the remedy.
INVALID_FILES = {
    'unknown': ('nmae: n1', 'nmae', 'did you mean name?'),
    'no unit': ('drain: 5', 'needs a unit', 'correct'),
    'port': ('call_port: 70000', 'call_port', 'correct'),
    'seed address': ('seeds: [here]', "'here' is no host:port", 'correct'),
    'tls': (
        'tls: {certificate: a, key: b, authority: c}',
        'not supported yet',
        'correct',
    ),
    'no mapping': ('- a', 'holds no mapping', 'write one'),
    'no yaml': ('a: [', 'can not be read', 'holds YAML'),
}


@pytest.mark.parametrize('name', INVALID_FILES)
def test_invalid_setting_is_rejected_with_a_remedy(tmp_path, name):
    text, message, remedy = INVALID_FILES[name]
    with pytest.raises(errors.SettingsError) as caught:
        load(tmp_path, text)
    assert message in caught.value.message
    assert remedy in caught.value.remedy


def test_doubtful_values_give_warnings(tmp_path):
    assert 'seeds is empty' in load(tmp_path).warnings[0]
    loaded = load(tmp_path, 'seeds: [10.0.0.1:7200]\nseed: 1')
    assert loaded.values.seed_addresses == [('10.0.0.1', 7200)]
    assert 'seed is set' in loaded.warnings[0]


def test_command_shows_settings_and_rejects_unknown_ones(capsys):
    assert main.main(['--set', 'name=n7', '--show-settings']) == 0
    assert 'name: n7  # command line' in capsys.readouterr().out
    assert main.main(['--set', 'nmae=n7']) == main.EXIT_SETTINGS
    assert 'did you mean name?' in capsys.readouterr().err
