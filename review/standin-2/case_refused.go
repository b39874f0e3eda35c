package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused sends entries on a route whose requests may run once. With the disruption, one
// of three workers fails part of the entries that it has run, with status 503 and without
// Not-Executed, while its health check is good.
func playRefused(f *fleet, trouble bool) (broken []string) {
	var mu sync.Mutex
	runs := map[string]int{}
	ran := 0 // entries that the failing worker ran
	handle := func(w *worker, c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			q, err := readRequest(reader)
			if err != nil {
				return
			}
			if w.answerOwn(c, q) {
				continue
			}
			mu.Lock()
			runs[q.id]++
			fails := false
			if w.id == "i-a1" {
				fails = trouble && ran%20 < 9 // 45 %
				ran++
			}
			mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			f.record.log("%s has run %s: %q, fails: %t", w.id, q.id, q.body, fails)
			if fails {
				w.answer(c, q, 503, "", "the commit was not confirmed in time")
			} else {
				w.answer(c, q, 200, "", "recorded")
			}
		}
	}
	for i, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		f.addWorker(fmt.Sprintf("i-a%d", i+1), "desk", zone, "", 6, handle)
	}
	f.heartbeats(f.workers...)
	f.store.set("op/config", config(3, []object{
		route("r-1", "desk.example", "/entry/", "non_idempotent", "desk", 3000, 400, 1, object{"priority": 2}),
	}, []object{plainService("desk")}, []object{tenant("t1", "key1")}))
	n := f.addNode("mbeya-a")
	f.start(n)
	f.awaitReady(n)
	time.Sleep(5 * time.Second)
	for i := range 30 {
		for attempt := range 2 { // the client retries once, after a promise only
			id := fmt.Sprintf("%016x", 0xe0000+16*i+attempt)
			a := send(n.front, "POST", "desk.example", "/entry/new", id, "key1", 6*time.Second, "", fmt.Sprintf("entry of team %d", i))
			f.record.log("client gets for %s: %s", id, a)
			promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
			mu.Lock()
			times := runs[id]
			mu.Unlock()
			if promise && times > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: %s, which isn't idempotent, is answered %d and has run %d time(s)", id, a.status, times))
			}
			if !promise {
				break
			}
		}
	}
	return broken
}
