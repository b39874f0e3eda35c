// Package logging creates loggers that write each event as one line of key=value
// pairs. Package command makes the loggers of nodes with it, and package dev those
// of development fleets.
//
// # Usage
//
//	logger := logging.New(os.Stderr, slog.LevelInfo)
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes events of the given level and above to w. It
// makes one call of Write per event, never two at once, and drops an event if Write
// fails.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError}))
}

// shortError replaces an error by its message. By default, slog formats errors
// with %+v, which adds the stack trace of an error that has one, over many lines.
// fmt.Sprint recovers from a panic of the Error method on a nil pointer. Calling
// the method directly would end the process.
func shortError(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(fmt.Sprint(err))
	}
	return attr
}
