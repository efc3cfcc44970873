"""Starts nodes as the deploy file says, with the limits of a machine."""

import dataclasses
import enum
import json
import os
import pathlib
import random
import resource
import subprocess
import sysconfig
import tomllib

import trio

from benchmarks import harness

ROLE = 'node'
# Limits of descriptors that are drawn; the last one is that of the platform.
MAX_FDS = (150, 250, 500, 1024, 4100)
# Limits of memory that are drawn, as deployments have them.
MEMORY_MB = (150, 300)
PACKAGE_FOLDERS = ('packages/pumicestand', 'packages/pumicestand-node')
READ_BYTES = 65_536
# Longest time for which a reader of standard output does not read, and for
# which one that leaves stays.
MAX_PAUSE_S = 4.0


class Output(enum.StrEnum):
    """Where the standard output of a process goes.

    The reader of `LATE_PIPE` pauses, that of `LEFT_PIPE` goes away.
    """

    FILE = 'file'
    LATE_PIPE = 'late-pipe'
    LEFT_PIPE = 'left-pipe'
    FULL_DEVICE = 'full-device'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """How the deploy file of a source tree starts nodes.

    :param root: path of the source tree, the working directory of the nodes
    :param arguments: those of the interpreter
    :param module_path: the variable ``PYTHONPATH``
    :param metrics_address: port and path of the metrics
    """

    root: pathlib.Path
    arguments: tuple[str, ...]
    module_path: str
    metrics_address: tuple[int, str]

    @classmethod
    def read(cls, root, module_path):
        """Return that of a source tree."""
        text = (root / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        role = tomllib.loads(text)['roles'][ROLE]
        port, _, path = role['metrics'].partition('/')
        return cls(
            root,
            tuple(role['run'].split()[1:]),
            module_path,
            (int(port), f'/{path}'),
        )

    @classmethod
    def build(cls, root):
        """Build a source tree as the platform does, and return its own."""
        text = (root / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        build = tomllib.loads(text)['build']
        subprocess.run(['sh', '-c', build], cwd=root, check=True)
        return cls.read(root, str(root / 'target' / 'deps'))

    @classmethod
    def from_sources(cls, root):
        """Return that of the sources and of the packages installed here."""
        folders = [str(root / folder) for folder in PACKAGE_FOLDERS]
        folders += [sysconfig.get_path('purelib')]
        return cls.read(root, os.pathsep.join(folders))


class Machine:
    """The limits and the standard output of the processes of one node.

    :param deployment: the `Deployment` of the node
    :param seed: determines limits and output
    """

    def __init__(self, deployment, seed):
        self._rng = random.Random(f'machine {seed}')
        self.deployment = deployment
        self.output = self._rng.choice(tuple(Output))
        self.max_fds = self._rng.choice(MAX_FDS)
        # The soft limit may be lower than what the settings promise.
        self._soft_limit = self._rng.choice(
            (self.max_fds, min(self.max_fds, MAX_FDS[1]))
        )
        self.memory_mb = self._rng.choice(MEMORY_MB)

    @property
    def settings(self):
        """The lines that the settings file has besides the usual ones."""
        return (
            f'limits.max_fds={self.max_fds}\n'
            f'limits.memory_mb={self.memory_mb}\n'
        )

    def start(self, name, settings_path, log, nursery):
        """Start a process and return the `harness.Process`.

        Its standard error goes to a file beside that of its output.

        :param log: path for what was read of its output
        :param nursery: the nursery in which its output is read
        """
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = self.deployment.module_path
        environment['PUMICESTAND_SETTINGS'] = str(settings_path)
        output = self._open_output(log, nursery)
        try:
            return harness.Process(
                f'{name} ({self.output}, {self.max_fds} descriptors)',
                self.deployment.arguments,
                log.with_suffix('.err'),
                stdout=output,
                env=environment,
                cwd=self.deployment.root,
                preexec_fn=self._limit,
            )
        finally:
            os.close(output)

    def _open_output(self, log, nursery):
        match self.output:
            case Output.LATE_PIPE | Output.LEFT_PIPE:
                read_end, write_end = os.pipe()
                nursery.start_soon(self._read_output, read_end, log)
                return write_end
            case Output.FULL_DEVICE:
                return os.open('/dev/full', os.O_WRONLY)
            case _:
                return os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def _limit(self):
        limits = (self._soft_limit, self.max_fds)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        if self.output is Output.CLOSED:
            os.close(1)

    async def _read_output(self, read_end, log):
        """Read the output of a process with pauses, or only for a while."""
        has_pauses = self.output is Output.LATE_PIPE
        stay_s = self._rng.uniform(0.0, MAX_PAUSE_S)
        async with trio.lowlevel.FdStream(read_end) as stream:
            with trio.move_on_after(float('inf') if has_pauses else stay_s):
                with log.open('ab') as file:
                    while data := await stream.receive_some(READ_BYTES):
                        file.write(data)
                        if has_pauses:
                            pause_s = self._rng.uniform(0.0, MAX_PAUSE_S)
                            await trio.sleep(pause_s)


def find_torn_lines(folder):
    """Yield (name of the log, line) of each line that is not a JSON object.

    The last line may end where the process or its reader has ended.
    """
    for path in sorted(folder.glob('*.log')):
        for line in path.read_bytes().split(b'\n')[:-1]:
            try:
                is_object = isinstance(json.loads(line), dict)
            except ValueError:
                is_object = False
            if not is_object:
                yield path.name, line
