package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/platformtest"
)

// Guards against an upstream that looks slow because a caller reads its answer slowly.
func TestSlowCallerDoesNotMakeUpstreamSlow(t *testing.T) {
	const atUpstream = 10 * time.Millisecond
	for _, c := range []struct {
		size   int
		counts bool // the time at the upstream is known
	}{{mebibyte - 1, true}, {2 * mebibyte, false}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			runWithFleet(t, func(f *testFleet) {
				f.configure(1, key)
				f.startServer("10.2.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					<-time.After(atUpstream)
					w.Header().Set("Instance-Load", "0,0,4,100")
					platformtest.BeginResponse(w, r)
					w.Write(make([]byte, c.size))
				}))
				f.registerUpstream("d1", "desk", "", "10.2.0.1:80", "ready")
				f.startNodeAndWait("n1", n1)
				f.request(n1+":80", http.MethodGet, "/draws/1", "", nil) // its figure puts the model in force
				conn := f.dialNode(n1)
				defer conn.Close()
				if _, err := conn.Write(f.encodeRequest("slow")); err != nil {
					t.Fatal(err)
				}
				f.advance(2 * time.Second)
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, answer.Body); err != nil || n != int64(c.size) {
					t.Fatalf("read %d bytes: %v", n, err)
				}
				f.advance(time.Second)
				var text strings.Builder
				f.nodes["n1"].Metrics.WritePrometheus(&text)
				seconds := 0.0
				for line := range strings.Lines(text.String()) {
					fmt.Sscanf(line, `guavagauge_entry_speed_took_seconds_total{reason="Unprompted"} %g`, &seconds)
				}
				if (seconds > 0) != c.counts || seconds > 2*atUpstream.Seconds() {
					t.Errorf("the answer took %.3f s, want about %s if it counts (%t)", seconds, atUpstream, c.counts)
				}
			})
		})
	}
}
