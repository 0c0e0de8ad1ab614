"""Writes docs/measures.svg and prints Markdown tables from the lines of scripts/measure.sh.

Usage: scripts/measure.sh | python3 scripts/plot_measures.py
"""

import json
import os
import sys

DOCS = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "docs")
COLOURS = {"marigold": "#d98c00", "quota": "#d98c00"}
BAR_HEIGHT = 14
LABEL_WIDTH = 330
PLOT_WIDTH = 420


def policy(line):
    return line.get("policy", line.get("strategy"))


def rows_of(lines):
    """Returns groups of (title, rows of (case, policy, value))."""
    routing = [(" ".join((line["deployment"], line["scenario"])), policy(line),
                line["in_time_per_accelerator"])
               for line in lines if line["program"] == "measure-routing"
               and "in_time_per_accelerator" in line]
    placement = [(line["deployment"] + " evening", policy(line),
                  line["in_time_per_accelerator"])
                 for line in lines if line["program"] == "measure-placement"]
    limits = [(" ".join((line.get("deployment", ""), line["scenario"])), policy(line),
               line["wrongful_per_thousand"])
              for line in lines if line["program"] == "measure-limits"
              and "deployment" in line and "wrongful_per_thousand" in line]
    return [("Routing: in-time answers per accelerator", routing),
            ("Placement: in-time answers per accelerator", placement),
            ("Limits: wrongful refusals per thousand", limits)]


def table(title, rows):
    policies = sorted({name for _, name, _ in rows}, key=lambda name: (name not in COLOURS, name))
    cases = list(dict.fromkeys(case for case, _, _ in rows))
    values = {(case, name): value for case, name, value in rows}
    text = ["### " + title, "", "| case | " + " | ".join(policies) + " |",
            "| --- |" + " --- |" * len(policies)]
    for case in cases:
        cells = ["%.4g" % values[case, name] if (case, name) in values else "–"
                 for name in policies]
        text.append("| %s | %s |" % (case, " | ".join(cells)))
    return "\n".join(text) + "\n"


def plot(groups):
    parts = []
    top = 10
    for title, rows in groups:
        largest = max([value for _, _, value in rows] + [1e-9])
        parts.append('<text x="10" y="%d" font-weight="bold">%s</text>' % (top + 12, title))
        top += 22
        for case, name, value in rows:
            width = PLOT_WIDTH * value / largest
            parts.append('<text x="10" y="%d">%s: %s</text>' % (top + 11, case, name))
            parts.append('<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>' % (
                LABEL_WIDTH, top + 1, width, BAR_HEIGHT - 3, COLOURS.get(name, "#8899aa")))
            parts.append('<text x="%.0f" y="%d">%.4g</text>' % (
                LABEL_WIDTH + width + 4, top + 11, value))
            top += BAR_HEIGHT
        top += 16
    return ('<svg xmlns="http://www.w3.org/2000/svg" width="850" height="%d" '
            'font-family="sans-serif" font-size="11">%s</svg>\n' % (top, "\n".join(parts)))


def main():
    lines = [json.loads(text) for text in sys.stdin if text.startswith("{")]
    groups = [group for group in rows_of(lines) if group[1]]
    with open(os.path.join(DOCS, "measures.svg"), "w", encoding="utf-8") as file:
        file.write(plot(groups))
    for title, rows in groups:
        print(table(title, rows))


if __name__ == "__main__":
    main()
