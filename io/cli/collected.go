package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/io/logs"
)

const timelineUsage = `timeline [-request ID] [-team T] [-upstream U] [-node N] [-kind K] [-since RFC3339] [FILE ...]
  Merges the events of live nodes, or the log lines of files that were collected from nodes; - is standard input.
`

// longestLine bounds a line of a collected log, in bytes.
const longestLine = 1 << 20

// timelineOf merges the lines of collected logs.
func (o *output) timelineOf(files []string, filter event.Filter, since string) error {
	from := time.Time{}
	if since != "" {
		var err error
		if from, err = time.Parse(time.RFC3339, since); err != nil {
			return exitf(exitUsage, "-since: %v", err)
		}
	}
	var lines []logs.Line
	other := 0
	for _, name := range files {
		got, skipped, err := readLog(name, func(l logs.Line) bool { return !l.Time.Before(from) && matches(l, filter) })
		if err != nil {
			return exitf(exitFailed, "%s: %v", name, err)
		}
		lines = append(lines, got...)
		other += skipped
	}
	slices.SortStableFunc(lines, func(a, b logs.Line) int { return a.Time.Compare(b.Time) })
	err := o.table("TIME\tNODE\tEVENT\tWHAT", func(add func(...any)) {
		for _, l := range lines {
			add(l.Time.UTC().Format("15:04:05.000"), l.Value("node"), l.Value("event"), describe(l))
		}
	})
	if other > 0 {
		fmt.Fprintf(o.stderr, "%d lines are not of a node's log and were left out\n", other)
	}
	return err
}

// readLog returns the lines of a log that are wanted, and how many are none.
func readLog(name string, wanted func(logs.Line) bool) (lines []logs.Line, other int, err error) {
	in := io.NopCloser(os.Stdin)
	if name != "-" {
		if in, err = os.Open(name); err != nil {
			return nil, 0, err
		}
	}
	defer in.Close()
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		l, err := logs.Parse(scanner.Text())
		switch {
		case err != nil:
			other++
		case wanted(l):
			lines = append(lines, l)
		}
	}
	return lines, other, scanner.Err()
}

// matches reports whether a line is one that a filter asks for; an upstream may stand anywhere in a line.
func matches(l logs.Line, f event.Filter) bool {
	for _, want := range []struct{ key, value string }{
		{"request", f.Request}, {"team", f.Team}, {"node", f.Node}, {"event", f.Kind},
	} {
		if want.value != "" && l.Value(want.key) != want.value {
			return false
		}
	}
	if f.Upstream == "" {
		return true
	}
	return slices.ContainsFunc(l.Fields, func(field logs.Field) bool { return strings.Contains(field.Value, f.Upstream) })
}

// describe writes the fields that have no column.
func describe(l logs.Line) string {
	var parts []string
	for _, f := range l.Fields {
		switch f.Key {
		case "time", "level", "node", "event":
		default:
			if strings.ContainsAny(f.Value, " ") || f.Value == "" {
				parts = append(parts, fmt.Sprintf("%s=%q", f.Key, f.Value))
			} else {
				parts = append(parts, f.Key+"="+f.Value)
			}
		}
	}
	return strings.Join(parts, " ")
}
