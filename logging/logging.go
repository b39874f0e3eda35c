// Package logging makes the program's loggers: one line of key=value pairs for
// each event.
//
// # Usage
//
//	logger := logging.New(os.Stderr, slog.LevelInfo)
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes events of a level and above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError}))
}

// shortError prints errors by their message. The default is a format that
// includes the stack of errors that have one, over many lines.
func shortError(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}
