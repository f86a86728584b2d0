package logs

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Line is one parsed log line with its fields in order.
type Line struct {
	Time   time.Time
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Value returns the value of a key, or "".
func (l Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

var errLine = errors.New("not a line of key=value pairs that begins with time=")

// Parse parses a line in the format of New's loggers. Text before time=, such as the prefix of a log collector, is
// ignored.
func Parse(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, errLine
	}
	rest := strings.TrimSpace(text[start:])
	var l Line
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || strings.ContainsAny(key, " \"") {
			return Line{}, errLine
		}
		value, tail, err := cutValue(after)
		if err != nil {
			return Line{}, errLine
		}
		l.Fields = append(l.Fields, Field{key, value})
		rest = strings.TrimLeft(tail, " ")
	}
	t, err := time.Parse(time.RFC3339Nano, l.Value("time"))
	if err != nil {
		return Line{}, errLine
	}
	l.Time = t
	return l, nil
}

// cutValue splits a text after its first value, which is quoted or ends at a space.
func cutValue(s string) (value, rest string, err error) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", err
	}
	value, err = strconv.Unquote(quoted)
	return value, s[len(quoted):], err
}
