package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	poisonPath  = "/draw/poison"
	contactTime = 4 * time.Second // contact_ms
)

// arrival is a poison request that reached a worker.
type arrival struct {
	at time.Time
	id string
}

// playPoison sends a request that crashes each worker that runs it, again and again. With
// the disruption its client leaves before its deadline, in two spells.
func playPoison(f *fleet, trouble bool) (broken []string) {
	const (
		crashAfter = 180 * time.Millisecond // from the begin of the run
		leaveAfter = 150 * time.Millisecond // half of the objective is 200 ms
		back       = 2 * time.Second
		spell      = 5500 * time.Millisecond
		pause      = time.Second // between two requests
	)
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	var addDesk func(zone string, generation int)
	served := 0
	addDesk = func(zone string, generation int) {
		id := fmt.Sprintf("i-%s-%d", zone[:3], generation)
		f.addWorker(id, "desk", zone, "", 6, func(w *worker, c net.Conn) {
			reader := bufio.NewReader(c)
			for {
				q, err := readRequest(reader)
				if err != nil {
					return
				}
				if w.answerOwn(c, q) {
					continue
				}
				if q.URL.Path != poisonPath {
					time.Sleep(60 * time.Millisecond)
					w.answer(c, q, 200, "", "row")
					mu.Lock()
					served++
					mu.Unlock()
					continue
				}
				mu.Lock()
				arrivals = append(arrivals, arrival{time.Now(), q.id})
				mu.Unlock()
				f.record.log("%s runs %s", w.id, q.id)
				time.Sleep(crashAfter)
				w.crash(true)
				mu.Lock()
				crashes = append(crashes, time.Now())
				f.record.log("%s crashes, the crash %d", w.id, len(crashes))
				mu.Unlock()
				time.AfterFunc(back, func() {
					f.store.delete("servers/" + w.id) // by then it would have expired, or its successor takes its place
					addDesk(zone, generation+1)
				})
				return
			}
		})
	}
	for _, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		addDesk(zone, 1)
	}
	f.store.set("op/config", config(3, []object{
		route("r-1", "desk.example", "/draw/", "idempotent", "desk", 3000, 400, 2, object{"priority": 2}),
	}, []object{plainService("desk")}, []object{tenant("t1", "key1")}))
	nodes := []*node{f.addNode("mbeya-a"), f.addNode("iringa-a"), f.addNode("njombe-a")}
	for _, n := range nodes {
		f.start(n)
	}
	f.awaitReady(nodes...)
	time.Sleep(contactTime + time.Second) // all nodes are in touch
	count := 0
	poison := func(leave bool) {
		n := nodes[count%len(nodes)]
		count++
		id := fmt.Sprintf("%016x", 0xdead0000+count)
		begin := time.Now()
		if !leave {
			a := send(n.front, "GET", "desk.example", poisonPath, id, "key1", 6*time.Second, "", "")
			f.record.log("client gets for %s at %s after %s: %s", id, n.name, time.Since(begin).Round(time.Millisecond), a)
			return
		}
		c, err := dial(n.front)
		if err != nil {
			f.record.log("client can't connect to %s: %v", n.name, err)
			return
		}
		defer c.Close()
		c.SetDeadline(begin.Add(leaveAfter))
		a := exchange(c, bufio.NewReader(c), "GET", "desk.example", poisonPath, id, "key1", 6*time.Second, "", "")
		f.record.log("client of %s at %s leaves after %s: %s", id, n.name, time.Since(begin).Round(time.Millisecond), a)
	}
	stop := make(chan struct{})
	go func() { // ordinary requests
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				go send(nodes[i%len(nodes)].front, "GET", "desk.example", fmt.Sprintf("/draw/%d", i), fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", "")
			}
		}
	}()
	for range 3 {
		f.record.log("a spell begins")
		for end := time.Now().Add(spell - pause); time.Now().Before(end); time.Sleep(pause) {
			poison(trouble)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	f.record.log("%d workers crashed, %d ordinary requests ran", len(crashes), served)
	if len(crashes) < 3 {
		return nil
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(contactTime)) {
			late++
		}
	}
	f.record.log("%d arrivals of the request later than %s after the third crash", late, contactTime)
	if late > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that crashes the workers that run it reached workers %d times later than contact_ms after it had crashed the third, want at most 3", late))
	}
	return broken
}
