package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	host       = "soak.example"
	startTime  = 3 * time.Second
	settleTime = 6 * time.Second
	events     = 6
	// revocation is the bound after which a withdrawn key must not work.
	revocation = 5 * time.Second
	config     = `{"version":%d,"routes":[
		{"name":"m","hostname":"soak.example","prefix":"/models/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"models","max_attempts":2,"session_affinity":true,"resumable":true},
		{"name":"r","hostname":"soak.example","prefix":"/rulings/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"models","max_attempts":1,"session_affinity":true},
		{"name":"e","hostname":"soak.example","prefix":"/entries/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"desk","max_attempts":2},
		{"name":"d","hostname":"soak.example","prefix":"/draws/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"desk","max_attempts":2}],
		"services":[{"name":"models","engine":{"slots":16,"kv_capacity":100000,"kv_token_bytes":1000,"link_mbps":100000}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},"tenants":[{"name":"w","api_keys":[%s]}]}`
)

type (
	// run is one fleet under faults.
	run struct {
		seed      uint64
		random    *rand.Rand
		binary    string
		logs      string
		store     *platformtest.Store
		cloud     *platformtest.Cloud
		storeAt   string
		cloudAt   string
		nodes     []*process
		upstreams map[string]*worker
		version   int
		key       string
		withdrawn map[string]time.Time // keys, by when the store had accepted it
		servers   []*http.Server

		mu     sync.Mutex
		asked  map[string]*asked
		faults []string
		count  map[string]int
	}

	// process is one node.
	process struct {
		name     string
		store    *proxy
		settings string
		caller   string
		mu       sync.Mutex
		command  *exec.Cmd
		ended    chan struct{}
	}

	worker struct {
		*platformtest.Upstream
		service string
		proxy   *proxy
	}

	// asked is a request with what its caller got.
	asked struct {
		id, path, key string
		sent          time.Time
		status        int
		seal, body    string
		whole         bool
	}
)

func newRun(seed uint64, binary, logs string, nodes int) (r *run, err error) {
	r = &run{
		seed: seed, random: rand.New(rand.NewPCG(seed, 0)), binary: binary, logs: logs, store: platformtest.NewStore(),
		cloud: platformtest.NewCloud(), upstreams: map[string]*worker{}, key: "key-1", withdrawn: map[string]time.Time{},
		asked: map[string]*asked{}, count: map[string]int{},
	}
	r.storeAt, r.cloudAt = r.serve(r.store), r.serve(r.cloud)
	for i := range 3 {
		r.addWorker(fmt.Sprintf("d%d", i), "desk", "", &platformtest.Upstream{})
		r.addWorker(fmt.Sprintf("g%d", i), "models", "decode", &platformtest.Upstream{Events: events, Gap: 40 * time.Millisecond})
	}
	r.addWorker("p0", "models", "prefill", &platformtest.Upstream{Events: events})
	r.configure()
	for i := range nodes {
		if err = r.addNode(fmt.Sprintf("n%d", i)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// serve starts a stand-in and returns its address.
func (r *run) serve(handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go server.Serve(listener)
	return listener.Addr().String()
}

func (r *run) addWorker(id, service, stage string, upstream *platformtest.Upstream) {
	upstream.ID, upstream.Stage, upstream.Script = id, stage, &platformtest.FaultScript{}
	p, err := newProxy(r.serve(upstream))
	if err != nil {
		panic(err)
	}
	r.upstreams[id] = &worker{Upstream: upstream, service: service, proxy: p}
	r.register(id, "ready")
}

func (r *run) register(id, state string) {
	w := r.upstreams[id]
	text, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.proxy.address(), "zone": "a", "slots": 16, "state": state, "stage": w.Stage, "born": 1000,
	})
	if err != nil {
		panic(err)
	}
	r.store.Set(platform.UpstreamPrefix+id, text)
}

// configure writes a version that holds the present key.
func (r *run) configure() {
	r.version++
	r.store.Set(platform.ConfigKey, []byte(fmt.Sprintf(config, r.version, fmt.Sprintf("%q", r.key))))
}

func freeAddress() (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func (r *run) addNode(name string) (err error) {
	p := &process{name: name, caller: freeAddress(), settings: filepath.Join(r.logs, name+".toml")}
	if p.store, err = newProxy(r.storeAt); err != nil {
		return err
	}
	text := fmt.Sprintf("Name = %q\nFailureDomain = \"a\"\n[Listen]\nCaller = %q\nReady = %q\nPeer = %q\n[Regions]\na = \"r\"\n"+
		"[Store]\nAddress = %q\n[Cloud]\nAddress = %q\n", name, p.caller, freeAddress(), freeAddress(), p.store.address(), r.cloudAt)
	if err = os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
		return err
	}
	r.nodes = append(r.nodes, p)
	return r.start(p)
}

func (r *run) start(p *process) (err error) {
	log, err := os.OpenFile(filepath.Join(r.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(r.binary, "entry", "--config", p.settings)
	command.Stdout, command.Stderr = log, log
	if err = command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		defer close(ended)
		defer log.Close()
		command.Wait() // the status of a killed process says nothing
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command.Process.Signal(s) // one that has ended needs none
}

// restart ends a process by a signal and starts it again.
func (r *run) restart(p *process, s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	if err := r.start(p); err != nil {
		r.broke("process %s not started: %v", p.name, err)
	}
}

// play sends requests under faults for a time, and returns the broken promises.
func (r *run) play(ctx context.Context, duration time.Duration) (faults []string) {
	time.Sleep(startTime)
	ctx, cancel := context.WithCancel(ctx)
	var callers, harm sync.WaitGroup
	for i := range 8 {
		random := rand.New(rand.NewPCG(r.seed, uint64(i+1)))
		callers.Go(func() { r.call(ctx, random, i) })
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		r.harm(&harm)
		time.Sleep(time.Duration(200+r.random.IntN(800)) * time.Millisecond)
	}
	harm.Wait()
	time.Sleep(settleTime)
	cancel()
	callers.Wait()
	time.Sleep(settleTime) // late work and the last reports
	for _, p := range r.nodes {
		p.signal(syscall.SIGKILL)
		<-p.ended
		p.store.close()
	}
	r.check()
	for _, w := range r.upstreams {
		w.proxy.close()
	}
	for _, server := range r.servers {
		server.Close()
	}
	return r.faults
}

// harm begins one fault, which ends by itself.
func (r *run) harm(running *sync.WaitGroup) {
	p := r.nodes[r.random.IntN(len(r.nodes))]
	names := []string{"d0", "d1", "d2", "g0", "g1", "g2", "p0"}
	id := names[r.random.IntN(len(names))]
	w := r.upstreams[id]
	wait := time.Duration(500+r.random.IntN(4000)) * time.Millisecond
	m := []mode{slow, silent, deaf, refuse}[r.random.IntN(4)]
	choice := r.random.IntN(13)
	r.count[fmt.Sprintf("fault %d", choice)]++
	running.Go(func() {
		switch choice {
		case 0:
			r.restart(p, syscall.SIGKILL)
		case 1:
			r.restart(p, syscall.SIGTERM)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(wait)
			p.signal(syscall.SIGCONT)
		case 3:
			p.signal(syscall.SIGHUP)
		case 4, 5:
			p.store.set(m)
			time.Sleep(wait)
			p.store.set(pass)
		case 6:
			p.store.reset()
		case 7:
			w.proxy.set(m)
			time.Sleep(wait)
			w.proxy.set(pass)
		case 8:
			w.proxy.reset()
		case 9:
			w.Script.Add(platformtest.Reject, platformtest.Reset, platformtest.Truncate, platformtest.Fail, platformtest.NoSeal)
		case 10:
			r.store.DropResponses(2)
		case 11:
			r.store.Compact()
		case 12:
			r.register(id, "draining")
			time.Sleep(wait)
			r.register(id, "ready")
		}
	})
	if r.random.IntN(8) == 0 { // withdraws the key and issues another
		r.mu.Lock()
		old := r.key
		r.key = fmt.Sprintf("key-%d", r.version+1)
		r.configure()
		r.withdrawn[old] = time.Now()
		r.mu.Unlock()
	}
}

// call sends requests one after another over kept connections.
func (r *run) call(ctx context.Context, random *rand.Rand, number int) {
	client := &http.Client{Timeout: 4 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		path := []string{"/models/", "/rulings/", "/entries/", "/draws/"}[random.IntN(4)]
		a := &asked{id: fmt.Sprintf("q%d-%d", number, i), path: path + fmt.Sprint(i), sent: time.Now()}
		r.mu.Lock()
		a.key = fmt.Sprintf("key-%d", max(1, r.version-max(0, random.IntN(8)-5))) // now and then an old one
		r.asked[a.id] = a
		r.mu.Unlock()
		p := r.nodes[random.IntN(len(r.nodes))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+a.path, strings.NewReader(a.id))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header = platformtest.CallerHeader(a.id, a.key, 2500*time.Millisecond)
		platformtest.AddPrompt(request.Header, 1000, 1000)
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		r.mu.Lock()
		a.status, a.seal, a.body, a.whole = response.StatusCode, platformtest.Seal(response.Header), string(body), err == nil
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func (r *run) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *run) summary() string {
	return fmt.Sprintf("%d requests, %d answered whole, %d refused, %d faults played", len(r.asked), r.count["whole"], r.count["refused"], r.played())
}

func (r *run) played() (n int) {
	for name, count := range r.count {
		if strings.HasPrefix(name, "fault ") {
			n += count
		}
	}
	return n
}
