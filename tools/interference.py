#!/usr/bin/env python3
"""Finds what two troubles cost beyond the sum of each: writes days of a site with neither, one, the other and both
of them, and prints the table of what was played.

    interference.py days SITE.toml FOLDER --pair NAME.toml [--day DAY]
    interference.py table REPORT.json...

A pair's file has two lists of a day's entries, `first` and `second`, in the published form of a day (`plan` entries
bear `planned = true`). The four days have the site's traffic, length and seed, so that they differ by the entries
alone. Reports are what `fleetbench run SITE DAY --report FILE` writes; the four of a pair are told by their names,
NAME-none, NAME-first, NAME-second and NAME-both.
"""
import argparse
import json
import pathlib
import tomllib

PARTS = ('none', 'first', 'second', 'both')
# Windows that count as a day's worst.
WORST_WINDOWS = 3
COLUMNS = ('day', 'worth less prices', 'served', 'worth of windows', f'worst {WORST_WINDOWS}', 'worst one', 'duties missed',
           'worker seconds', 'rules broken')
REPLACED_FIELDS = ('faults', 'plan', 'closing', 'small', 'name')


def toml_value(value):
    """A value in TOML's inline form."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, dict):
        return '{ ' + ', '.join(f'{key} = {toml_value(item)}' for key, item in value.items()) + ' }'
    if isinstance(value, list):
        return '[' + ', '.join(toml_value(item) for item in value) + ']'
    return str(value)


def day_text(day):
    return '[[day]]\n' + '\n'.join(f'{key} = {toml_value(value)}' for key, value in day.items()) + '\n'


def entries_of(pair, part):
    """The entries of one of the four days."""
    names = {'none': [], 'first': ['first'], 'second': ['second'], 'both': ['first', 'second']}[part]
    return [entry for name in names for entry in pair[name]]


def day_with(base, name, entries):
    day = {key: value for key, value in base.items() if key not in REPLACED_FIELDS}
    planned = [{key: value for key, value in entry.items() if key != 'planned'}
               for entry in entries if entry.get('planned')]
    faults = [entry for entry in entries if not entry.get('planned')]
    return {'name': name, **day, 'plan': planned, 'faults': faults}


def write_days(options):
    site = tomllib.loads(pathlib.Path(options.site).read_text())
    base = next(day for day in site['day'] if options.day in (None, day['name']))
    pair_name = pathlib.Path(options.pair).stem
    pair = tomllib.loads(pathlib.Path(options.pair).read_text())
    folder = pathlib.Path(options.folder)
    folder.mkdir(parents=True, exist_ok=True)
    for part in PARTS:
        name = f'{pair_name}-{part}'
        (folder / f'{name}.toml').write_text(day_text(day_with(base, name, entries_of(pair, part))))
        print(folder / f'{name}.toml')


def mean_worth(report, worst=None):
    """The worth of a day's windows, by requests; of the worst ones alone if their number is given."""
    windows = sorted(report['windows'], key=lambda window: window['worth'])[:worst]
    requests = sum(window['n'] for window in windows)
    return sum(window['worth'] * window['n'] for window in windows) / requests if requests else 0.0


def price_of(report, name):
    return next((amount for label, amount, _ in report['prices'] if label == name), 0.0)


def row_of(name, report):
    return [name, f"{report['G']:.3f}", f"{report['served']:.3f}", f'{mean_worth(report):.3f}',
            f'{mean_worth(report, WORST_WINDOWS):.2f}', f"{min(w['worth'] for w in report['windows']):.2f}",
            f"{price_of(report, 'duties missed'):.0f}", f"{price_of(report, 'seconds of servers ordered'):.0f}",
            str(sum(report['breaks'].values()) if report['breaks'] else 0)]


def beyond_sum(reports):
    """What both cost beyond the sum of each, in worth of the whole day and of the worst windows."""
    def cost(part, worst):
        return mean_worth(reports['none'], worst) - mean_worth(reports[part], worst)
    return [cost('both', worst) - cost('first', worst) - cost('second', worst) for worst in (None, WORST_WINDOWS)]


def print_table(options):
    reports = {pathlib.Path(path).stem: json.loads(pathlib.Path(path).read_text()) for path in options.reports}
    print('| ' + ' | '.join(COLUMNS) + ' |\n|' + '---|' * len(COLUMNS))
    for name, report in sorted(reports.items()):
        print('| ' + ' | '.join(row_of(name, report)) + ' |')
    for pair in sorted({name.rsplit('-', 1)[0] for name in reports}):
        parts = {part: reports[f'{pair}-{part}'] for part in PARTS if f'{pair}-{part}' in reports}
        if 'none' not in parts and options.none:
            parts['none'] = json.loads(pathlib.Path(options.none).read_text())
        if len(parts) < len(PARTS):
            continue
        whole, worst = beyond_sum(parts)
        print(f'\n{pair}: both cost {whole:+.3f} of the day and {worst:+.2f} of its worst windows beyond the sum')


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest='verb', required=True)
    days = verbs.add_parser('days', help='write the four days of a pair')
    days.add_argument('site')
    days.add_argument('folder')
    days.add_argument('--pair', required=True)
    days.add_argument('--day', help="whose traffic the days have; the site's first day if left out")
    days.set_defaults(run=write_days)
    table = verbs.add_parser('table', help='print what was played')
    table.add_argument('reports', nargs='+')
    table.add_argument('--none', help='the report of the day with neither, where pairs share one')
    table.set_defaults(run=print_table)
    options = parser.parse_args()
    options.run(options)


main()
