package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/nettest"
)

// Guards against a status of 404 from a node that has no configuration yet. It
// would tell callers that the route or model doesn't exist. chi matches the
// RawPath of a path with an escaped slash.
func TestRequestBeforeFirstConfiguration(t *testing.T) {
	for _, test := range []struct {
		revision uint64
		path     string
		status   int
	}{
		{0, "/v1/models", http.StatusServiceUnavailable},
		{0, "/desk/entries", http.StatusServiceUnavailable},
		{0, "/desk%2Fentries", http.StatusServiceUnavailable},
		{1, "/nowhere", http.StatusNotFound},
		{1, "/no%2Fwhere", http.StatusNotFound},
	} {
		synctest.Test(t, func(t *testing.T) {
			config := benchConfig(netip.MustParseAddrPort("10.0.0.2:80"))
			snapshot := fleet.Compile(config, test.revision)
			server := startCaller(t, nettest.New().Host("10.0.0.1"), netip.MustParseAddrPort("10.0.0.1:7000"), config, scriptedEngine{}, true,
				func(o *caller.Options) { o.Snapshot = func() *fleet.Snapshot { return snapshot } })
			request := httptest.NewRequest(http.MethodGet, test.path, nil)
			request.Header.Set("Authorization", "Bearer "+benchKey)
			response := httptest.NewRecorder()
			server.Handler().ServeHTTP(response, request)
			var body struct{ Error struct{ Code string } }
			if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil || body.Error.Code == "" || response.Code != test.status {
				t.Errorf("revision %d, %s: %d %s, want %d with an error body of the API", test.revision, test.path, response.Code, response.Body, test.status)
			}
		})
	}
}
