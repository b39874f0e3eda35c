package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget"] = playBudget }

// playBudget sends ordinary requests while all workers of a service reject a part of them for
// 6.5 s, without running them. With the disruption, all nodes are killed once in that time.
func playBudget(f *fleet, trouble bool) (broken []string) {
	const (
		workers   = 9
		perSecond = 60
		shedShare = 0.45
		spell     = 6500 * time.Millisecond
		killAfter = 3 * time.Second
		down      = 500 * time.Millisecond
		window    = 10 * time.Second // retry_window_s
		ratio     = 0.2              // retry_budget_ratio
		slack     = 58               // retry_slack
	)
	var mu sync.Mutex
	shed := false
	var sent []time.Time        // requests of clients
	var again []time.Time       // arrivals beyond the first of each request
	arrived := map[string]int{} // by request
	handle := func(w *worker, c net.Conn) {
		(&desk{fleet: f}).serve(w, c, func(q *request) (status int, body string) {
			mu.Lock()
			if arrived[q.id]++; arrived[q.id] > 1 {
				again = append(again, time.Now())
			}
			reject := shed && rand.Float64() < shedShare
			mu.Unlock()
			if reject {
				w.reject(c, q)
				return -1, ""
			}
			time.Sleep(30 * time.Millisecond)
			return http.StatusOK, "row"
		})
	}
	zones := []string{"mbeya-a", "iringa-a", "njombe-a"}
	for i := range workers {
		f.addWorker(fmt.Sprintf("i-desk-%d", i), "desk", zones[i%len(zones)], "", 6, handle)
	}
	f.store.set("op/config", config(3, []object{
		route("r-1", deskHost, "/entry/", "non_idempotent", "desk", 3000, 400, 1, object{"priority": 2}),
	}, []object{plainService("desk")}, []object{tenant("t1", "key1")}))
	d := &desk{fleet: f, started: map[string]time.Time{}}
	for _, zone := range zones {
		d.nodes = append(d.nodes, f.addNode(zone))
	}
	d.startNodes()
	_, stop := d.serveOthers(time.Second/perSecond, func(n *node, i int) answer {
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		return send(n.front, http.MethodPost, deskHost, "/entry/", fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	time.Sleep(window + 2*time.Second)
	set := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		shed = on
		f.record.log("workers reject requests: %t", on)
	}
	set(true)
	begin := time.Now()
	time.Sleep(killAfter)
	if trouble {
		f.record.log("all nodes are killed")
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range d.nodes {
			<-n.ended
		}
		time.Sleep(down)
		for _, n := range d.nodes {
			f.start(n)
		}
	}
	time.Sleep(time.Until(begin.Add(spell)))
	set(false)
	time.Sleep(window)
	stop()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	count := func(times []time.Time, from time.Time) (n int) {
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	worst, text := 0.0, ""
	for at := begin; at.Before(begin.Add(spell)); at = at.Add(50 * time.Millisecond) {
		from := at.Add(spell - window)
		requests := slices.Max([]int{count(sent, from), count(sent, from.Add(-window)), count(sent, from.Add(-window/2))})
		extra, bound := count(again, from), ratio*float64(requests)+slack
		if over := float64(extra) - bound; worst == 0 || over > worst {
			worst, text = over, fmt.Sprintf("%d arrivals beyond the first of each request in the 10 s from %.2f s on, with %d requests the bound is %.0f", extra, from.Sub(f.record.begin).Seconds(), requests, bound)
		}
	}
	f.record.log("%d requests sent, %d arrivals beyond the first of each; %s", len(sent), len(again), text)
	if worst > 0 {
		broken = append(broken, "BUDGET: "+text)
	}
	return broken
}
