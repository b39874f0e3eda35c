package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

// raw sends a text on a new connection to node n1 and returns all that comes back.
func (f *testFleet) raw(text string) (answer string) {
	conn, err := f.network.Host(callerHost).Dial(context.Background(), netip.MustParseAddrPort(n1+":80"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, text)
	all, _ := io.ReadAll(conn) // may end with a reset
	return string(all)
}

// Guards against a node that doesn't apply the limits of the configuration in force to
// callers' connections, or refuses heads before it has a configuration.
func TestLimitsOfConfigurationApplyToCallers(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		config := func(version int, limits string) {
			text := strings.Replace(fmt.Sprintf(configText, version, `"`+key+`"`), `"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000`, limits, 1)
			f.store.Set(platform.ConfigKey, []byte(text))
		}
		head := "GET /draws/1 HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n"
		f.startNodeAndWait("n1", n1)
		if answer := f.raw(head); !strings.HasPrefix(answer, "HTTP/1.1 503") && !strings.HasPrefix(answer, "HTTP/1.1 400") {
			t.Errorf("answer %.40q to a head of 20 KB without a configuration", answer)
		}
		config(1, `"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000`)
		f.advance(3 * time.Second)
		if answer := f.raw(head); !strings.HasPrefix(answer, "HTTP/1.1 431") {
			t.Errorf("answer %.40q to a head over the limit", answer)
		}
		begin := time.Now()
		if answer := f.raw("GET /"); !strings.HasPrefix(answer, "HTTP/1.1 408") || time.Since(begin).Round(time.Second) != 3*time.Second {
			t.Errorf("answer %.40q to an incomplete head after %v", answer, time.Since(begin))
		}
		config(2, `"max_header_bytes":32768,"header_timeout_ms":6000,"idle_timeout_ms":15000`)
		f.advance(3 * time.Second)
		if answer := f.raw(head); strings.HasPrefix(answer, "HTTP/1.1 431") {
			t.Error("431 to a head within the new limit")
		}
	})
}

// Guards against bodies that their clients don't finish and that keep the memory from
// those of others.
func TestStalledBodiesGiveTheirMemoryToOthers(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.startSmallNode(&platformtest.Upstream{ID: "d1"})
		rest := make(chan struct{})
		var wait sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for range 10 {
			wait.Go(func() {
				body := io.MultiReader(bytes.NewReader(make([]byte, mebibyte)), channelReader(rest))
				r := f.send(context.Background(), n1+":80", http.MethodPost, "/entries/1", body, nil)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
		f.advance(5 * time.Second)
		for range 3 { // the first ones may be refused while there is no room yet
			f.request(n1+":80", http.MethodPost, "/entries/1", strings.Repeat("x", 2*mebibyte), nil)
			f.advance(300 * time.Millisecond)
		}
		f.expect(f.request(n1+":80", http.MethodPost, "/entries/1", strings.Repeat("x", 2*mebibyte), nil), http.StatusOK, "answer")
		close(rest)
		wait.Wait()
		if statuses[http.StatusRequestTimeout] == 0 {
			t.Errorf("statuses %v of the unfinished bodies, want some 408", statuses)
		}
		if held := f.heldBytes(); held != 0 {
			t.Errorf("%d bytes are held after all uploads have ended", held)
		}
	})
}
