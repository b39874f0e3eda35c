package node_test

import (
	"bufio"
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

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/enginetest"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/node"
	"github.com/guavagauge/guavagauge/providertest"
	"github.com/guavagauge/guavagauge/servicetest"
	"github.com/guavagauge/guavagauge/settings"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
	"github.com/guavagauge/guavagauge/upstream"
)

const (
	alphaKey = "alpha-test-key"
	betaKey  = "beta-test-key"

	credential = "operator-test-credential"
)

type (
	// cluster is a small fleet on an in-memory network. It runs inside a
	// synctest bubble.
	cluster struct {
		t          *testing.T
		ctx        context.Context
		network    *nettest.Network
		store      *storetest.Server
		platform   *providertest.Server
		client     *http.Client
		nodes      []*node.Node
		cancels    []context.CancelFunc
		engines    []*enginetest.Engine
		desk       *servicetest.Service
		config     *fleet.Config
		repository *distribution.Repository
		revision   uint64
	}

	// answer is the response that a caller received.
	answer struct {
		status   int
		header   http.Header
		body     string
		text     string // the generated text
		err      error
		finished bool // the answer is complete
	}
)

// inCluster runs a test in a synctest bubble with three nodes and three engines
// in two failure domains, and one plain service.
func inCluster(t *testing.T, test func(c *cluster)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{
			t: t, ctx: ctx, network: nettest.New(), store: storetest.New(storetest.Options{}),
			platform: providertest.New(ctx, providertest.Options{}),
		}
		c.start()
		test(c)
		c.client.CloseIdleConnections()
		cancel()
		time.Sleep(time.Second) // net/http servers delay the close of their connections
		synctest.Wait()
	})
}

func (c *cluster) start() {
	c.client = transport.HTTPClient(c.network.Host("10.9.0.1"))
	c.config = testConfig()
	for i := range 3 {
		e := enginetest.New(c.ctx, enginetest.Options{Fencing: fleet.FencingChecked, Slots: 8, Pieces: 64})
		c.engines = append(c.engines, e)
		address := c.config.Upstreams[i].Address
		if err := e.Serve(c.ctx, c.network.Host(address.Addr().String()), address); err != nil {
			c.t.Fatal(err)
		}
	}
	c.desk = servicetest.New()
	c.serve(c.config.Upstreams[3].Address, c.desk)
	var err error
	c.repository, err = distribution.NewRepository(distribution.RepositoryOptions{Client: c.store.Client("operator"), Prefix: node.ConfigPrefix})
	if err != nil {
		c.t.Fatal(err)
	}
	for i := range 3 {
		c.startNode(i)
	}
	c.applyConfig()
}

func (c *cluster) startNode(i int) {
	host := fmt.Sprintf("10.0.0.%d", i+1)
	s := &settings.Settings{
		Name: "node-" + host, FailureDomain: []string{"a", "b"}[i%2], Region: "r",
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")},
		Listen: settings.Listen{
			Caller: netip.MustParseAddrPort(host + ":8080"), Peer: netip.MustParseAddrPort(host + ":7000"),
			Operator: netip.MustParseAddrPort(host + ":8081"),
		},
		Operator:        settings.Operator{CredentialSHA256: fleet.HashKey(credential)},
		FatalInvariants: true,
		Limits:          settings.Limits{BodyBytes: 4 << 20},
		Intervals:       settings.Intervals{ListenerWithdraw: 2 * time.Second},
	}
	s.FillDefaults()
	ctx, cancel := context.WithCancel(c.ctx)
	n, err := node.New(ctx, node.Options{
		Settings: s, Network: c.network.Host(host), Store: c.store.Client(s.Name), Platform: c.platform,
		Logger: logging.New(c.t.Output(), slog.LevelInfo),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if i < len(c.nodes) {
		c.nodes[i], c.cancels[i] = n, cancel
	} else {
		c.nodes, c.cancels = append(c.nodes, n), append(c.cancels, cancel)
	}
}

// kill crashes a node: its network connections break and all its work ends at
// once.
func (c *cluster) kill(i int) {
	c.network.Crash(c.nodes[i].PeerAddress().Addr().String())
	c.cancels[i]()
}

// partition separates a node from the other nodes and from the store until heal.
// Callers can still reach it.
func (c *cluster) partition(i int) {
	c.changeLinks(i, c.network.Cut)
	c.store.Partition(c.nodes[i].Name(), storetest.Both)
}

func (c *cluster) heal(i int) {
	c.changeLinks(i, c.network.Heal)
	c.store.Heal(c.nodes[i].Name())
}

func (c *cluster) changeLinks(i int, change func(from, to string)) {
	host := c.nodes[i].PeerAddress().Addr().String()
	for j, n := range c.nodes {
		if other := n.PeerAddress().Addr().String(); j != i {
			change(host, other)
			change(other, host)
		}
	}
}

// applyConfig stores c.config and waits until it is in force on all nodes.
func (c *cluster) applyConfig() {
	revision, err := c.repository.Apply(c.ctx, c.revision, fleet.Entries(c.config), testChange())
	if err != nil {
		c.t.Fatal(err)
	}
	c.revision = revision
	for range 600 { // a minute, far beyond configurationBound of fleet_test.go
		applied := true
		for _, n := range c.nodes {
			applied = applied && n.Ready() && n.Snapshot().Revision() == revision && len(n.Members()) == len(c.nodes)
		}
		if applied {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("revision %d isn't in force on all nodes", revision)
}

func (c *cluster) serve(address netip.AddrPort, handler http.Handler) {
	listener, err := c.network.Host(address.Addr().String()).Listen(c.ctx, address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(c.ctx, func() { server.Close() })
	go server.Serve(listener)
}

// request returns a request to a node.
func (c *cluster) request(ctx context.Context, i int, key, method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://10.0.0.%d:8080%s", i+1, path), strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

func (c *cluster) send(r *http.Request) (a answer) {
	response, err := c.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a = answer{status: response.StatusCode, header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(response.Body)
		return a
	}
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	a.finished = err == nil
	var whole struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal(body, &whole) == nil && len(whole.Choices) == 1 {
		a.text = whole.Choices[0].Text
	}
	return a
}

func (a *answer) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.finished = true
			continue
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.err = err
		} else if len(chunk.Choices) == 1 {
			a.text += chunk.Choices[0].Text
		}
		a.body += data + "\n"
	}
	if a.err == nil {
		a.err = scanner.Err()
	}
}

// complete requests a completion from a node.
func (c *cluster) complete(i int, key, prompt string, tokens int, stream bool) answer {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
	return c.send(c.request(c.ctx, i, key, "POST", "/v1/completions", body))
}

// wantText returns the whole text that a stand-in engine generates for a prompt.
func wantText(prompt string, tokens int) (text string) {
	return strings.Join(enginetest.Completion("m", prompt, 0, tokens), "")
}

func (a answer) checkRefusal(t *testing.T, status int, workStatus, reason string) {
	t.Helper()
	if a.status != status || a.header.Get(upstream.HeaderWorkStatus) != workStatus || a.header.Get(upstream.HeaderReason) != reason {
		t.Errorf("got %d %s %s (%s, %v), want %d %s %s", a.status, a.header.Get(upstream.HeaderWorkStatus),
			a.header.Get(upstream.HeaderReason), a.body, a.err, status, workStatus, reason)
	}
}

func testConfig() *fleet.Config {
	upstream := func(name, address, domain, service string) fleet.Upstream {
		return fleet.Upstream{
			Meta:    fleet.Meta{Owner: "o", Name: name, Labels: map[string]string{"pool": "all"}},
			Address: netip.MustParseAddrPort(address), FailureDomain: domain, Region: "r", Service: service,
			Slots: 8, Pieces: 64, Fencing: fleet.FencingChecked,
		}
	}
	route := func(name, method, path string, repeat fleet.RetryClass, open bool) fleet.Route {
		return fleet.Route{
			Meta: fleet.Meta{Owner: "o", Name: name}, Path: path, Methods: []string{method}, Service: "desk",
			Repeat: repeat, Open: open,
		}
	}
	key := func(workspace, secret string) fleet.Key {
		return fleet.Key{Meta: fleet.Meta{Owner: "o", Name: workspace}, Workspace: workspace, SHA256: fleet.HashKey(secret)}
	}
	return &fleet.Config{
		Owners: []fleet.Owner{{Name: "o"}},
		Upstreams: []fleet.Upstream{
			upstream("e1", "10.1.0.1:80", "a", ""), upstream("e2", "10.1.0.2:80", "b", ""),
			upstream("e3", "10.1.0.3:80", "a", ""), upstream("d1", "10.1.0.4:80", "a", "desk"),
		},
		Workspaces: []fleet.Workspace{
			{Meta: fleet.Meta{Owner: "o", Name: "alpha"}}, {Meta: fleet.Meta{Owner: "o", Name: "beta"}},
		},
		Keys:     []fleet.Key{key("alpha", alphaKey), key("beta", betaKey)},
		Models:   []fleet.Model{{Meta: fleet.Meta{Owner: "o", Name: "m"}}},
		Services: []fleet.Service{{Meta: fleet.Meta{Owner: "o", Name: "desk"}}},
		Routes: []fleet.Route{
			route("draw", "GET", "/desk/draw", fleet.Idempotent, false),
			route("entries", "POST", "/desk/entries", fleet.NonIdempotent, false),
			route("runs", "GET", "/desk/runs", fleet.Idempotent, false),
			route("fees", "GET", "/desk/fees", fleet.Idempotent, true),
		},
		Rules: []fleet.Rule{{Meta: fleet.Meta{Owner: "o", Name: "all"}}},
	}
}

// failedAttempts returns the number of attempts of a node's scheduler that
// failed because the connection to the upstream couldn't be made or broke.
func failedAttempts(n *node.Node) (attempts int) {
	for _, reason := range []upstream.Reason{upstream.ReasonConnect, upstream.ReasonBroken} {
		name := `guavagauge_steward_attempts_total{outcome="failed",reason="` + string(reason) + `"}`
		attempts += int(n.Metrics.GetOrCreateCounter(name).Get())
	}
	return attempts
}

func testChange() distribution.ChangeInfo { return distribution.ChangeInfo{Author: "test"} }
