package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against entries of another writer among those of the upstreams that end
// the requests of a node, or keep the nodes which follow it from learning of
// later changes.
func TestOddUpstreamEntriesDontStopTheList(t *testing.T) {
	const valid = `{"service":"desk","address":"10.2.0.9:80","zone":"a","slots":8,"state":"ready","born":1}`
	for name, text := range map[string]string{
		"nested":       `{"service":"desk","address":"10.2.0.9:80","zone":"a","state":"ready","models":` + strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000) + `}`,
		"slots":        strings.Replace(valid, `"slots":8`, `"slots":4611686018427387904`, 1),
		"born":         strings.Replace(valid, `"born":1`, `"born":9000000000000000000`, 1),
		"number":       strings.Replace(valid, `"born":1`, `"born":1e999`, 1),
		"port":         strings.Replace(valid, `:80`, `:99999`, 1),
		"port 0":       strings.Replace(valid, `:80`, `:0`, 1),
		"type":         strings.Replace(valid, `"desk"`, `["desk"]`, 1),
		"enormous":     strings.Replace(valid, `"a"`, `"`+strings.Repeat("a", 900_000)+`"`, 1),
		"not text":     "\xff\xfe\x00",
		"line in zone": strings.Replace(valid, `"a"`, `"a\r\nb"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesk("d1", "10.2.0.1:80")
				f.configure(1, key)
				f.startNode("n1", "10.1.0.1")
				f.startNodeAndWait("n2", "10.1.0.2")
				f.store.Set(platform.UpstreamPrefix+"odd", []byte(text))
				f.advance(2 * time.Second)
				f.startDesk("d2", "10.2.0.2:80")
				f.advance(2 * time.Second)
				for _, node := range []string{"10.1.0.1", "10.1.0.2"} {
					for range 4 {
						f.expect(f.request(node, http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d")
					}
				}
				// Without d1, only nodes that follow the list still serve.
				f.store.Delete(platform.UpstreamPrefix + "d1")
				f.advance(4 * time.Second)
				for _, node := range []string{"10.1.0.1", "10.1.0.2"} {
					f.expect(f.request(node, http.MethodGet, "/draws/2", "", nil), http.StatusOK, "answer of d2")
				}
				// A node that starts now lists the entry instead of watching it.
				f.startNodeAndWait("n3", "10.1.0.3")
				f.expect(f.request("10.1.0.3", http.MethodGet, "/draws/3", "", nil), http.StatusOK, "answer of d2")
			})
		})
	}
}

// startDesk starts and registers a plain upstream.
func (f *testFleet) startDesk(id, address string) {
	f.startUpstream(id, "desk", "", address, &platformtest.Upstream{})
}

// Guards against an odd node entry in the store that ends a node or hides the
// others, whose datagrams a node then doesn't get.
func TestOddNodeEntriesAreIgnored(t *testing.T) {
	for i, text := range []string{
		strings.Repeat("[", 50_000), `{"Address":"10.1.0.9:70000","FailureDomain":"a"}`, `{"Address":7}`, `{}`, "\xff",
		`{"Address":"10.1.0.9:0","FailureDomain":"a"}`,
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.startDesk("d1", "10.2.0.1:80")
				f.configure(1, key)
				f.store.Set("guavagauge/node/odd", []byte(text))
				f.startNode("n1", "10.1.0.1")
				f.startNodeAndWait("n2", "10.1.0.2")
				f.advance(5 * time.Second)
				for _, node := range []string{"10.1.0.1", "10.1.0.2"} {
					f.expect(f.request(node, http.MethodGet, "/draws/1", "", nil), http.StatusOK, "answer of d1")
				}
			})
		})
	}
	if json.Valid([]byte(strings.Repeat("[", 50_000))) {
		t.Error("the nested entry is valid JSON, want one that can't be decoded")
	}
}
