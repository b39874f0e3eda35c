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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/platformtest"
)

const (
	host = "soak.example"
	// programStartTime is the time from starting a process to its main function.
	programStartTime = 100 * time.Millisecond
	// startupTime is the wait between starting the nodes and the first request.
	startupTime = 3 * time.Second
	// settleTime is how long callers go on after the last fault, and the wait
	// between the last request and the checks. It exceeds the 3 s timeout of the
	// routes and the 4 s of the callers, so that requests have ended by then.
	settleTime    = 6 * time.Second
	callerTimeout = 4 * time.Second
	// maxUseDelay is the longest time from opening a connection to its first request.
	maxUseDelay = 2 * time.Second
	// minNodePort and maxNodePort bound the ports of nodes.
	minNodePort  = 10000
	maxNodePort  = 30000
	streamEvents = 6
	// revocationLimit is the time after which a revoked key must not work.
	revocationLimit = 5 * time.Second
	// configTemplate takes the version and the quoted API key. The limits on runs in
	// checkRequest follow the kind, max_attempts and resumable of its routes.
	configTemplate = `{"version":%d,"routes":[
		{"name":"m","hostname":"soak.example","prefix":"/models/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"models","max_attempts":2,"session_affinity":true,"resumable":true},
		{"name":"r","hostname":"soak.example","prefix":"/rulings/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"models","max_attempts":1,"session_affinity":true},
		{"name":"e","hostname":"soak.example","prefix":"/entries/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"desk","max_attempts":2},
		{"name":"d","hostname":"soak.example","prefix":"/draws/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"desk","max_attempts":2}],
		"services":[{"name":"models","engine":{"slots":16,"kv_capacity":100000,"kv_token_bytes":1000,"link_mbps":100000}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},"tenants":[{"name":"w","api_keys":[%s]}]}`
)

type (
	// runOptions is the size and the mode of a run.
	runOptions struct {
		duration time.Duration // in which faults are injected, or planned work is done
		nodes    int
		planned  bool // planned work instead of faults
		conns    int  // of the callers to each node; with planned
		restores bool // the store comes back from older copies
	}

	// soakRun is a run with one seed: a fleet with its stand-ins, callers and
	// faults. The goroutine of execute injects the faults and counts them. Keys and
	// configuration are shared with the callers.
	soakRun struct {
		seed          uint64
		options       runOptions
		random        *rand.Rand
		binary        string
		logs          string
		store         *platformtest.Store
		cloud         *platformtest.Cloud
		storeAddress  string
		cloudAddress  string
		nodes         []*process
		nodeAddresses map[string]bool // all that freeAddress tried
		upstreams     map[string]*proxiedUpstream
		configText    []byte // the newest; guarded by mu once callers run, like the next three
		configVersion int
		currentKey    string               // key-<configVersion>
		revokedAt     map[string]time.Time // by key, the time at which the store had accepted its revocation
		servers       []*http.Server

		restores atomic.Int64 // of the store

		releasing sync.Mutex // held during a release; guards releases
		releases  int

		mu         sync.Mutex
		requests   map[string]*callerRequest
		violations []string
		// closeDelays are the times from a SIGTERM to the close of connections, for aimAtClose.
		closeDelays []time.Duration
		counts      map[string]int // used without mu, only by the goroutine that calls execute
	}

	// process is an entry node. It reaches the store through a proxy.
	process struct {
		name          string
		storeProxy    *proxy
		settingsFile  string
		callerAddress string
		restarting    sync.Mutex // held while the process is ended and started again
		mu            sync.Mutex
		command       *exec.Cmd
		exited        chan struct{}
		startedAt     time.Time
		starts        int
		signaled      bool      // the process was told to end
		stopSentAt    time.Time // first SIGTERM; zero before
	}

	// proxiedUpstream is an upstream stand-in that nodes reach through a proxy.
	proxiedUpstream struct {
		*platformtest.Upstream
		service string
		proxy   *proxy
	}

	// callerRequest is a request with the response that its caller got.
	callerRequest struct {
		id, path, key string
		sentAt        time.Time
		status        int
		seal, body    string
		complete      bool
		sent          sending // by a raw caller
	}
)

// newRun starts the stand-ins and the nodes.
func newRun(seed uint64, binary, logs string, options runOptions) (r *soakRun, err error) {
	r = &soakRun{
		seed: seed, options: options, random: rand.New(rand.NewPCG(seed, 0)), binary: binary, logs: logs, store: platformtest.NewStore(),
		cloud: platformtest.NewCloud(), upstreams: map[string]*proxiedUpstream{}, currentKey: "key-1", revokedAt: map[string]time.Time{},
		requests: map[string]*callerRequest{}, counts: map[string]int{}, nodeAddresses: map[string]bool{},
	}
	r.storeAddress, r.cloudAddress = r.serve(r.store), r.serve(r.cloud)
	for i := range 3 {
		r.addUpstream(fmt.Sprintf("d%d", i), "desk", "", &platformtest.Upstream{})
		r.addUpstream(fmt.Sprintf("g%d", i), "models", "decode", &platformtest.Upstream{Events: streamEvents, Gap: 40 * time.Millisecond})
	}
	r.addUpstream("p0", "models", "prefill", &platformtest.Upstream{Events: streamEvents})
	if options.planned {
		r.addSpareUpstreams()
	}
	r.writeConfig()
	for i := range options.nodes {
		if err = r.addNode(fmt.Sprintf("n%d", i)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// serve starts the HTTP server of a stand-in and returns its address.
func (r *soakRun) serve(handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go server.Serve(listener)
	return listener.Addr().String()
}

// addUpstream starts an upstream with its proxy and registers it.
func (r *soakRun) addUpstream(id, service, stage string, upstream *platformtest.Upstream) {
	upstream.ID, upstream.Stage, upstream.Script = id, stage, &platformtest.FaultScript{}
	p, err := newProxy(r.serve(upstream))
	if err != nil {
		panic(err)
	}
	r.upstreams[id] = &proxiedUpstream{Upstream: upstream, service: service, proxy: p}
	r.register(id, "ready")
}

// register writes the state of an upstream to the store.
func (r *soakRun) register(id, state string) {
	upstream := r.upstreams[id]
	text, err := json.Marshal(map[string]any{
		"service": upstream.service, "address": upstream.proxy.address(), "zone": "a", "slots": 16, "state": state, "stage": upstream.Stage, "born": 1000,
	})
	if err != nil {
		panic(err)
	}
	r.store.Set(platform.UpstreamPrefix+id, text)
}

// writeConfig writes the next version of the configuration, in which only
// currentKey and the added keys are valid.
func (r *soakRun) writeConfig(added ...string) {
	r.configVersion++
	keys := fmt.Sprintf("%q", r.currentKey)
	for _, key := range added {
		keys += fmt.Sprintf(",%q", key)
	}
	r.configText = []byte(fmt.Sprintf(configTemplate, r.configVersion, keys))
	r.store.Set(platform.ConfigKey, r.configText)
}

// freeAddress returns a loopback address whose port is free and that it hasn't returned
// before. The port isn't one that the system gives to outgoing connections, since a node
// that restarts would find it taken by one.
func (r *soakRun) freeAddress() (address string) {
	for {
		address = fmt.Sprintf("127.0.0.1:%d", minNodePort+rand.IntN(maxNodePort-minNodePort))
		if r.nodeAddresses[address] {
			continue
		}
		r.nodeAddresses[address] = true
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

// addNode writes the settings of a node and starts it.
func (r *soakRun) addNode(name string) (err error) {
	p := &process{name: name, callerAddress: r.freeAddress(), settingsFile: filepath.Join(r.logs, name+".toml")}
	if p.storeProxy, err = newProxy(r.storeAddress); err != nil {
		return err
	}
	text := fmt.Sprintf("Name = %q\nFailureDomain = \"a\"\n[Listen]\nCaller = %q\nReady = %q\nPeer = %q\n[Regions]\na = \"r\"\n"+
		"[Store]\nAddress = %q\n[Cloud]\nAddress = %q\n", name, p.callerAddress, r.freeAddress(), r.freeAddress(), p.storeProxy.address(), r.cloudAddress)
	if err = os.WriteFile(p.settingsFile, []byte(text), 0o644); err != nil {
		return err
	}
	r.nodes = append(r.nodes, p)
	return r.startProcess(p)
}

// startProcess starts the program with its output appended to the node's log.
func (r *soakRun) startProcess(p *process) (err error) {
	log, err := os.OpenFile(filepath.Join(r.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(r.binary, "entry", "--config", p.settingsFile)
	command.Stdout, command.Stderr = log, log
	if r.options.planned {
		command.Env = append(os.Environ(), plannedEnvironment)
	}
	if err = command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.starts++
	p.command, p.exited, p.startedAt, p.signaled, p.stopSentAt = command, exited, time.Now(), false, time.Time{}
	p.mu.Unlock()
	go func() {
		defer close(exited)
		defer log.Close()
		command.Wait() // the exit status is no result, because most processes are killed
		p.mu.Lock()
		signaled := p.signaled
		p.mu.Unlock()
		if !signaled {
			r.addViolation("node %s exited by itself: %s", p.name, command.ProcessState)
		}
	}()
	return nil
}

// signal sends a signal to the process. A SIGHUP before the program has begun would end
// it, and is left out.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGHUP && time.Since(p.startedAt) < programStartTime {
		return
	}
	p.signaled = p.signaled || s == syscall.SIGTERM || s == syscall.SIGKILL
	if s == syscall.SIGTERM && p.stopSentAt.IsZero() {
		p.stopSentAt = time.Now()
	}
	p.command.Process.Signal(s) // fails if the process has exited, which needs no signal
}

// restartProcess ends a process by a signal, or by SIGKILL if it doesn't exit
// within 8 s, and starts it again. A node that can't be started is a violation, and so
// is SIGKILL among planned work. If the process is being restarted already, it only
// gets the signal.
func (r *soakRun) restartProcess(p *process, s syscall.Signal) {
	if !p.restarting.TryLock() {
		p.signal(s)
		return
	}
	defer p.restarting.Unlock()
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(8 * time.Second):
		if r.options.planned {
			r.addViolation("node %s hasn't exited 8 s after SIGTERM", p.name)
		}
		p.signal(syscall.SIGKILL)
		<-exited
	}
	if err := r.startProcess(p); err != nil {
		r.addViolation("restart node %s: %v", p.name, err)
	}
}

// execute sends requests and injects faults, or does planned work, for the duration,
// and returns the violations of invariants.
func (r *soakRun) execute(ctx context.Context) (violations []string) {
	time.Sleep(startupTime)
	ctx, cancel := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	start, inject := r.startCallers, r.injectFault
	if r.options.planned {
		start, inject = r.startRawCallers, r.doPlannedWork
	}
	start(ctx, &callers)
	if r.options.restores {
		restoreCtx, stop := context.WithTimeout(ctx, r.options.duration)
		defer stop()
		faults.Go(func() { r.restoreStore(restoreCtx) })
	}
	for end := time.Now().Add(r.options.duration); time.Now().Before(end); {
		inject(&faults)
		time.Sleep(time.Duration(200+r.random.IntN(800)) * time.Millisecond)
	}
	faults.Wait()
	time.Sleep(settleTime)
	cancel()
	callers.Wait()
	time.Sleep(settleTime) // for late runs on upstreams and the last reports
	for _, p := range r.nodes {
		p.signal(syscall.SIGKILL)
		<-p.exited
		p.storeProxy.close()
	}
	r.checkInvariants()
	for _, upstream := range r.upstreams {
		upstream.proxy.close()
	}
	for _, server := range r.servers {
		server.Close()
	}
	return r.violations
}

// startCallers starts the callers of a run with faults in goroutines of running.
func (r *soakRun) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for i := range 8 {
		random := rand.New(rand.NewPCG(r.seed, uint64(i+1)))
		running.Go(func() { r.sendRequests(ctx, random, i) })
	}
}

// injectFault starts a random fault, which ends by itself, in a goroutine of
// running. One time in eight it also revokes the key and issues another. Faults
// may overlap: the first one that ends on a proxy makes it forward again.
func (r *soakRun) injectFault(running *sync.WaitGroup) {
	p := r.nodes[r.random.IntN(len(r.nodes))]
	upstreamIDs := []string{"d0", "d1", "d2", "g0", "g1", "g2", "p0"}
	id := upstreamIDs[r.random.IntN(len(upstreamIDs))]
	upstream := r.upstreams[id]
	duration := time.Duration(500+r.random.IntN(4000)) * time.Millisecond
	proxyMode := []relayMode{delay, stall, stallResponses, reject}[r.random.IntN(4)]
	kind := r.random.IntN(17)
	other := r.nodes[r.random.IntN(len(r.nodes))]
	r.counts[fmt.Sprintf("fault %d", kind)]++
	running.Go(func() {
		switch kind {
		case 0:
			r.restartProcess(p, syscall.SIGKILL)
		case 1:
			r.restartProcess(p, syscall.SIGTERM)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			p.signal(syscall.SIGCONT)
		case 3:
			p.signal(syscall.SIGHUP)
		case 4, 5:
			p.storeProxy.setMode(proxyMode)
			time.Sleep(duration)
			p.storeProxy.setMode(forward)
		case 6:
			p.storeProxy.resetConns()
		case 7:
			upstream.proxy.setMode(proxyMode)
			time.Sleep(duration)
			upstream.proxy.setMode(forward)
		case 8:
			upstream.proxy.resetConns()
		case 9:
			upstream.Script.Add(platformtest.Reject, platformtest.Reset, platformtest.Truncate, platformtest.Fail, platformtest.NoSeal)
		case 10:
			r.store.DropResponses(2)
		case 11:
			r.store.Compact()
		case 12:
			r.register(id, "draining")
			time.Sleep(duration)
			r.register(id, "ready")
		case 13:
			p.storeProxy.silence()
		case 14:
			upstream.proxy.silence()
		case 15: // signals in series
			p.signal(syscall.SIGHUP)
			running.Go(func() { r.restartProcess(p, syscall.SIGTERM) })
			time.Sleep(duration / 4)
			p.signal(syscall.SIGHUP)
			r.restartProcess(p, syscall.SIGTERM)
		case 16: // two nodes at once, or one twice
			running.Go(func() { r.restartProcess(other, syscall.SIGTERM) })
			r.restartProcess(p, syscall.SIGTERM)
		}
	})
	if r.random.IntN(8) == 0 {
		r.mu.Lock()
		old := r.currentKey
		r.currentKey = fmt.Sprintf("key-%d", r.configVersion+1)
		r.writeConfig()
		r.revokedAt[old] = time.Now()
		r.mu.Unlock()
	}
}

// newCaller returns a client that keeps connections open. It uses some new ones only
// after a delay, in which the node may begin to stop. random belongs to the client.
func newCaller(random *rand.Rand) (client *http.Client) {
	const delayedShare = 8 // one of so many
	var mu sync.Mutex
	dial := func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		mu.Lock()
		wait := time.Duration(0)
		if random.IntN(delayedShare) == 0 {
			wait = time.Duration(random.IntN(int(maxUseDelay)))
		}
		mu.Unlock()
		conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
		time.Sleep(wait)
		return conn, err
	}
	return &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DialContext: dial}}
}

// sendRequests sends requests one after another, over reused connections, until
// ctx ends.
func (r *soakRun) sendRequests(ctx context.Context, random *rand.Rand, caller int) {
	client := newCaller(rand.New(rand.NewPCG(r.seed, uint64(100+caller))))
	for i := 0; ctx.Err() == nil; i++ {
		path := []string{"/models/", "/rulings/", "/entries/", "/draws/"}[random.IntN(4)]
		call := &callerRequest{id: fmt.Sprintf("q%d-%d", caller, i), path: path + fmt.Sprint(i), sentAt: time.Now()}
		r.mu.Lock()
		call.key = fmt.Sprintf("key-%d", max(1, r.configVersion-max(0, random.IntN(8)-5))) // in 1 of 4 requests one of the two previous keys
		r.requests[call.id] = call
		r.mu.Unlock()
		p := r.nodes[random.IntN(len(r.nodes))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerAddress+call.path, strings.NewReader(call.id))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header = platformtest.CallerHeader(call.id, call.key, 2500*time.Millisecond)
		platformtest.AddPrompt(request.Header, 1000, 1000)
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		r.mu.Lock()
		call.status, call.seal, call.body, call.complete = response.StatusCode, platformtest.Seal(response.Header), string(body), err == nil
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func (r *soakRun) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// summary counts the requests by outcome, as checkRequest found them.
func (r *soakRun) summary() string {
	if r.options.planned {
		return r.plannedSummary()
	}
	return fmt.Sprintf("%d requests, %d complete answers, %d refused, %d faults injected, %d restores of the store", len(r.requests), r.counts["whole"], r.counts["refused"],
		r.injectedFaults(), r.restores.Load())
}

// injectedFaults returns the number of faults of all kinds.
func (r *soakRun) injectedFaults() (n int) {
	for name, count := range r.counts {
		if strings.HasPrefix(name, "fault ") {
			n += count
		}
	}
	return n
}
