package upstream_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/guavagauge/guavagauge/upstream"
)

// Guards against a status that is missing from those with which a request that may have
// run must not be answered, and against one too many, which hides what an upstream says.
func TestOnlyPromisesAreWithheldAfterRun(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for status := 200; status < 600; status++ {
		if got, want := upstream.MayHaveRun.Allows(status), !slices.Contains(promises, status); got != want {
			t.Errorf("MayHaveRun.Allows(%d) = %t, want %t", status, got, want)
		}
		if !upstream.NotRun.Allows(status) {
			t.Errorf("NotRun.Allows(%d) = false, want true", status)
		}
	}
}
