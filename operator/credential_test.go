package operator_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/guavagauge/guavagauge/operator"
)

const baseURL = "http://10.0.0.1:8081"

// protectedCalls are all calls that need the credential.
var protectedCalls = []struct{ method, path, body string }{
	{http.MethodGet, operator.PathConfig, ""},
	{http.MethodPost, operator.PathConfig, `{"Text":"[[Owner]]\nName = \"p\""}`},
	{http.MethodGet, operator.PathHistory, ""},
	{http.MethodPost, operator.PathRollback, `{"To":1}`},
	{http.MethodPost, operator.PathLabel, `{"Kind":"workspace","Owner":"o","Name":"alpha","Key":"k","Value":"v"}`},
	{http.MethodGet, operator.PathKeys, ""},
	{http.MethodPost, operator.PathKeys, `{"Owner":"o","Workspace":"alpha"}`},
	{http.MethodDelete, operator.PathKeys, `{"Owner":"o","Name":"alpha"}`},
	{http.MethodGet, operator.PathInForce + "?revision=1", ""},
}

// send makes a call, with an Authorization header unless authorization is empty.
func (f *fixture) send(method, path, authorization string, body io.Reader) (status int, reply operator.ErrorReply) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.ctx, method, baseURL+path, body)
	f.check(err)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	response, err := f.http.Do(r)
	f.check(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	f.check(err)
	json.Unmarshal(text, &reply) // fails on the plain text of paths that need no credential
	return response.StatusCode, reply
}

// Guards against a call that takes effect or returns data without the
// credential, and against health checks and metrics that need it.
func TestCallsRequireCredential(t *testing.T) {
	withFixture(t, func(f *fixture) {
		for _, call := range protectedCalls {
			for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "Bearer " + credential + "x", "Basic " + credential, credential} {
				status, reply := f.send(call.method, call.path, authorization, strings.NewReader(call.body))
				if status != http.StatusUnauthorized || strings.Contains(reply.Error, credential) {
					t.Errorf("%s %s with %q: status %d %+v, want 401", call.method, call.path, authorization, status, reply)
				}
			}
		}
		if revision, _ := f.config(); revision != 1 {
			t.Errorf("revision %d after refused calls, want 1", revision)
		}
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			if status, _ := f.send(http.MethodGet, path, "", nil); status != http.StatusOK {
				t.Errorf("%s without the credential: status %d", path, status)
			}
		}
	})
}
