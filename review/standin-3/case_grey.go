package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["grey"] = playGrey }

// playGrey sends a request that crashes each worker that runs it, once a second, in spells
// with pauses between them. With the disruption, one worker of three fails a part of its
// requests in each spell: those for draws 10 to 19 end with status 500 at once.
func playGrey(f *fleet, trouble bool) (broken []string) {
	const (
		spell      = 6500 * time.Millisecond
		perSpell   = 6 // deadly requests
		pause      = 2500 * time.Millisecond
		draws      = 100
		greyWorker = "i-mbe-1" // never runs the deadly request, so that it never crashes
	)
	d := newDesk(f, true, true, 2*time.Second)
	var mu sync.Mutex
	grey, received, failed := false, 0, 0
	d.fails = func(w *worker, q *request) (ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if !grey || w.id != greyWorker {
			return false
		}
		received++
		if ok = strings.HasPrefix(q.URL.Path, "/draw/1") && len(q.URL.Path) == len(deadlyPath); ok {
			failed++
		}
		return ok
	}
	entries, stop := d.serveOthers(50*time.Millisecond, func(n *node, i int) answer {
		id, path := fmt.Sprintf("%016x", 0xbeef0000+i), "/entry/"
		if i%2 == 1 {
			path = fmt.Sprintf("/draw/%d", 20+i%(draws-20))
		}
		return send(n.front, http.MethodPost, deskHost, path, id, "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	for range 4 {
		f.record.log("a spell begins")
		mu.Lock()
		grey = trouble
		mu.Unlock()
		begin := time.Now()
		for range perSpell {
			d.sendDeadly()
			time.Sleep(time.Second - 230*time.Millisecond)
		}
		time.Sleep(time.Until(begin.Add(spell)))
		mu.Lock()
		grey = false
		mu.Unlock()
		f.record.log("a spell ends")
		time.Sleep(pause)
	}
	stop()
	time.Sleep(time.Second)
	mu.Lock()
	f.record.log("in the spells, %s got %d requests and failed %d of them", greyWorker, received, failed)
	mu.Unlock()
	return d.check(entries)
}
