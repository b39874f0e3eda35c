package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, the platform's duties, workers and entry nodes.
type fleet struct {
	program string
	dir     string
	store   *store
	storeAt string
	cloudAt string
	record  *record
	control bool // leaves out what the case says is needed beside the disruption
	nodes   []*node
	workers []*worker

	mu    sync.Mutex
	usage map[int64]string // reported counts by window
}

// record is what is written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// node is an entry process.
type node struct {
	name, zone, ip    string
	front, ready, own string
	settings          string
	first             bool
	process           *exec.Cmd
	ended             chan struct{}
	log               *os.File
}

var zones = map[string]string{"mbeya-a": "mbeya", "iringa-a": "iringa", "njombe-a": "njombe"}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		unable("listen on %s: %v", ip, err)
	}
	return l
}

// freePorts returns different ports that nothing listens on.
func freePorts(ip string, n int) (ports []int) {
	for range n {
		l := listen(ip)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

func newFleet(program, dir string, r *record) *fleet {
	f := &fleet{program: program, dir: dir, store: newStore(), record: r, usage: map[int64]string{}}
	storeListener, cloudListener := listen("127.0.0.1"), listen("127.0.0.1")
	f.storeAt, f.cloudAt = storeListener.Addr().String(), cloudListener.Addr().String()
	go http.Serve(storeListener, f.store)
	go http.Serve(cloudListener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/usage" {
			var report struct {
				Window int64
				Counts map[string]int64
			}
			json.NewDecoder(q.Body).Decode(&report)
			text, _ := json.Marshal(report.Counts)
			f.mu.Lock()
			f.usage[report.Window] = string(text)
			f.mu.Unlock()
			f.record.log("usage of window %d reported by %s: %s", report.Window, q.Header.Get("Duty-Holder"), text)
		}
		w.WriteHeader(http.StatusOK)
	}))
	return f
}

// addNode prepares an entry node with the settings that the template of the deploy file
// gives for a small deployment.
func (f *fleet) addNode(zone string) *node {
	n := len(f.nodes) + 1
	pid := os.Getpid() // scripts that run at the same time have nodes at other addresses
	ip := fmt.Sprintf("127.%d.%d.%d", 10+pid%200, pid/200%250, 10+n)
	name := fmt.Sprintf("edge-%s-%d", zone, n)
	d := &node{name: name, zone: zone, ip: ip, first: true}
	ports := freePorts(ip, 3)
	d.front, d.ready, d.own = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1]), fmt.Sprintf("%s:%d", ip, ports[2])
	d.settings = filepath.Join(f.dir, name+".toml")
	f.nodes = append(f.nodes, d)
	return d
}

func (f *fleet) writeSettings(d *node) {
	first := ""
	if d.first {
		first = "FirstStart = true\n"
	}
	text := fmt.Sprintf(`Name = %q
FailureDomain = %q
%sContracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"]
[Listen]
Caller = %q
Ready = %q
Peer = %q

[Regions]
mbeya-a = "mbeya"
iringa-a = "iringa"
njombe-a = "njombe"

[Store]
Address = %q

[Cloud]
Address = %q
[Limits]
MemoryMB = 284
Descriptors = 4100
ProcessorShare = 0.4

[Bounds]
Configuration = "3000ms"
Revocation = "5000ms"
Grace = "8s"
Lease = "3000ms"
UsageWindow = "5s"
UsageLateness = "10s"
RetryWindow = "10s"
RetryRatio = 0.2
RetrySlack = 58
Fenced = true
`, d.name, d.zone, first, d.front, d.ready, d.own, f.storeAt, f.cloudAt)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		unable("%v", err)
	}
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(d *node) {
	f.writeSettings(d)
	log, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	d.log = log
	d.process = exec.Command(f.program, "entry", "--config-variable", "GUAVAGAUGE_BOOT")
	d.process.Env = append(os.Environ(), "GUAVAGAUGE_BOOT="+d.settings)
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		unable("%v", err)
	}
	d.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		err := p.Wait()
		f.record.log("process of %s ended: %v", d.name, err)
		close(ended)
	}(d.process, d.ended)
	f.record.log("started %s, callers at %s", d.name, d.front)
	d.first = false
}

func (d *node) signal(s syscall.Signal) { d.process.Process.Signal(s) }

// stopAll ends all processes that the fleet started.
func (f *fleet) stopAll() {
	for _, d := range f.nodes {
		if d.process != nil {
			d.process.Process.Signal(syscall.SIGCONT)
			d.process.Process.Kill()
			<-d.ended
		}
	}
}

// isReady asks a node as the platform does.
func (d *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + d.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(nodes ...*node) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, d := range nodes {
			ok = ok && d.isReady()
		}
		if ok {
			return
		}
		if time.Now().After(end) {
			unable("nodes aren't ready")
		}
	}
}

// addWorker serves a worker and registers it. handle is called for each connection.
func (f *fleet) addWorker(id, service, zone, stage string, slots int, handle func(w *worker, c net.Conn)) *worker {
	l := listen("127.0.0.1")
	w := &worker{fleet: f, id: id, service: service, zone: zone, stage: stage, slots: slots, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	w.handle = handle
	go w.serve(l)
	w.register("ready")
	f.workers = append(f.workers, w)
	return w
}

type object = map[string]any

func route(name, host, prefix, kind, service string, timeoutMs, aimMs, attempts int, more object) object {
	r := object{
		"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": aimMs,
		"priority": 1, "service": service, "max_attempts": attempts, "allow_anonymous": false, "session_affinity": kind == "streaming", "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func plainService(name string) object {
	return object{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
}

func config(version int, routes, services, tenants []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

func tenant(name string, keys ...string) object { return object{"name": name, "api_keys": keys} }
