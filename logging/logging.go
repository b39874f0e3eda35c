// Package logging makes the program's loggers: one line of key=value pairs for
// each event.
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

// New returns a logger that writes events of a level and above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError}))
}

// shortError prints errors by their message. The default is a format that
// includes the stack of errors that have one, over many lines. Package fmt
// recovers from the Error method of a nil pointer, which would end the process.
func shortError(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(fmt.Sprint(err))
	}
	return attr
}
