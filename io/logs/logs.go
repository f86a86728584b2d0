package logs

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// New returns a logger that writes lines of key=value pairs; with verbose it also writes those of V(1) to V(4).
func New(w io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: renameMessage})
	return logr.FromSlogHandler(h)
}

// renameMessage renames the key of the message to "event".
func renameMessage(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

// RedirectLogx redirects the logs of go-zero to a logger.
func RedirectLogx(l logr.Logger) {
	logx.SetWriter(&writer{l})
	logx.DisableStat()
}

// writer implements logx.Writer on a logr.Logger.
type writer struct{ log logr.Logger }

// Alert logs an alert.
func (w *writer) Alert(v any) { w.log.Error(nil, "library-alert", "text", fmt.Sprint(v)) }

// Close does nothing.
func (w *writer) Close() error { return nil }

// Debug logs at V(1).
func (w *writer) Debug(v any, _ ...logx.LogField) { w.log.V(1).Info("library", "text", fmt.Sprint(v)) }

// Error logs an error.
func (w *writer) Error(v any, _ ...logx.LogField) {
	w.log.Error(nil, "library-error", "text", fmt.Sprint(v))
}

// Info logs at V(1): the information messages of libraries are too detailed for the normal log.
func (w *writer) Info(v any, _ ...logx.LogField) { w.log.V(1).Info("library", "text", fmt.Sprint(v)) }

// Severe logs a severe error.
func (w *writer) Severe(v any) { w.log.Error(nil, "library-severe", "text", fmt.Sprint(v)) }

// Slow logs a slow call at V(1).
func (w *writer) Slow(v any, _ ...logx.LogField) { w.log.V(1).Info("library", "text", fmt.Sprint(v)) }

// Stack logs an error with its stack trace.
func (w *writer) Stack(v any) { w.log.Error(nil, "library-stack", "text", fmt.Sprint(v)) }

// Stat does nothing: metrics are published through expvar.
func (w *writer) Stat(any, ...logx.LogField) {}
