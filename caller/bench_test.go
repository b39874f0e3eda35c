package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/caller"
	"github.com/guavagauge/guavagauge/engine"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/invariant"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/policy"
	"github.com/guavagauge/guavagauge/scheduler"
	"github.com/guavagauge/guavagauge/service"
	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	benchKey           = "bench-key"
	benchTokenInterval = 20 * time.Millisecond // between the tokens of a stream
	benchStreams       = 1000
)

type (
	// directory is a caller.Directory with one node.
	directory netip.AddrPort

	// pacedEngine generates tokens in this process, one per interval. As in an
	// engine with continuous batching, all streams get their tokens at the same
	// moment, unless staggered: then each stream has its own random phase. An
	// interval of 0 generates tokens as fast as possible.
	pacedEngine struct {
		interval  time.Duration
		staggered bool
	}
)

func (d directory) Schedulers(*fleet.Upstream) []netip.AddrPort {
	return []netip.AddrPort{netip.AddrPort(d)}
}

func (d directory) CrashTrackers(string) (near, far []netip.AddrPort) {
	return []netip.AddrPort{netip.AddrPort(d)}, nil
}
func (d directory) Nodes() int { return 1 }

func (e pacedEngine) Generate(_ context.Context, g upstream.Generation, emit func(upstream.Token) error) (usage upstream.Usage, err error) {
	var phase time.Duration
	if e.staggered {
		phase = rand.N(e.interval)
	}
	for offset := g.Offset; offset < g.MaxTokens; offset++ {
		if e.interval > 0 {
			now := time.Now().Add(phase)
			time.Sleep(now.Truncate(e.interval).Add(e.interval).Sub(now))
		}
		if err := emit(upstream.Token{Offset: offset, Text: "tok" + strconv.Itoa(offset%100)}); err != nil {
			return usage, err
		}
	}
	return upstream.Usage{PromptTokens: 5, CompletionTokens: g.MaxTokens}, nil
}

func benchConfig(serviceAddress netip.AddrPort) *fleet.Config {
	meta := func(name string) fleet.Meta { return fleet.Meta{Owner: "o", Name: name} }
	return &fleet.Config{
		Owners: []fleet.Owner{{Name: "o"}},
		Upstreams: []fleet.Upstream{
			{Meta: meta("e"), Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 10000},
			{Meta: meta("d"), Address: serviceAddress, Service: "desk", Slots: 10000},
		},
		Workspaces: []fleet.Workspace{{Meta: meta("w")}},
		Keys:       []fleet.Key{{Meta: meta("w"), Workspace: "w", SHA256: fleet.HashKey(benchKey)}},
		Models:     []fleet.Model{{Meta: meta("m")}},
		Services:   []fleet.Service{{Meta: meta("desk")}},
		Routes: []fleet.Route{{
			Meta: meta("draw"), Path: "/desk/draw", Methods: []string{"GET"}, Service: "desk", Repeat: fleet.Idempotent,
		}},
		Rules: []fleet.Rule{{Meta: meta("all")}},
	}
}

// startNode starts an HTTP server for callers on a TCP port, and returns its
// address.
func startNode(b *testing.B, serviceAddress string, generator engine.Client, local bool) (address string) {
	server := startCaller(b, transport.TCP{}, netip.MustParseAddrPort("127.0.0.1:0"), benchConfig(netip.MustParseAddrPort(serviceAddress)), generator, local, nil)
	front := httptest.NewServer(server.Handler())
	b.Cleanup(front.Close)
	return front.Listener.Addr().String()
}

// startCaller returns a caller server with a scheduler that listens on the
// address. With local, calls to the scheduler don't use the network.
func startCaller(tb testing.TB, network transport.Network, address netip.AddrPort, config *fleet.Config, generator engine.Client, local bool, configure func(o *caller.Options)) *caller.Server {
	snapshot := fleet.Compile(config, 1)
	current := func() *fleet.Snapshot { return snapshot }
	logger, set := slog.New(slog.DiscardHandler), metrics.NewSet()
	checker := invariant.New(logger, set, invariant.Options{Fatal: true})
	ctx := tb.Context()
	listener, err := network.Listen(ctx, address)
	if err != nil {
		tb.Fatal(err)
	}
	address = transport.ListenAddress(listener)
	schedulers := scheduler.New(ctx, scheduler.Options{
		Logger: logger, Metrics: set, Checker: checker, Snapshot: current,
		Engine: func(*fleet.Upstream) engine.Client { return generator },
		Service: func(spec *fleet.Upstream) service.Client {
			return service.NewClient(network, spec.Address, service.Options{})
		},
	})
	options := peer.Options{Metrics: set}
	peers := peer.NewServer(ctx, listener, options)
	if err := schedulers.Register(peers); err != nil {
		tb.Fatal(err)
	}
	if local {
		options.Local, options.LocalAddress = peers, address
	}
	callerOptions := caller.Options{
		Logger: logger, Metrics: set, Checker: checker, Snapshot: current, Directory: directory(address),
		Peers: peer.NewPool(ctx, network, peer.Data, options), Preferences: policy.Goodput(),
	}
	if configure != nil {
		configure(&callerOptions)
	}
	return caller.New(ctx, callerOptions)
}

// BenchmarkPlain compares calls to a plain service through a node with calls
// through a minimal proxy. It guards against a request path that takes more than
// twice the time of that proxy.
func BenchmarkPlain(b *testing.B) {
	load := startLoad(b)
	run := func(b *testing.B, address string) {
		spec := loadSpec{Address: address, Concurrent: 64, Requests: 500}
		load.run(b, spec)
		spec.Requests = b.N
		b.ResetTimer()
		cpu := load.run(b, spec)
		b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/op")
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	}
	b.Run("Forwarder", func(b *testing.B) {
		front := httptest.NewServer(forwarder(load.service))
		defer front.Close()
		run(b, front.Listener.Addr().String())
	})
	b.Run("Node", func(b *testing.B) { run(b, startNode(b, load.service, pacedEngine{}, false)) })
	b.Run("NodeLocal", func(b *testing.B) { run(b, startNode(b, load.service, pacedEngine{}, true)) })
}

// forwarder returns a minimal proxy to one address.
func forwarder(to string) http.Handler {
	client := transport.HTTPClient(transport.TCP{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		outgoing.Header, outgoing.ContentLength = r.Header.Clone(), r.ContentLength
		response, err := client.Do(outgoing)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		io.Copy(w, response.Body)
	})
}

// BenchmarkRelay measures the CPU time per streamed token on the way from the
// scheduler to the entry node and on to the caller. One operation is one token.
// Engine measures the stand-in engine alone. Direct measures a server that
// writes an encoded event per token, without a hop between nodes.
func BenchmarkRelay(b *testing.B) {
	load := startLoad(b)
	for _, paced := range []struct {
		name   string
		engine pacedEngine
	}{{"Paced", pacedEngine{interval: benchTokenInterval}}, {"Staggered", pacedEngine{benchTokenInterval, true}}, {"Unpaced", pacedEngine{}}} {
		run := func(b *testing.B, address string) {
			spec := loadSpec{Address: address, Concurrent: 16, Requests: 16, Tokens: 10}
			load.run(b, spec)
			spec = loadSpec{Address: address, Concurrent: benchStreams, Requests: benchStreams, Tokens: max(1, b.N/benchStreams)}
			b.ResetTimer()
			cpu := load.run(b, spec)
			b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(spec.Tokens*benchStreams), "cpu-µs/token")
		}
		b.Run(paced.name+"/Engine", func(b *testing.B) {
			done := make(chan struct{})
			before := cpuTime()
			tokens := max(1, b.N/benchStreams)
			for range benchStreams {
				go func() {
					paced.engine.Generate(b.Context(), upstream.Generation{MaxTokens: tokens}, func(upstream.Token) error { return nil })
					done <- struct{}{}
				}()
			}
			for range benchStreams {
				<-done
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1e3/float64(tokens*benchStreams), "cpu-µs/token")
		})
		b.Run(paced.name+"/Direct", func(b *testing.B) {
			front := httptest.NewServer(directStream(paced.engine))
			defer front.Close()
			run(b, front.Listener.Addr().String())
		})
		b.Run(paced.name+"/Node", func(b *testing.B) { run(b, startNode(b, load.service, paced.engine, false)) })
		b.Run(paced.name+"/NodeLocal", func(b *testing.B) { run(b, startNode(b, load.service, paced.engine, true)) })
	}
}

// directStream returns a handler that streams the same event for each token.
func directStream(generator pacedEngine) http.Handler {
	event := []byte(`data: {"id":"req-AAAAAAAAAAAAAAAAAAAAAAAAAA","object":"text_completion","created":1790000000,"model":"m","choices":[{"index":0,"text":"tok1","finish_reason":null}]}` + "\n\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tokens := maxTokensOf(body)
		controller := http.NewResponseController(w)
		generator.Generate(r.Context(), upstream.Generation{MaxTokens: tokens}, func(upstream.Token) error {
			w.Write(event)
			return controller.Flush()
		})
		w.Write(event)
		io.WriteString(w, "data: [DONE]\n\n")
	})
}

func maxTokensOf(body []byte) int {
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	json.Unmarshal(body, &request)
	return request.MaxTokens
}
