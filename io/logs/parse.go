package logs

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log, with its fields in order.
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

// Parse reads a line as New's loggers write it. What stands before time=, such as a collector's prefix, is left out.
func Parse(text string) (Line, error) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, errLine
	}
	rest := strings.TrimSpace(text[at:])
	var l Line
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || strings.ContainsAny(key, " \"") {
			return Line{}, errLine
		}
		value, left, err := cutValue(after)
		if err != nil {
			return Line{}, errLine
		}
		l.Fields = append(l.Fields, Field{key, value})
		rest = strings.TrimLeft(left, " ")
	}
	when, err := time.Parse(time.RFC3339Nano, l.Value("time"))
	if err != nil {
		return Line{}, errLine
	}
	l.Time = when
	return l, nil
}

// cutValue returns the value at the beginning of a text, quoted or up to a space, and what follows.
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
