package main

import (
	"bufio"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["leave"] = playLeave }

// playLeave sends a request that crashes each worker that runs it, 900 ms after it began, in
// spells with pauses between them. With the disruption its client leaves after 150 ms.
func playLeave(f *fleet, trouble bool) (broken []string) {
	const (
		spell      = 5500 * time.Millisecond
		pause      = 2500 * time.Millisecond
		between    = 1100 * time.Millisecond // two deadly requests
		leaveAfter = 150 * time.Millisecond  // half of the objective is 200 ms
	)
	d := newDesk(f, true, true, 2*time.Second)
	d.crashAfter = 900 * time.Millisecond
	entries, stop := d.serveOthers(100*time.Millisecond, func(n *node, i int) answer {
		return send(n.front, http.MethodPost, deskHost, "/entry/", fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	for range 4 {
		f.record.log("a spell begins")
		begin := time.Now()
		for time.Since(begin)+between < spell {
			if trouble {
				d.leave(leaveAfter)
				time.Sleep(between - leaveAfter)
			} else {
				d.sendDeadly()
				time.Sleep(between - leaveAfter)
			}
		}
		time.Sleep(time.Until(begin.Add(spell)))
		f.record.log("a spell ends")
		time.Sleep(pause)
	}
	stop()
	time.Sleep(time.Second)
	return d.check(entries)
}

// leave sends the deadly request to the next node and closes the connection after a time, if
// there is no answer by then.
func (d *desk) leave(after time.Duration) {
	n, id := d.nextDeadly()
	c, err := dial(n.front)
	if err != nil {
		d.fleet.record.log("client can't connect to %s: %v", n.name, err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(after))
	a := exchange(c, bufio.NewReader(c), http.MethodPost, deskHost, deadlyPath, id, "key1", 6*time.Second, "From-Node: "+n.name+"\r\n", "")
	if a.status == 0 {
		d.fleet.record.log("client of %s at %s leaves after %s", id, n.name, after)
		return
	}
	d.fleet.record.log("client gets for %s at %s: %s", id, n.name, a)
}
