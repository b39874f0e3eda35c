package main

import (
	"syscall"
	"time"
)

func init() { cases["outage"] = playOutage }

// playOutage sends a request that crashes the workers that run it until it is refused. With
// the disruption, all nodes are then killed while the store is down for 8 s. Afterwards the
// request comes again.
func playOutage(f *fleet, trouble bool) (broken []string) {
	const (
		down   = 1300 * time.Millisecond
		outage = 8 * time.Second
	)
	d := newPoisonDesk(f, false)
	for range 4 {
		d.poison(0)
		time.Sleep(2 * time.Second)
	}
	if trouble {
		f.record.log("the store is down, and all nodes are killed")
		f.store.setDown(true)
		began := time.Now()
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
		time.Sleep(outage - time.Since(began))
		f.store.setDown(false)
		f.record.log("the store is back")
	}
	f.awaitReady(d.nodes...)
	f.record.log("all nodes are ready")
	time.Sleep(contactTime + 2*time.Second)
	for range 5 {
		d.poison(0)
		time.Sleep(2 * time.Second)
	}
	return d.check()
}
