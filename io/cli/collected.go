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

// maxLine is the longest line that is read from a collected log, in bytes.
const maxLine = 1 << 20

// mergeLogs prints the matching lines of collected logs, merged by time.
func (o *output) mergeLogs(files []string, filter event.Filter, since string) error {
	from := time.Time{}
	if since != "" {
		var err error
		if from, err = time.Parse(time.RFC3339, since); err != nil {
			return exitf(exitUsage, "-since: %v", err)
		}
	}
	var lines []logs.Line
	skipped := 0
	for _, name := range files {
		matching, n, err := readLog(name, func(l logs.Line) bool { return !l.Time.Before(from) && matches(l, filter) })
		if err != nil {
			return exitf(exitFailed, "%s: %v", name, err)
		}
		lines = append(lines, matching...)
		skipped += n
	}
	slices.SortStableFunc(lines, func(a, b logs.Line) int { return a.Time.Compare(b.Time) })
	err := o.printTable("TIME\tNODE\tEVENT\tWHAT", func(add func(...any)) {
		for _, l := range lines {
			add(l.Time.UTC().Format("15:04:05.000"), l.Value("node"), l.Value("event"), describe(l))
		}
	})
	if skipped > 0 {
		fmt.Fprintf(o.stderr, "%d lines are not of a node's log and were left out\n", skipped)
	}
	return err
}

// readLog returns the wanted lines of a log file, and the number of lines that are not of a node's log.
func readLog(name string, wanted func(logs.Line) bool) (lines []logs.Line, skipped int, err error) {
	in := io.NopCloser(os.Stdin)
	if name != "-" {
		if in, err = os.Open(name); err != nil {
			return nil, 0, err
		}
	}
	defer in.Close()
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, err := logs.Parse(scanner.Text())
		switch {
		case err != nil:
			skipped++
		case wanted(l):
			lines = append(lines, l)
		}
	}
	return lines, skipped, scanner.Err()
}

// matches reports whether a line passes a filter; the upstream's name may occur in the value of any field.
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

// describe formats the fields of a line that have no column of their own.
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
