package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/entry"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
	"github.com/guavagauge/guavagauge/settings"
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

type (
	// world is a few entry nodes with stand-ins around them, in fake time.
	world struct {
		t         *testing.T
		network   *nettest.Network
		packets   *platformtest.PacketNetwork
		store     *platformtest.Store
		cloud     *platformtest.Cloud
		script    platformtest.FaultScript // shared by upstreams
		upstreams map[string]*platformtest.Upstream
		nodes     map[string]*entry.Node
		start     time.Time
		requests  int
		taken     bool // the metrics address of nodes is taken
		ends      []func()
	}

	// reply is what a caller got.
	reply struct {
		status int
		header http.Header
		body   string
		err    error // of reading the body
	}
)

// inWorld runs a test with a configuration in force and two plain upstreams.
func inWorld(t *testing.T, test func(w *world)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, network: nettest.New(), packets: platformtest.NewPacketNetwork(), store: platformtest.NewStore(),
			cloud: platformtest.NewCloud(), upstreams: map[string]*platformtest.Upstream{}, nodes: map[string]*entry.Node{},
			start: time.Now(),
		}
		defer func() {
			for _, end := range w.ends {
				end()
			}
		}()
		w.listen(storeAddress+":80", w.store)
		w.listen(cloudAddress+":80", w.cloud)
		test(w)
	})
}

// listen serves a stand-in.
func (w *world) listen(address string, handler http.Handler) {
	at := netip.MustParseAddrPort(address)
	listener, err := w.network.Host(at.Addr().String()).Listen(context.Background(), at)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	w.ends = append(w.ends, func() { server.Close() })
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, keys ...string) {
	w.store.Set(platform.ConfigKey, []byte(fmt.Sprintf(configText, version, `"`+strings.Join(keys, `","`)+`"`)))
}

// serve starts an upstream and registers it.
func (w *world) serve(id, service, stage, address string, upstream *platformtest.Upstream) {
	upstream.ID, upstream.Stage = id, stage
	upstream.Crash = func() {
		w.network.Crash(netip.MustParseAddrPort(address).Addr().String())
		time.AfterFunc(3*time.Second, func() { w.listen(address, upstream) })
	}
	w.upstreams[id] = upstream
	w.listen(address, upstream)
	w.register(id, service, stage, address, "ready")
}

func (w *world) register(id, service, stage, address, state string) {
	text, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "a", "slots": 8, "state": state, "stage": stage, "born": 1000,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Set(platform.UpstreamPrefix+id, text)
}

// node starts an entry node at an address and waits until it could get ready.
func (w *world) node(name, address string) {
	w.startNode(name, address)
	w.pass(2 * time.Second)
}

func (w *world) startNode(name, address string) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(address), port) }
	s, _ := settings.ParseEntry("entry.toml", nil)
	s.Name, s.FailureDomain, s.Regions = name, "a", map[string]string{"a": "r"}
	s.Listen = settings.EntryListen{Caller: at(80), Ready: at(81), Peer: at(82)}
	if w.taken {
		s.Listen.Metrics = s.Listen.Ready
	}
	s.Store.Address, s.Cloud.Address = netip.MustParseAddrPort(storeAddress+":80"), netip.MustParseAddrPort(cloudAddress+":80")
	n, err := entry.New(context.Background(), entry.Options{
		Settings: s, Logger: slog.New(slog.DiscardHandler), Network: w.network.Host(address), Packets: w.packets.Listen,
		Clock: func() time.Duration { return time.Since(w.start) },
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[name] = n
	w.ends = append(w.ends, func() { n.Stop(context.Background()) })
}

// pass lets fake time pass.
func (w *world) pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// ask sends a request to a node.
func (w *world) ask(address, method, path string, body string, header http.Header) (r reply) {
	return w.askContext(context.Background(), address, method, path, body, header)
}

func (w *world) askContext(ctx context.Context, address, method, path string, body string, header http.Header) (r reply) {
	w.requests++
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header = platformtest.CallerHeader(fmt.Sprintf("q%d", w.requests), key, 2500*time.Millisecond)
	for name, values := range header {
		request.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer(w.network.Host(callerHost))}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// prompt are the headers of a request with a prompt.
func prompt(tokens int) (header http.Header) {
	header = http.Header{}
	platformtest.AddPrompt(header, tokens-10, 10)
	return header
}

// withKey are the headers of a request with another key.
func withKey(key string) (header http.Header) { return http.Header{"Authorization": {"Token " + key}} }

func (r reply) String() string { return fmt.Sprintf("%d %q (%v)", r.status, r.body, r.err) }

func (w *world) want(r reply, status int, body string) {
	w.t.Helper()
	if r.err != nil || r.status != status || !strings.Contains(r.body, body) {
		w.t.Errorf("got %v, want %d with %q", r, status, body)
	}
}

func (w *world) runs(id string) (runs []platformtest.Run) { return w.upstreams[id].Runs() }
