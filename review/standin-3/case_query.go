package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["query"] = playQuery }

// playQuery sends a request that crashes each worker that runs it, once a second, with the
// same path, caller and body, and with the number of the attempt in its query. Without the
// disruption the request crashes nothing.
func playQuery(f *fleet, trouble bool) (broken []string) {
	d := newDesk(f, trouble, false, 2*time.Second)
	entries, stop := d.serveOthers(100*time.Millisecond, func(n *node, i int) answer {
		return send(n.front, http.MethodPost, deskHost, "/entry/", fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	time.Sleep(time.Second)
	for attempt := range 14 {
		if f.control {
			attempt = 0
		}
		n, id := d.nextDeadly()
		begin := time.Now()
		path := fmt.Sprintf("%s?attempt=%d", deadlyPath, attempt+1)
		a := send(n.front, http.MethodGet, deskHost, path, id, "key1", 6*time.Second, "From-Node: "+n.name+"\r\n", "")
		f.record.log("client gets for %s (GET %s) at %s after %s: %s", id, path, n.name, time.Since(begin).Round(time.Millisecond), a)
		time.Sleep(time.Second)
	}
	stop()
	time.Sleep(time.Second)
	return d.check(entries)
}
