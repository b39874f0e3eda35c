package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/settings"
)

const (
	benchRequestsPerNode = 5 // a second
	benchDomains         = 6
	benchPort            = 7400
	benchFleetTime       = 10 * time.Second // measured in each iteration
)

// loopbackFleet runs nodes and stand-ins in this process, on addresses of the
// loopback network, in real time.
type loopbackFleet struct {
	b     *testing.B
	nodes []netip.AddrPort // of the callers' listeners
}

// serveLoopback starts an HTTP server for a stand-in.
func serveLoopback(b *testing.B, address netip.AddrPort, handler http.Handler) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
	b.Cleanup(func() { server.Close() })
}

func loopback(network, host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, network, host}), port)
}

// newLoopbackFleet starts a number of nodes in one failure domain and one node in
// each other domain, with engines that are spread over all of them.
func newLoopbackFleet(b *testing.B, nodes, engines int) (f *loopbackFleet) {
	f = &loopbackFleet{b: b}
	store, cloud := platformtest.NewStore(), platformtest.NewCloud()
	serveLoopback(b, loopback(0, 1, benchPort), store)
	serveLoopback(b, loopback(0, 2, benchPort), cloud)
	store.Set(platform.ConfigKey, []byte(fmt.Sprintf(configText, 1, `"`+key+`"`)))
	domain := func(i int) string { return string(rune('a' + i%benchDomains)) }
	regions := map[string]string{}
	for i := range benchDomains {
		regions[domain(i)] = "r" + domain(i/2)
	}
	for i := range engines {
		id, stage := fmt.Sprintf("e%d", i), "decode"
		if i/benchDomains%2 == 0 {
			stage = "prefill"
		}
		address := loopback(2, byte(i+1), benchPort)
		upstream := &platformtest.Upstream{ID: id, Stage: stage, Events: 3, Gap: 10 * time.Millisecond}
		serveLoopback(b, address, upstream)
		text, err := json.Marshal(map[string]any{
			"service": "models", "address": address.String(), "zone": domain(i), "slots": 8, "state": "ready", "stage": stage, "born": 1,
		})
		if err != nil {
			b.Fatal(err)
		}
		store.Set(platform.UpstreamPrefix+id, text)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer b.Cleanup(cancel) // after the nodes were added, so that it runs before their Stop
	for i := range nodes + benchDomains - 1 {
		s, _ := settings.ParseEntry("entry.toml", nil)
		s.Name, s.FailureDomain, s.Regions = fmt.Sprintf("n%03d", i), domain(max(0, i-nodes+1)), regions
		at := func(port uint16) netip.AddrPort { return loopback(1, byte(i+1), port) }
		s.Listen = settings.EntryListen{Caller: at(benchPort), Ready: at(benchPort + 1), Peer: at(benchPort + 2)}
		s.Store.Address, s.Cloud.Address = loopback(0, 1, benchPort), loopback(0, 2, benchPort)
		n, err := entry.New(ctx, entry.Options{Settings: s, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			n.Stop(ended) // at once
		})
		f.nodes = append(f.nodes, at(benchPort))
	}
	<-time.After(3 * time.Second) // until the nodes know each other and the upstreams
	return f
}

// load sends requests to each node until the context ends.
func (f *loopbackFleet) load(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var running sync.WaitGroup
	for i, node := range f.nodes {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		running.Go(func() {
			for request := 0; ctx.Err() == nil; request++ {
				select {
				case <-time.After(time.Duration(random.ExpFloat64() * float64(time.Second) / benchRequestsPerNode)):
				case <-ctx.Done():
					return
				}
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+"/models/x", strings.NewReader("prompt"))
				if err != nil {
					f.b.Error(err)
					return
				}
				r.Host = "a.example"
				r.Header = platformtest.CallerHeader(fmt.Sprintf("q%d-%d", i, request), key, 2500*time.Millisecond)
				own, subject := 300, random.IntN(60)
				if random.IntN(8) == 0 {
					own = 3720
				}
				platformtest.DescribePrompt(r.Header, platformtest.PromptPart{ID: fmt.Sprintf("s%d", subject), Tokens: 13_300},
					platformtest.PromptPart{ID: fmt.Sprintf("o%d-%d", i, request), Tokens: own})
				running.Go(func() {
					response, err := client.Do(r)
					if err != nil {
						return
					}
					defer response.Body.Close()
					_, _ = io.Copy(io.Discard, response.Body) // a response that is cut off at the end of the load
				})
			}
		})
	}
	running.Wait()
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) (used time.Duration) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet measures the processor time of a node and second, at rest and
// under load, for failure domains of several sizes. The stand-ins and the callers
// are included, in the same share at each size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ nodes, engines int }{{5, 24}, {16, 64}, {49, 128}} {
		for _, loaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/loaded=%t", size.nodes, loaded), func(b *testing.B) {
				f := newLoopbackFleet(b, size.nodes, size.engines)
				before, rounds := processorTime(b), 0
				for b.Loop() {
					ctx, cancel := context.WithTimeout(context.Background(), benchFleetTime)
					if loaded {
						f.load(ctx)
					}
					<-ctx.Done()
					cancel()
					rounds++
				}
				seconds := float64(rounds*len(f.nodes)) * benchFleetTime.Seconds()
				b.ReportMetric(float64((processorTime(b)-before).Microseconds())/seconds, "us/node-second")
			})
		}
	}
}
