// Command silent shows that machines send requests to a worker that has left, after
// their open connections to the store have gone silent.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/guavagauge/guavagauge/review/standin"
)

const (
	interval = 15 * time.Millisecond
	deadline = 6 * time.Second
	rounds   = 6
	pause    = 6 * time.Second // between two rounds
	// drainTime is drain_ms. The worker serves on for littleLonger and exits then.
	drainTime    = 3 * time.Second
	littleLonger = 1500 * time.Millisecond
	// In each round a worker is replaced: the new one starts first, and the old one
	// reports releaseGap later that it leaves. In between, the connections go silent.
	releaseGap = time.Second
	// tolerance is for the clocks of the stand-ins.
	tolerance = 30 * time.Millisecond
)

// round is one worker that leaves.
type round struct {
	worker                    string
	silentAt, drainAt, exitAt time.Time
}

func main() {
	d, err := standin.Open(os.Args[1], "mbeya-a", "mbeya-a", "mbeya-a")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(standin.CouldNot)
	}
	proxy, err := standin.NewProxy("127.0.0.1", d.Fleet.Store)
	d.Could(err)
	d.Fleet.Store = proxy.Address
	d.Store.Set("op/config", standin.NewConfig(7))
	start := func(zone string) *standin.Worker {
		worker := &standin.Worker{
			Service: standin.Service, Zone: zone, Slots: 6, Queue: 24, Work: 60 * time.Millisecond, Store: d.Store, Record: d.Record,
		}
		d.Could(worker.Start(fmt.Sprintf("127.0.2.%d", len(d.Workers)+1)))
		d.Workers = append(d.Workers, worker)
		return worker
	}
	start("iringa-a")
	start("njombe-a")
	local := start("mbeya-a")
	d.Could(d.StartNodes())
	time.Sleep(standin.Contact)

	var mu sync.Mutex
	var left []round
	var wait sync.WaitGroup
	late, lost, total := 0, 0, 0
	judge := func(node *standin.Node, answer standin.Answer, sent time.Time) {
		mu.Lock()
		defer mu.Unlock()
		total++
		for _, run := range d.Record.Runs(answer.ID) {
			for _, r := range left {
				if r.worker != run.Worker || sent.Sub(r.silentAt) < standin.Contact+tolerance || run.At.Sub(r.drainAt) < drainTime+tolerance {
					continue
				}
				late++
				d.Record.Add("LATE: request %s, sent %.3f s after the silence, reached %s from %s %.3f s after its report or the removal of its entry", answer.ID,
					sent.Sub(r.silentAt).Seconds(), run.Worker, node.Name, run.At.Sub(r.drainAt).Seconds())
				if answer.Status != 200 {
					lost++
					d.Record.Add("LOST: request %s ran there and has no answer of its worker", answer.ID)
				}
			}
		}
	}
	stop := make(chan struct{})
	client := standin.NewClient(standin.Host, standin.Key, d.Record)
	wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			node := d.Nodes[i%len(d.Nodes)]
			wait.Go(func() {
				sent := time.Now()
				judge(node, client.Send(node, "a", "POST", "/record/1", fmt.Sprintf("entry %d", i), deadline), sent)
			})
		}
	})
	for i := range rounds {
		successor := start("mbeya-a")
		quiet := releaseGap/3 + rand.N(releaseGap/3)
		time.Sleep(quiet)
		r := round{worker: local.ID(), silentAt: time.Now()}
		if standin.Trouble() {
			proxy.Silence()
			d.Record.Add("the open connections to the store are silent from now on")
		}
		time.Sleep(releaseGap - quiet)
		if i%2 == 0 {
			local.Drain()
		} else {
			local.Unregister() // some workers never report that they leave
		}
		r.drainAt = time.Now()
		mu.Lock()
		left = append(left, r)
		mu.Unlock()
		time.Sleep(drainTime + littleLonger)
		local.Exit()
		local = successor
		time.Sleep(pause)
	}
	close(stop)
	wait.Wait()
	summary := fmt.Sprintf("%d requests; %d reached a worker more than drain_ms after its report or the removal of its entry, sent by machines in touch; %d of these were lost", total, late, lost)
	d.Record.Add("%s", summary)
	fmt.Println(summary)
	d.Close()
	if late > 0 {
		os.Exit(standin.Broken)
	}
	os.Exit(standin.Held)
}
