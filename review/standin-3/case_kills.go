package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["kills"] = playKills }

// playKills sends a request that crashes each worker that runs it, each 4.5 s. With the
// disruption, all nodes are killed at the same moment, twice, after two more crashes.
func playKills(f *fleet, trouble bool) (broken []string) {
	const (
		pause = 4500 * time.Millisecond // between two deadly requests
		down  = 1300 * time.Millisecond
	)
	d := newDesk(f, true, true, 2*time.Second)
	entries, stopEntries := d.serveOthers(100*time.Millisecond, func(n *node, i int) answer {
		return send(n.front, http.MethodPost, deskHost, "/entry/", fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	for round := range 3 {
		requests := 2
		if round == 2 {
			requests = 4
		}
		for range requests {
			d.sendDeadly()
			time.Sleep(pause)
		}
		if round == 2 {
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
			time.Sleep(down)
			d.startNodes()
		} else {
			time.Sleep(down + contactTime + time.Second)
		}
	}
	stopEntries()
	time.Sleep(time.Second)
	return d.check(entries)
}
