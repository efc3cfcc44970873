"""Draws what was injected when, and what callers saw."""

# Seconds of one column of the answers.
BIN_S = 0.5
_STATUSES = ((200, 'tab:green'), (503, 'tab:orange'), (502, 'tab:red'),
             (504, 'tab:purple'), (0, 'black'))  # fmt: skip


def draw(record, started, path):
    """Write a PNG of a `records.Record`.

    :param started: when the soak's time began
    """
    # Imported here: it takes longer than a short soak's checks.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7), height_ratios=(2, 1)
    )
    lanes = sorted({f'{d.fault} {d.node}' for d in record.disruptions})
    for disruption in record.disruptions:
        lane = lanes.index(f'{disruption.fault} {disruption.node}')
        begin = disruption.since - started
        above.barh(lane, disruption.until - disruption.since, left=begin)
    above.set_yticks(range(len(lanes)), lanes, fontsize=6)
    for status, colour in _STATUSES:
        times = [
            attempt.ended_at - started
            for attempt in record.attempts
            if attempt.status == status
        ]
        last = max(times, default=1.0)
        bins = [BIN_S * number for number in range(int(last / BIN_S) + 2)]
        below.hist(
            times, bins=bins, histtype='step', color=colour, label=str(status)
        )
    below.set_yscale('symlog')
    below.set_xlabel('seconds')
    below.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
