package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["host"] = playHost }

// playHost sends a request that crashes each worker that runs it, once a second, while
// another client of the tenant asks for the same path of another host. Without the
// disruption the request crashes nothing.
func playHost(f *fleet, trouble bool) (broken []string) {
	d := newDesk(f, trouble, false, 2*time.Second)
	entries, stopEntries := d.serveOthers(100*time.Millisecond, func(n *node, i int) answer {
		return send(n.front, http.MethodPost, deskHost, "/entry/", fmt.Sprintf("%016x", 0xbeef0000+i), "key1", 6*time.Second, "", fmt.Sprintf("team %d", i))
	})
	archived, stopArchived := &others{}, func() {}
	if !f.control {
		archived, stopArchived = d.serveOthers(200*time.Millisecond, func(n *node, i int) answer {
			return send(n.front, http.MethodGet, archiveHost, deadlyPath, fmt.Sprintf("%016x", 0xa0000000+i), "key1", 6*time.Second, "", "")
		})
	}
	time.Sleep(time.Second)
	for range 18 {
		d.sendDeadly()
		time.Sleep(time.Second)
	}
	stopEntries()
	stopArchived()
	time.Sleep(time.Second)
	f.record.log("requests of the other host: %d answered", archived.answered)
	return d.check(entries)
}
