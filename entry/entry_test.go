package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	storeAddress = "10.9.0.1"
	cloudAddress = "10.9.0.2"
	callerHost   = "10.8.0.1"
	key          = "key-one"
	configText   = `{"version":%d,"routes":[
		{"name":"models","hostname":"a.example","prefix":"/models/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,
		 "priority":0,"service":"models","max_attempts":2,"session_affinity":true,"resumable":true},
		{"name":"rulings","hostname":"a.example","prefix":"/rulings/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,
		 "priority":1,"service":"models","max_attempts":1,"session_affinity":true},
		{"name":"drafts","hostname":"a.example","prefix":"/drafts/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,
		 "priority":1,"service":"models","max_attempts":2,"session_affinity":true},
		{"name":"entries","hostname":"a.example","prefix":"/entries/","kind":"non_idempotent","timeout_ms":3000,
		 "target_latency_ms":400,"priority":2,"service":"desk","max_attempts":2},
		{"name":"draws","hostname":"a.example","prefix":"/draws/","kind":"idempotent","timeout_ms":3000,
		 "target_latency_ms":400,"priority":2,"service":"desk","max_attempts":2},
		{"name":"open","hostname":"a.example","prefix":"/open/","kind":"idempotent","timeout_ms":3000,
		 "target_latency_ms":400,"priority":2,"service":"desk","max_attempts":2,"allow_anonymous":true}],
		"services":[{"name":"models","max_connections":100,"engine":{"slots":8,"kv_capacity":100000,"kv_token_bytes":1000,
		 "link_mbps":100000,"handle_ttl_s":5,"stage_switch_s":3}},{"name":"desk","max_connections":100}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"alpha","api_keys":[%s]}]}`
)

// noKey is the header of a request without a key.
var noKey = http.Header{"Authorization": nil}

type (
	// testFleet is a set of entry nodes with stand-ins of the platform and the
	// upstreams, in fake time.
	testFleet struct {
		t                   *testing.T
		network             *nettest.Network
		packets             *platformtest.PacketNetwork
		store               *platformtest.Store
		cloud               *platformtest.Cloud
		script              platformtest.FaultScript // shared by the upstreams of startFleet but p1, and by those of startRecallFleet
		upstreams           map[string]*platformtest.Upstream
		nodes               map[string]*entry.Node
		start               time.Time
		nodeNetwork         transport.Network // of the nodes; by default, the host's own
		requestCount        atomic.Int64
		clock               func() time.Duration // of the nodes; the time since start by default
		domains             map[string]string    // failure domains of nodes; a by default
		memoryMB            int                  // of the nodes' VMs; 0: the default
		metricsAddressTaken bool                 // another listener has the metrics address of the nodes
		cleanupsMu          sync.Mutex           // upstreams that restart add to cleanups in goroutines of their own
		cleanups            []func()
	}

	// result is the response that a caller received.
	result struct {
		status int
		header http.Header
		body   string
		err    error // of sending the request or reading the body
	}
)

// runWithFleet runs a test in fake time with stand-ins of the store and the
// platform, and stops everything afterwards.
func runWithFleet(t *testing.T, test func(f *testFleet)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{
			t: t, network: nettest.New(), packets: platformtest.NewPacketNetwork(), store: platformtest.NewStore(),
			cloud: platformtest.NewCloud(), upstreams: map[string]*platformtest.Upstream{}, nodes: map[string]*entry.Node{},
			start: time.Now(),
		}
		f.clock = func() time.Duration { return time.Since(f.start) }
		defer func() {
			f.cleanupsMu.Lock()
			cleanups := f.cleanups
			f.cleanupsMu.Unlock()
			for _, end := range cleanups {
				end()
			}
			// An HTTP client goes on dialing for a call that has ended. With a delay of
			// the network, that takes a moment.
			<-time.After(time.Second)
		}()
		f.startServer(storeAddress+":80", f.store)
		f.startServer(cloudAddress+":80", f.cloud)
		test(f)
	})
}

// startServer starts an HTTP server for a stand-in.
func (f *testFleet) startServer(address string, handler http.Handler) {
	at := netip.MustParseAddrPort(address)
	listener, err := f.network.Host(at.Addr().String()).Listen(context.Background(), at)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	f.cleanupsMu.Lock()
	defer f.cleanupsMu.Unlock()
	f.cleanups = append(f.cleanups, func() { server.Close() })
}

// configure writes a configuration to the store, as the operator does.
func (f *testFleet) configure(version int, keys ...string) {
	f.store.Set(platform.ConfigKey, []byte(fmt.Sprintf(configText, version, `"`+strings.Join(keys, `","`)+`"`)))
}

// configureRoutes writes a configuration with a number of additional routes, which
// take about 200 bytes each.
func (f *testFleet) configureRoutes(version, routes int, keys ...string) {
	var text strings.Builder
	random := rand.New(rand.NewPCG(uint64(version), uint64(routes)))
	for range routes {
		fmt.Fprintf(&text, `{"name":"r-%07x","hostname":"a.example","prefix":"/%08x/","kind":"idempotent","timeout_ms":6000,`+
			`"target_latency_ms":400,"priority":2,"service":"desk","max_attempts":2,"session_affinity":false,"resumable":false},`,
			random.Uint32(), random.Uint32())
	}
	base := fmt.Sprintf(configText, version, `"`+strings.Join(keys, `","`)+`"`)
	f.store.Set(platform.ConfigKey, []byte(strings.Replace(base, `"routes":[`, `"routes":[`+text.String(), 1)))
}

// startUpstream starts an upstream and registers it. If it crashes, it restarts
// after three seconds.
func (f *testFleet) startUpstream(id, service, stage, address string, upstream *platformtest.Upstream) {
	upstream.ID, upstream.Stage = id, stage
	upstream.Crash = func() {
		f.network.Crash(netip.MustParseAddrPort(address).Addr().String())
		time.AfterFunc(3*time.Second, func() {
			f.startServer(address, upstream)
			f.registerUpstream(id, service, stage, address, "ready")
		})
	}
	f.upstreams[id] = upstream
	f.startServer(address, upstream)
	f.registerUpstream(id, service, stage, address, "ready")
}

// registerUpstream writes the store entry of an upstream that starts now.
func (f *testFleet) registerUpstream(id, service, stage, address, state string) {
	f.registerUpstreamStartedAt(id, service, stage, address, state, time.Now())
}

// registerUpstreamStartedAt writes the store entry of an upstream.
func (f *testFleet) registerUpstreamStartedAt(id, service, stage, address, state string, start time.Time) {
	text, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "a", "slots": 8, "state": state, "stage": stage, "born": start.UnixMilli(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Set(platform.UpstreamPrefix+id, text)
}

// startNodeAndWait starts an entry node and gives it time to become ready.
func (f *testFleet) startNodeAndWait(name, address string) {
	f.startNode(name, address)
	f.advance(2 * time.Second)
}

func (f *testFleet) startNode(name, address string) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(address), port) }
	s, _ := settings.ParseEntry("entry.toml", nil)
	s.Name, s.FailureDomain, s.Regions = name, "a", map[string]string{"a": "r", "b": "r"}
	if domain, ok := f.domains[name]; ok {
		s.FailureDomain = domain
	}
	s.Listen = settings.EntryListen{Caller: at(80), Ready: at(81), Peer: at(82), Profile: at(83), Metrics: at(84)}
	if f.memoryMB > 0 {
		s.Limits.MemoryMB = f.memoryMB
	}
	if f.metricsAddressTaken {
		s.Listen.Metrics = s.Listen.Ready
	}
	s.Store.Address, s.Cloud.Address = netip.MustParseAddrPort(storeAddress+":80"), netip.MustParseAddrPort(cloudAddress+":80")
	network := f.nodeNetwork
	if network == nil {
		network = f.network.Host(address)
	}
	n, err := entry.New(context.Background(), entry.Options{
		Settings: s, Logger: slog.New(slog.DiscardHandler), Network: network, Packets: f.packets.Listen,
		Clock: f.clock,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name] = n
	f.cleanupsMu.Lock()
	defer f.cleanupsMu.Unlock()
	f.cleanups = append(f.cleanups, func() { n.Stop(context.Background()) })
}

// advance advances the fake time.
func (f *testFleet) advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// request sends a request to a node, with a valid key by default.
func (f *testFleet) request(address, method, path string, body string, header http.Header) (r result) {
	return f.requestContext(context.Background(), address, method, path, body, header)
}

func (f *testFleet) requestContext(ctx context.Context, address, method, path string, body string, header http.Header) (r result) {
	return f.send(ctx, address, method, path, strings.NewReader(body), header)
}

// send sends a request whose body may be of unknown length, or end late.
func (f *testFleet) send(ctx context.Context, address, method, path string, body io.Reader, header http.Header) (r result) {
	number := f.requestCount.Add(1)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header = platformtest.CallerHeader(fmt.Sprintf("q%d", number), key, 2500*time.Millisecond)
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer(f.network.Host(callerHost))}}
	response, err := client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// promptHeaders returns the headers of a request with a prompt.
func promptHeaders(tokens int) (header http.Header) {
	header = http.Header{}
	platformtest.AddPrompt(header, tokens-10, 10)
	return header
}

// keyHeader returns the header of a request with a given key.
func keyHeader(key string) (header http.Header) {
	return http.Header{"Authorization": {"Token " + key}}
}

func (r result) String() string { return fmt.Sprintf("%d %q (%v)", r.status, r.body, r.err) }

// expect checks the status of a result, and that its body contains a text.
func (f *testFleet) expect(r result, status int, body string) {
	f.t.Helper()
	if r.err != nil || r.status != status || !strings.Contains(r.body, body) {
		f.t.Errorf("got %v, want %d with %q", r, status, body)
	}
}

// runs returns the requests that an upstream ran.
func (f *testFleet) runs(id string) (runs []platformtest.Run) { return f.upstreams[id].Runs() }
