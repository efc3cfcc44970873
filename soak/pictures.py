"""Draws the injected faults and the responses of a soak over time."""

# Width of a column of the histogram of responses.
BIN_S = 0.5
_STATUS_COLOURS = (
    (200, 'tab:green'),
    (503, 'tab:orange'),
    (502, 'tab:red'),
    (504, 'tab:purple'),
    (0, 'black'),
)


def draw_timeline(record, start_time, path):
    """Write a PNG of a `records.Record`.

    :param start_time: start of the soak, in seconds of trio's clock
    :param path: path of the file
    """
    # The import takes longer than the checks of a short soak, so that it is
    # left to those who ask for a picture.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (fault_axes, call_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), height_ratios=(2, 1)
    )
    rows = sorted({f'{d.fault} {d.node}' for d in record.disruptions})
    for disruption in record.disruptions:
        row = rows.index(f'{disruption.fault} {disruption.node}')
        start = disruption.since - start_time
        fault_axes.barh(row, disruption.until - disruption.since, left=start)
    fault_axes.set_yticks(range(len(rows)), rows, fontsize=6)
    for status, colour in _STATUS_COLOURS:
        times = [
            call.ended_at - start_time
            for call in record.calls
            if call.status == status
        ]
        last_time = max(times, default=1.0)
        bins = [BIN_S * number for number in range(int(last_time / BIN_S) + 2)]
        call_axes.hist(
            times, bins=bins, histtype='step', color=colour, label=str(status)
        )
    call_axes.set_yscale('symlog')
    call_axes.set_xlabel('seconds')
    call_axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
