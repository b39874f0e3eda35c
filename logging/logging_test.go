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

// Error fails on a nil pointer, as the methods of most error types do.
func (w *wrapped) Error() string { return w.cause.Error() }

// Guards against events over several lines, against stacks in the log, and
// against a log call that ends the process.
func TestOneLine(t *testing.T) {
	var absent *wrapped
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"traced error":     {errors.Trace(errors.Annotate(errors.New("no route"), "dial")), `Error="dial: no route"`},
		"lines in error":   {errors.New("one\ntwo"), `Error="one\ntwo"`},
		"lines in value":   {"one\ntwo", `Error="one\ntwo"`},
		"no error":         {nil, "Error=<nil>"},
		"absent error":     {absent, "Error=<nil>"},
		"error in a group": {slog.GroupValue(slog.Any("Cause", errors.New("gone"))), "Error.Cause=gone"},
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
