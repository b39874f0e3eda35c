// Command restart shows that machines which are stopped and started in turn let a
// request through again that has crashed three workers.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavagauge/guavagauge/review/standin"
)

const (
	deadly         = "an entry that crashes each worker that begins to run it"
	deadlyInterval = time.Second
	soundInterval  = 50 * time.Millisecond
	deadline       = 6 * time.Second
	// calmBefore is the time of traffic before the deadly request comes.
	calmBefore = 5 * time.Second
	// retryLimit is the number of retries of the rule.
	retryLimit = 3
)

func main() {
	d, err := standin.Open(os.Args[1], "mbeya-a", "mbeya-a", "mbeya-a")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(standin.CouldNot)
	}
	d.Store.Set("op/config", standin.NewConfig(7))
	for i, zone := range []string{"mbeya-a", "iringa-a", "njombe-a"} {
		worker := &standin.Worker{
			Service: standin.Service, Zone: zone, Slots: 6, Queue: 24, Work: 60 * time.Millisecond, Down: 2 * time.Second,
			Deadly: func(body string) bool { return body == deadly }, Store: d.Store, Record: d.Record,
		}
		d.Could(worker.Start(fmt.Sprintf("127.0.2.%d", i+1)))
		d.Workers = append(d.Workers, worker)
	}
	d.Could(d.StartNodes())
	time.Sleep(standin.Contact)

	var lost, sound atomic.Int64
	var wait sync.WaitGroup
	stop := make(chan struct{})
	client := standin.NewClient(standin.Host, standin.Key, d.Record)
	// Sound entries of other clients.
	wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
			}
			if node := next(d, i, (*standin.Node).Ready); node != nil {
				wait.Go(func() {
					sound.Add(1)
					answer := client.Send(node, "a", "POST", "/record/1", fmt.Sprintf("entry %d", i), deadline)
					if answer.Status != 200 && len(d.Record.Runs(answer.ID)) > 0 {
						lost.Add(1)
						d.Record.Add("LOST: request %s ran and has no answer of its worker", answer.ID)
					}
				})
			}
		}
	})
	time.Sleep(calmBefore)

	// The deadly entry comes again and again, at any machine that is in touch.
	var crashes, late int
	var third time.Time
	come := func(i int) {
		node := next(d, i, func(n *standin.Node) bool { return n.Ready() && n.InTouch() })
		if node == nil {
			return
		}
		answer := client.Send(node, "d", "POST", "/record/1", deadly, deadline)
		runs := d.Record.Runs(answer.ID)
		crashes += len(runs)
		if len(runs) > 0 && !third.IsZero() && runs[0].At.Sub(third) > standin.Contact && node.InTouch() {
			late++
			d.Record.Add("LATE RETRY %d: the deadly request %s reached %s, %s after the third crash, sent by %s", late, answer.ID, runs[0].Worker,
				runs[0].At.Sub(third).Round(time.Millisecond), node.Name)
		}
		if len(runs) > 0 && crashes >= 3 && third.IsZero() {
			third = runs[0].At
			d.Record.Add("the deadly request has crashed the third worker")
		}
	}
	i := 0
	for end := time.Now().Add(20 * time.Second); third.IsZero() && time.Now().Before(end); i++ {
		come(i)
		time.Sleep(deadlyInterval)
	}
	if third.IsZero() {
		d.Could(fmt.Errorf("the deadly request has crashed %d workers only", crashes))
	}
	lostBefore := lost.Load()
	rolled := make(chan struct{})
	go func() {
		defer close(rolled)
		time.Sleep(standin.Contact)
		for _, node := range d.Nodes {
			if standin.Trouble() {
				d.Could(node.Restart())
			}
			time.Sleep(10 * time.Second)
		}
	}()
	for running := true; running; i++ {
		come(i)
		select {
		case <-rolled:
			running = false
		case <-time.After(deadlyInterval):
		}
	}
	close(stop)
	wait.Wait()
	d.Record.Add("workers crashed %d times; %d retries reached workers later than contact_ms after the third crash, at most %d are allowed", crashes, late, retryLimit)
	d.Record.Add("%d sound entries; %d of them ran and were lost, %d of these after the third crash", sound.Load(), lost.Load(), lost.Load()-lostBefore)
	fmt.Printf("late retries: %d (limit %d); crashes: %d; sound entries lost after the third crash: %d\n", late, retryLimit, crashes, lost.Load()-lostBefore)
	d.Close()
	if late > retryLimit {
		os.Exit(standin.Broken)
	}
	os.Exit(standin.Held)
}

// next returns the next machine in turn for which a condition holds.
func next(d *standin.Deployment, i int, holds func(*standin.Node) bool) *standin.Node {
	for j := range d.Nodes {
		if node := d.Nodes[(i+j)%len(d.Nodes)]; holds(node) {
			return node
		}
	}
	return nil
}
