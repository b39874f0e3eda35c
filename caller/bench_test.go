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
	benchKey     = "bench-key"
	benchPace    = 20 * time.Millisecond // between the tokens of a stream
	benchStreams = 1000
)

type (
	// directory knows one node.
	directory netip.AddrPort

	// pacedEngine generates tokens without any connection. As in a real engine
	// with continuous batching, all streams get a token in each step. With
	// staggered, each stream has an engine of its own that steps by itself.
	pacedEngine struct {
		pace      time.Duration
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
		phase = rand.N(e.pace)
	}
	for offset := g.Offset; offset < g.MaxTokens; offset++ {
		if e.pace > 0 {
			now := time.Now().Add(phase)
			time.Sleep(now.Truncate(e.pace).Add(e.pace).Sub(now))
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

func startPath(b *testing.B, serviceAddress string, generator engine.Client, local bool) (address string) {
	server := startCaller(b, transport.TCP{}, netip.MustParseAddrPort("127.0.0.1:0"), benchConfig(netip.MustParseAddrPort(serviceAddress)), generator, local, nil)
	front := httptest.NewServer(server.Handler())
	b.Cleanup(front.Close)
	return front.Listener.Addr().String()
}

// startCaller starts a caller server and a scheduler that serves it.
func startCaller(tb testing.TB, network transport.Network, address netip.AddrPort, config *fleet.Config, generator engine.Client, local bool, change func(o *caller.Options)) *caller.Server {
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
	runner := scheduler.New(ctx, scheduler.Options{
		Logger: logger, Metrics: set, Checker: checker, Snapshot: current,
		Engine: func(*fleet.Upstream) engine.Client { return generator },
		Service: func(spec *fleet.Upstream) service.Client {
			return service.NewClient(network, spec.Address, service.Options{})
		},
	})
	options := peer.Options{Metrics: set}
	peers := peer.NewServer(ctx, listener, options)
	if err := runner.Register(peers); err != nil {
		tb.Fatal(err)
	}
	if local {
		options.Local, options.LocalAddress = peers, address
	}
	callers := caller.Options{
		Logger: logger, Metrics: set, Checker: checker, Snapshot: current, Directory: directory(address),
		Peers: peer.NewPool(ctx, network, peer.Data, options), Preferences: policy.Goodput(),
	}
	if change != nil {
		change(&callers)
	}
	return caller.New(ctx, callers)
}

// BenchmarkPlain compares plain calls through the request path with a bare
// forwarder. Guards against a request path that costs more than twice as much
// time as any proxy has to.
func BenchmarkPlain(b *testing.B) {
	load := startLoad(b)
	run := func(b *testing.B, address string) {
		order := loadOrder{Address: address, Concurrent: 64, Requests: 500}
		load.run(b, order)
		order.Requests = b.N
		b.ResetTimer()
		cpu := load.run(b, order)
		b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/op")
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	}
	b.Run("Forwarder", func(b *testing.B) {
		front := httptest.NewServer(forwarder(load.service))
		defer front.Close()
		run(b, front.Listener.Addr().String())
	})
	b.Run("Node", func(b *testing.B) { run(b, startPath(b, load.service, pacedEngine{}, false)) })
	b.Run("NodeLocal", func(b *testing.B) { run(b, startPath(b, load.service, pacedEngine{}, true)) })
}

// forwarder passes requests on to one address and does nothing else.
func forwarder(to string) http.Handler {
	client := transport.HTTPClient(transport.TCP{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onward, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		onward.Header, onward.ContentLength = r.Header.Clone(), r.ContentLength
		response, err := client.Do(onward)
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

// BenchmarkRelay measures the CPU time of a streamed token over two hops,
// from scheduler to entry node and from there to the caller. One operation is a
// token. Engine is what the stand-in engine costs alone, and Direct is a server
// that writes finished events to callers without a hop between nodes.
func BenchmarkRelay(b *testing.B) {
	load := startLoad(b)
	for _, paced := range []struct {
		name   string
		engine pacedEngine
	}{{"Paced", pacedEngine{pace: benchPace}}, {"Staggered", pacedEngine{benchPace, true}}, {"Unpaced", pacedEngine{}}} {
		run := func(b *testing.B, address string) {
			order := loadOrder{Address: address, Concurrent: 16, Requests: 16, Tokens: 10}
			load.run(b, order)
			order = loadOrder{Address: address, Concurrent: benchStreams, Requests: benchStreams, Tokens: max(1, b.N/benchStreams)}
			b.ResetTimer()
			cpu := load.run(b, order)
			b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(order.Tokens*benchStreams), "cpu-µs/token")
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
		b.Run(paced.name+"/Node", func(b *testing.B) { run(b, startPath(b, load.service, paced.engine, false)) })
		b.Run(paced.name+"/NodeLocal", func(b *testing.B) { run(b, startPath(b, load.service, paced.engine, true)) })
	}
}

func directStream(generator pacedEngine) http.Handler {
	event := []byte(`data: {"id":"req-AAAAAAAAAAAAAAAAAAAAAAAAAA","object":"text_completion","created":1790000000,"model":"m","choices":[{"index":0,"text":"tok1","finish_reason":null}]}` + "\n\n")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tokens := tokensOf(body)
		controller := http.NewResponseController(w)
		generator.Generate(r.Context(), upstream.Generation{MaxTokens: tokens}, func(upstream.Token) error {
			w.Write(event)
			return controller.Flush()
		})
		w.Write(event)
		io.WriteString(w, "data: [DONE]\n\n")
	})
}

func tokensOf(body []byte) int {
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	json.Unmarshal(body, &request)
	return request.MaxTokens
}
