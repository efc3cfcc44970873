"""Draw events with matplotlib."""

from pumicestand import clocks


def draw_timeline(events, path):
    """Write a PNG with one row for each process.

    :param events: mappings, one for each event, in order
    :param path: path of the file
    """
    # The import takes longer than the whole run of any other command.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    processes = sorted({event['process'] for event in events})
    kinds = sorted({event['kind'] for event in events})
    first = min((event['stamp'] for event in events), default=0)
    figure, axes = pyplot.subplots(
        figsize=(12, 1.5 + 0.4 * max(1, len(processes)))
    )
    colours = pyplot.get_cmap('tab20')
    for index, kind in enumerate(kinds):
        events_of_kind = [event for event in events if event['kind'] == kind]
        axes.scatter(
            [
                _seconds_after(event['stamp'], first)
                for event in events_of_kind
            ],
            [processes.index(event['process']) for event in events_of_kind],
            label=kind,
            color=colours(index % 20),
            s=28,
        )
    axes.set_yticks(range(len(processes)), processes)
    axes.set_xlabel('seconds after the first event')
    axes.grid(axis='y', alpha=0.3)
    axes.legend(loc='upper left', bbox_to_anchor=(1.0, 1.0), fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _seconds_after(stamp, first):
    return clocks.stamp_seconds(stamp) - clocks.stamp_seconds(first)
