package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	deskHost    = "desk.example"
	archiveHost = "archive.example"
	deadlyPath  = "/draw/17"
	contactTime = 4 * time.Second // contact_ms
	allowedLate = 3
	// usualCrash is the time from the begin of the run of the deadly request to the crash.
	usualCrash = 220 * time.Millisecond
)

// desk is a service with three workers, each of which crashes when it runs a certain request.
// Beside it stands another service with a host of its own.
type desk struct {
	fleet      *fleet
	nodes      []*node
	deadly     bool          // the request crashes workers
	once       bool          // its route is non_idempotent, so that each of it reaches one worker
	back       time.Duration // after which a worker that crashed is back, with another id
	crashAfter time.Duration // the begin of its run
	// fails makes a worker answer a request with 500 instead of running it. It may be nil.
	fails func(w *worker, q *request) (ok bool)

	mu       sync.Mutex
	started  map[string]time.Time // of the nodes, by name
	sent     int                  // deadly requests
	arrivals []arrival            // of them at workers
	crashes  []time.Time
}

// arrival is one of the deadly request at a worker.
type arrival struct {
	at      time.Time
	inTouch bool // the node that sent it
}

// newDesk starts the workers and three nodes, and returns when all nodes are in touch.
func newDesk(f *fleet, deadly, once bool, back time.Duration) *desk {
	d := &desk{fleet: f, deadly: deadly, once: once, back: back, crashAfter: usualCrash, started: map[string]time.Time{}}
	for _, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		d.addWorker(zone, 1)
	}
	f.addWorker("i-arc-1", "archive", "mbeya-a", "", 6, func(w *worker, c net.Conn) {
		d.serve(w, c, func(_ *request) (status int, body string) { return http.StatusOK, "archived" })
	})
	kind, attempts := "idempotent", 2
	if once {
		kind, attempts = "non_idempotent", 1
	}
	f.store.set("op/config", config(3, []object{
		route("r-1", deskHost, "/draw/", kind, "desk", 3000, 400, attempts, object{"priority": 2}),
		route("r-2", deskHost, "/entry/", "non_idempotent", "desk", 3000, 400, 1, object{"priority": 2}),
		route("r-3", archiveHost, "/draw/", "idempotent", "archive", 3000, 400, 2, object{"priority": 2}),
	}, []object{plainService("desk"), plainService("archive")}, []object{tenant("t1", "key1")}))
	for _, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		d.nodes = append(d.nodes, f.addNode(zone))
	}
	d.startNodes()
	return d
}

// startNodes starts all nodes and returns when they are in touch.
func (d *desk) startNodes() {
	for _, n := range d.nodes {
		d.fleet.start(n)
		d.mu.Lock()
		d.started[n.name] = time.Now()
		d.mu.Unlock()
	}
	d.fleet.awaitReady(d.nodes...)
	time.Sleep(contactTime + time.Second)
	d.fleet.record.log("all nodes are ready and in touch")
}

// serve serves requests on a connection.
func (d *desk) serve(w *worker, c net.Conn, run func(q *request) (status int, body string)) {
	reader := bufio.NewReader(c)
	for {
		q, err := readRequest(reader)
		if err != nil {
			return
		}
		if w.answerOwn(c, q) {
			continue
		}
		switch status, body := run(q); status {
		case 0: // the worker has ended
			return
		case -1: // answered already
		default:
			w.answer(c, q, status, "", body)
		}
	}
}

func (d *desk) addWorker(zone string, generation int) {
	f := d.fleet
	f.addWorker(fmt.Sprintf("i-%s-%d", zone[:3], generation), "desk", zone, "", 6, func(w *worker, c net.Conn) {
		d.serve(w, c, func(q *request) (status int, body string) {
			deadly := q.URL.Path == deadlyPath
			if d.fails != nil && d.fails(w, q) {
				if deadly {
					f.record.log("%s answers %s with 500", w.id, q.id)
				}
				return http.StatusInternalServerError, "failed"
			}
			if !deadly || !d.deadly {
				time.Sleep(60 * time.Millisecond)
				return http.StatusOK, "row"
			}
			d.mu.Lock()
			now := time.Now()
			d.arrivals = append(d.arrivals, arrival{now, now.Sub(d.started[q.Header.Get("From-Node")]) > contactTime})
			d.mu.Unlock()
			f.record.log("%s runs %s", w.id, q.id)
			time.Sleep(d.crashAfter)
			d.crash(w, zone, generation)
			return 0, ""
		})
	})
}

// crash ends a worker, and starts another one later.
func (d *desk) crash(w *worker, zone string, generation int) {
	w.crash(true)
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.fleet.record.log("%s crashes, the crash %d", w.id, len(d.crashes))
	d.mu.Unlock()
	time.AfterFunc(d.back, func() {
		d.fleet.store.delete("servers/" + w.id)
		d.addWorker(zone, generation+1)
	})
}

// nextDeadly returns the node and the id of the next deadly request.
func (d *desk) nextDeadly() (n *node, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	return d.nodes[d.sent%len(d.nodes)], fmt.Sprintf("%016x", 0xdead0000+d.sent)
}

// sendDeadly sends the deadly request to the next node and waits for the answer.
func (d *desk) sendDeadly() {
	n, id := d.nextDeadly()
	begin := time.Now()
	method := http.MethodGet
	if d.once {
		method = http.MethodPost
	}
	a := send(n.front, method, deskHost, deadlyPath, id, "key1", 6*time.Second, "From-Node: "+n.name+"\r\n", "")
	d.fleet.record.log("client gets for %s at %s after %s: %s", id, n.name, time.Since(begin).Round(time.Millisecond), a)
}

// others counts requests of other clients: answered by their worker, accepted and answered
// with 502, which promises nothing, and neither, such as those without a connection.
type others struct {
	mu                       sync.Mutex
	answered, failed, remain int
}

// serveOthers sends requests of other clients, one each interval, until stop is called.
func (d *desk) serveOthers(interval time.Duration, sendOne func(n *node, i int) (a answer)) (o *others, stop func()) {
	o = &others{}
	stopped := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(interval):
			}
			go func() {
				a := sendOne(d.nodes[i%len(d.nodes)], i)
				o.mu.Lock()
				defer o.mu.Unlock()
				switch a.status {
				case http.StatusOK, http.StatusInternalServerError:
					o.answered++
				case http.StatusBadGateway:
					o.failed++
				default:
					o.remain++
				}
			}()
		}
	}()
	return o, sync.OnceFunc(func() { close(stopped) })
}

// check returns what breaks the rule.
func (d *desk) check(entries *others) (broken []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entries != nil {
		entries.mu.Lock()
		d.fleet.record.log("requests of other clients to the desk: %d answered by their worker, %d accepted and ended with 502, %d others", entries.answered, entries.failed, entries.remain)
		entries.mu.Unlock()
	}
	d.fleet.record.log("%d workers crashed", len(d.crashes))
	if len(d.crashes) < 3 {
		return nil
	}
	late := 0
	for _, a := range d.arrivals {
		if a.inTouch && a.at.After(d.crashes[2].Add(contactTime)) {
			late++
		}
	}
	d.fleet.record.log("%d arrivals of the request, sent by machines in touch, later than %s after the third crash", late, contactTime)
	if late > allowedLate {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that crashes the workers that run it reached workers in %d retries later than contact_ms after it had crashed the third, want at most %d", late, allowedLate))
	}
	return broken
}
