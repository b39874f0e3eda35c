package operator_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/operator"
)

// Guards against applying part of a request that is truncated or has an unknown
// field, and against a body that exhausts the node's memory.
func TestInvalidBodiesAreRefused(t *testing.T) {
	withFixture(t, func(f *fixture) {
		// The limit is 16 MiB.
		large := append(append([]byte(`{"Text":"`), bytes.Repeat([]byte("#"), 17<<20)...), `"}`...)
		for _, call := range protectedCalls {
			if call.body == "" {
				continue
			}
			for name, c := range map[string]struct {
				body   string
				status int
			}{
				"nothing":          {"", http.StatusBadRequest},
				"not JSON":         {"revision=1", http.StatusBadRequest},
				"unknown field":    {strings.Replace(call.body, "{", `{"DryRan":true,`, 1), http.StatusBadRequest},
				"cut off":          {call.body[:len(call.body)-1], http.StatusBadRequest},
				"two JSON values":  {call.body + call.body, http.StatusBadRequest},
				"too large":        {string(large), http.StatusRequestEntityTooLarge},
				"too large at end": {call.body + strings.Repeat(" ", 17<<20), http.StatusRequestEntityTooLarge},
			} {
				status, reply := f.send(call.method, call.path, "Bearer "+credential, strings.NewReader(c.body))
				if status != c.status || reply.Error == "" {
					t.Errorf("%s %s with %s: status %d %+v, want %d", call.method, call.path, name, status, reply, c.status)
				}
			}
		}
		if revision, _ := f.config(); revision != 1 {
			t.Errorf("revision %d after refused calls, want 1", revision)
		}
		for _, path := range []string{operator.PathHistory + "?limit=-1", operator.PathInForce + "?revision=one"} {
			if status, _ := f.send(http.MethodGet, path, "Bearer "+credential, nil); status != http.StatusBadRequest {
				t.Errorf("%s: status %d, want 400", path, status)
			}
		}
	})
}
