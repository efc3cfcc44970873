"""Tests of the platform's settings file."""

import errno

import pytest

from pumicestand import errors
from pumicestand_node import mesh_settings
from pumicestand_platform import settings

TEXT = """
node_name=sidecar-a-1
zone=zone-a
region=region-a
ip=10.1.0.8
service=shop
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
internal_ports=7620,7635
platform.address=10.200.1.7:8309
limits.link_mbps=5.0
limits.max_fds=4100
limits.memory_mb=150
bounds.grace_s=6
bounds.drain_s=2
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=60
bounds.budget_window_s=10
a.field.of.tomorrow=x
"""


def replace_value(field, value):
    lines = [
        f'{field}={value}' if line.startswith(f'{field}=') else line
        for line in TEXT.splitlines()
    ]
    return '\n'.join(lines)


def test_file_is_read_into_settings():
    parsed = settings.parse(TEXT)
    assert parsed.name == 'sidecar-a-1'
    assert parsed.service == 'shop'
    assert parsed.link == mesh_settings.Address('10.1.0.8', 7620)
    assert parsed.store == mesh_settings.Address('10.200.1.7', 8309)
    assert parsed.link_rate == 625_000
    assert parsed.max_descriptors == 4100
    assert parsed.memory_bytes == 150 * 1024 * 1024
    assert parsed.bounds.retry_constant == 60
    assert parsed.bounds.grace == 6


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('node_name', ''),
        ('listen.outbound', 'nowhere'),
        ('platform.address', '10.1.1.1:x'),
        ('internal_ports', '7620'),
        ('bounds.grace_s', 'soon'),
        ('bounds.budget_window_s', '0'),
        ('bounds.retry_budget_ratio', 'nan'),
        ('listen.outbound', '10.1.0.8:830²'),
        ('listen.ready', '10.1.0.8:0'),
        ('listen.control', '10.1.0.8:65536'),
        ('listen.control', '10.1.0.8:' + '9' * 5_000),
        ('internal_ports', '762²,7635'),
        ('internal_ports', '0,7635'),
        ('limits.max_fds', '0'),
        ('limits.memory_mb', 'much'),
    ],
)
def test_error_names_invalid_field_and_value(field, value):
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(replace_value(field, value))
    assert f'{field}={value!r}' in str(caught.value)


def test_limits_of_the_process_may_be_missing():
    lines = (x for x in TEXT.splitlines() if not x.startswith('limits.m'))
    parsed = settings.parse('\n'.join(lines))
    assert parsed.max_descriptors is None
    assert parsed.memory_bytes is None


def test_error_names_missing_field():
    text = TEXT.replace('platform.address', 'platform.other')
    with pytest.raises(errors.SettingsError, match=r'platform\.address'):
        settings.parse(text)


def test_error_for_missing_file_names_variable(tmp_path):
    path = str(tmp_path / 'none')
    with pytest.raises(errors.SettingsError, match='PUMICESTAND_SETTINGS'):
        settings.load({settings.PATH_VARIABLE: path})


def test_file_is_found_by_environment_variable(tmp_path):
    path = tmp_path / 'node.conf'
    path.write_text(TEXT, encoding='utf-8')
    environment = {settings.PATH_VARIABLE: str(path)}
    assert settings.load(environment) == settings.parse(TEXT)


@pytest.mark.parametrize(
    ('content', 'problem'),
    [
        (TEXT.encode() + b'note=\xff\xfe', 'not UTF-8'),
        (TEXT.encode() + b'#' * settings.MAX_FILE_BYTES, 'more than'),
    ],
)
def test_file_that_holds_no_settings_is_a_settings_error(
    tmp_path, content, problem
):
    path = tmp_path / 'node.conf'
    path.write_bytes(content)
    with pytest.raises(errors.SettingsError, match=problem):
        settings.load({settings.PATH_VARIABLE: str(path)})


def test_file_that_the_system_can_not_open_is_a_settings_error(monkeypatch):
    def fail(*arguments):
        raise OSError(errno.EMFILE, 'Too many open files')

    monkeypatch.setattr(settings, 'open', fail, raising=False)
    with pytest.raises(errors.SettingsError, match='Too many open files'):
        settings.load({settings.PATH_VARIABLE: 'node.conf'})
