package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["poison"] = playPoison
	cases["dark"] = playDark
	cases["forgotten"] = playForgotten
	cases["early"] = playEarly
}

const (
	poisonPath  = "/draw/poison"
	contactTime = 4 * time.Second // contact_ms
	// crashAfter is the time from the begin of the run of a poison request to the crash.
	crashAfter = 220 * time.Millisecond
	// workerBack is the time after which a worker that crashed is back, with another id.
	workerBack = 2 * time.Second
	// darkTime is the same for a worker that went dark.
	darkTime = 4500 * time.Millisecond
)

// poisonDesk is a service with three workers, each of which crashes when it runs a certain
// request.
type poisonDesk struct {
	fleet *fleet
	nodes []*node
	dark  bool // workers that crash fall silent instead of ending their connections

	mu       sync.Mutex
	sent     int         // poison requests
	arrivals []time.Time // of poison requests at workers
	crashes  []time.Time
	served   int // ordinary requests
}

// newPoisonDesk starts the workers and three nodes, and returns when all nodes are in touch.
func newPoisonDesk(f *fleet, dark bool) *poisonDesk {
	d := &poisonDesk{fleet: f, dark: dark}
	for _, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		d.addWorker(zone, 1)
	}
	f.store.set("op/config", config(3, []object{
		route("r-1", "desk.example", "/draw/", "idempotent", "desk", 3000, 400, 2, object{"priority": 2}),
	}, []object{plainService("desk")}, []object{tenant("t1", "key1")}))
	d.nodes = []*node{f.addNode("mbeya-a"), f.addNode("iringa-a"), f.addNode("njombe-a")}
	for _, n := range d.nodes {
		f.start(n)
	}
	f.awaitReady(d.nodes...)
	time.Sleep(contactTime + time.Second)
	return d
}

func (d *poisonDesk) addWorker(zone string, generation int) {
	f := d.fleet
	f.addWorker(fmt.Sprintf("i-%s-%d", zone[:3], generation), "desk", zone, "", 6, func(w *worker, c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			q, err := readRequest(reader)
			if err != nil {
				return
			}
			if w.answerOwn(c, q) {
				continue
			}
			w.awaitAwake()
			if q.URL.Path != poisonPath {
				time.Sleep(60 * time.Millisecond)
				w.awaitAwake()
				w.answer(c, q, 200, "", "row")
				d.mu.Lock()
				d.served++
				d.mu.Unlock()
				continue
			}
			d.mu.Lock()
			d.arrivals = append(d.arrivals, time.Now())
			d.mu.Unlock()
			f.record.log("%s runs %s", w.id, q.id)
			time.Sleep(crashAfter)
			back := workerBack
			if d.dark {
				back = darkTime
				w.fallSilent()
			} else {
				w.crash(true)
			}
			d.mu.Lock()
			d.crashes = append(d.crashes, time.Now())
			f.record.log("%s crashes, the crash %d", w.id, len(d.crashes))
			d.mu.Unlock()
			time.AfterFunc(back, func() {
				f.store.delete("servers/" + w.id)
				w.crash(true)
				d.addWorker(zone, generation+1)
			})
			if d.dark {
				<-w.ended
			}
			return
		}
	})
}

// poison sends the poison request, and leaves after a time, or not if that is 0.
func (d *poisonDesk) poison(leaveAfter time.Duration) {
	d.mu.Lock()
	d.sent++
	n, id := d.nodes[d.sent%len(d.nodes)], fmt.Sprintf("%016x", 0xdead0000+d.sent)
	d.mu.Unlock()
	begin := time.Now()
	c, err := dial(n.front)
	if err != nil {
		d.fleet.record.log("client can't connect to %s: %v", n.name, err)
		return
	}
	defer c.Close()
	wait := 7 * time.Second
	if leaveAfter > 0 {
		wait = leaveAfter
	}
	c.SetDeadline(begin.Add(wait))
	a := exchange(c, bufio.NewReader(c), "GET", "desk.example", poisonPath, id, "key1", 6*time.Second, "", "")
	if leaveAfter > 0 && a.status == 0 {
		d.fleet.record.log("client of %s at %s leaves after %s", id, n.name, time.Since(begin).Round(time.Millisecond))
		return
	}
	d.fleet.record.log("client gets for %s at %s after %s: %s", id, n.name, time.Since(begin).Round(time.Millisecond), a)
}

// serveOthers sends ordinary requests until stop is called.
func (d *poisonDesk) serveOthers() (stop func()) {
	stopped := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(100 * time.Millisecond):
				go send(d.nodes[i%len(d.nodes)].front, "GET", "desk.example", fmt.Sprintf("/draw/%d", i), fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", "")
			}
		}
	}()
	return func() { close(stopped) }
}

// check returns what breaks the rule.
func (d *poisonDesk) check() (broken []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.record.log("%d workers crashed, %d ordinary requests ran", len(d.crashes), d.served)
	if len(d.crashes) < 3 {
		return nil
	}
	late := 0
	for _, at := range d.arrivals {
		if at.After(d.crashes[2].Add(contactTime)) {
			late++
		}
	}
	d.fleet.record.log("%d arrivals of the request later than %s after the third crash", late, contactTime)
	if late > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that crashes the workers that run it reached workers %d times later than contact_ms after it had crashed the third, want at most 3", late))
	}
	return broken
}

// playPoison sends a request that crashes each worker that runs it, again and again. With
// the disruption its client leaves before its deadline, in three spells.
func playPoison(f *fleet, trouble bool) (broken []string) {
	const (
		leaveAfter = 150 * time.Millisecond // half of the objective is 200 ms
		spell      = 5500 * time.Millisecond
		pause      = time.Second // between two requests
	)
	d := newPoisonDesk(f, false)
	stop := d.serveOthers()
	for range 3 {
		f.record.log("a spell begins")
		for end := time.Now().Add(spell - pause); time.Now().Before(end); time.Sleep(pause) {
			if trouble {
				d.poison(leaveAfter)
			} else {
				d.poison(0)
			}
		}
		time.Sleep(2 * time.Second)
	}
	stop()
	time.Sleep(500 * time.Millisecond)
	return d.check()
}

// playDark sends a request that crashes each worker that runs it, from a client that waits for
// the answer. With the disruption, the workers go dark when they crash.
func playDark(f *fleet, trouble bool) (broken []string) {
	d := newPoisonDesk(f, trouble)
	stop := d.serveOthers()
	for range 8 {
		d.poison(0)
		time.Sleep(time.Second)
	}
	stop()
	time.Sleep(500 * time.Millisecond)
	return d.check()
}

// playForgotten sends a request that crashes each worker that runs it four times. With the
// disruption, all nodes are killed between two of them.
func playForgotten(f *fleet, trouble bool) (broken []string) {
	const down = 1300 * time.Millisecond
	d := newPoisonDesk(f, false)
	for i := range 4 {
		d.poison(0)
		time.Sleep(time.Second)
		if i == 3 {
			break
		}
		if trouble {
			f.record.log("all nodes are killed")
			for _, n := range d.nodes {
				n.signal(syscall.SIGKILL)
			}
			for _, n := range d.nodes {
				<-n.ended
			}
		}
		time.Sleep(down)
		for _, n := range d.nodes {
			if trouble {
				f.start(n)
			}
		}
		f.awaitReady(d.nodes...)
		f.record.log("all nodes are ready")
		time.Sleep(contactTime + time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	return d.check()
}

// playEarly sends a request that crashes the workers that run it. With the disruption, all
// nodes are killed 50 ms after the third crash. The request comes again when they are in touch.
func playEarly(f *fleet, trouble bool) (broken []string) {
	d := newPoisonDesk(f, false)
	crashed := func() (n int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.crashes)
	}
	go func() {
		for range 2 {
			d.poison(0)
			time.Sleep(time.Second)
		}
	}()
	for crashed() < 3 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if trouble {
		f.record.log("all nodes are killed")
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range d.nodes {
			<-n.ended
		}
		time.Sleep(1300 * time.Millisecond)
		for _, n := range d.nodes {
			f.start(n)
		}
	}
	f.awaitReady(d.nodes...)
	time.Sleep(contactTime + 2*time.Second)
	for range 4 {
		d.poison(0)
		time.Sleep(2 * time.Second)
	}
	return d.check()
}
