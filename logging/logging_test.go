package logging_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/logging"
)

type wrapped struct{ cause error }

// Error panics on a nil pointer, as the methods of most error types do.
func (w *wrapped) Error() string { return w.cause.Error() }

// Guards against events that take several lines, stack traces in the log, and a
// log call that panics on a nil error pointer.
func TestEventsTakeOneLine(t *testing.T) {
	var nilPointer *wrapped
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"error with a stack trace": {errors.Trace(errors.Annotate(errors.New("no route"), "dial")), `Error="dial: no route"`},
		"error of two lines":       {errors.New("one\ntwo"), `Error="one\ntwo"`},
		"value of two lines":       {"one\ntwo", `Error="one\ntwo"`},
		"nil value":                {nil, "Error=<nil>"},
		"nil error pointer":        {nilPointer, "Error=<nil>"},
		"error in a group":         {slog.GroupValue(slog.Any("Cause", errors.New("gone"))), "Error.Cause=gone"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger := logging.New(&out, slog.LevelInfo)
			logger.Debug("below the level")
			logger.Info("event", "Error", c.value)
			if line := out.String(); strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "level=INFO msg=event "+c.want+"\n") {
				t.Errorf("log %q, want one line that ends with %s", line, c.want)
			}
		})
	}
}
