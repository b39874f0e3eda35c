package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/storetest"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "first seed of the random fault runs; 0 takes the fixed seeds")
	stepsFlag = flag.Int("steps", 60, "steps of each random fault run")
	runsFlag  = flag.Int("runs", 3, "number of random fault runs")
)

// chaos injects random faults into a cluster while requests run, and checks what
// the callers got. The program's own invariants are fatal in it.
type chaos struct {
	*cluster
	random    *rand.Rand
	group     sync.WaitGroup
	mu        sync.Mutex
	disturbed []int // per node: times it was killed or cut off
	dead      map[int]bool
	cut       map[int]bool
	requests  int
	entries   map[string][]answer
	finished  int
	crashes   []crash
}

type crash struct {
	engine int
	at     time.Time
}

// Guards against broken promises under faults that come together: node deaths
// and restarts, cuts, engine crashes, outages and lost answers of the store,
// and changes of the configuration, in random order.
func TestRandomFaults(t *testing.T) {
	for run := range *runsFlag {
		seed := *seedFlag + uint64(run)
		if *seedFlag == 0 {
			seed = uint64(run) + 1
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				x := &chaos{
					cluster: c, random: rand.New(rand.NewPCG(seed, 0)), disturbed: make([]int, len(c.nodes)),
					dead: map[int]bool{}, cut: map[int]bool{}, entries: map[string][]answer{},
				}
				for range *stepsFlag {
					x.step()
				}
				x.end()
			})
		})
	}
}

func (x *chaos) step() {
	x.request()
	x.request()
	node := x.random.IntN(len(x.nodes))
	switch x.random.IntN(14) {
	case 0:
		if len(x.dead)+len(x.cut) == 0 {
			x.disturb(node)
			x.dead[node] = true
			x.kill(node)
		}
	case 1, 2:
		x.restartNodes()
	case 3:
		if len(x.dead)+len(x.cut) == 0 {
			x.disturb(node)
			x.cut[node] = true
			x.cutOff(node)
		}
	case 4, 5:
		x.healNodes()
	case 6:
		x.crash(node)
	case 7:
		x.store.SetDown(true)
	case 8, 9:
		x.store.SetDown(false)
	case 10:
		x.store.DropResponses(storetest.Put, 1+x.random.IntN(3))
	case 11:
		x.change()
	}
	time.Sleep(time.Duration(x.random.IntN(3000)) * time.Millisecond)
}

func (x *chaos) restartNodes() {
	for node := range x.dead {
		x.startNode(node)
		delete(x.dead, node)
	}
}

func (x *chaos) healNodes() {
	for node := range x.cut {
		x.heal(node)
		delete(x.cut, node)
	}
}

// change edits the configuration, unless the store is down.
func (x *chaos) change() {
	x.config.Workspaces[0].Weight = 1 + x.random.IntN(5)
	document, err := x.repository.Latest(x.ctx)
	if err == nil {
		x.repository.Apply(x.ctx, document.Revision, fleet.Entries(x.config), change())
	}
}

// crash crashes an engine for five seconds.
func (x *chaos) crash(engine int) {
	x.mu.Lock()
	x.crashes = append(x.crashes, crash{engine, time.Now()})
	x.mu.Unlock()
	x.engines[engine].Crash()
	time.AfterFunc(5*time.Second, x.engines[engine].Restart)
}

// crashesSince counts the engines that crashed since a time.
func (x *chaos) crashesSince(start time.Time) (engines int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	seen := map[int]bool{}
	for _, c := range x.crashes {
		if !c.at.Before(start) {
			seen[c.engine] = true
		}
	}
	return len(seen)
}

func (x *chaos) disturb(node int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disturbed[node]++
}

func (x *chaos) disturbances(node int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.disturbed[node]
}

// request starts a random request at a random node.
func (x *chaos) request() {
	node := x.random.IntN(len(x.nodes))
	if x.dead[node] {
		return
	}
	x.requests++
	id, tokens, before := x.requests, 1+x.random.IntN(300), x.disturbances(node)
	switch x.random.IntN(4) {
	case 0:
		entry := fmt.Sprint("entry ", id)
		x.group.Go(func() { x.checkEntry(node, entry) })
	case 1:
		x.group.Go(func() {
			if a := x.complete(node, "withdrawn", "x", 1, false); a.err == nil && a.status != http.StatusUnauthorized && a.header.Get("Refusal-Reason") != "Isolated" {
				x.t.Errorf("an unknown key got %d %s", a.status, a.body)
			}
		})
	default:
		stream := x.random.IntN(2) == 0
		x.group.Go(func() { x.checkCompletion(node, fmt.Sprint("prompt ", id), tokens, stream, before) })
	}
}

// checkEntry makes an entry, and repeats it at another node when it got no
// answer, as callers do.
func (x *chaos) checkEntry(node int, entry string) {
	a := x.enter(node, entry, entry)
	x.note(entry, a)
	if a.err != nil || a.header.Get("Work-Status") == "MayHaveRun" {
		time.Sleep(time.Second)
		x.note(entry, x.enter((node+1)%len(x.nodes), entry, entry))
	}
}

func (x *chaos) note(entry string, a answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entries[entry] = append(x.entries[entry], a)
}

func (x *chaos) checkCompletion(node int, prompt string, tokens int, stream bool, before int) {
	start := time.Now()
	a := x.complete(node, alphaKey, prompt, tokens, stream)
	whole := want(prompt, tokens)
	calm := x.disturbances(node) == before
	if strings.Contains(a.body, `"code":"Poison"`) && x.crashesSince(start) > 1 {
		// A request that ran on two engines which crashed for another reason looks
		// like one that crashed them.
		return
	}
	switch {
	case a.status == http.StatusOK && !strings.HasPrefix(whole, a.text):
		x.t.Errorf("%s at node %d: wrong text %q", prompt, node, a.text)
	case a.status == http.StatusOK && a.finished && a.text != whole:
		x.t.Errorf("%s at node %d: %d of %d bytes in an answer that ended regularly", prompt, node, len(a.text), len(whole))
	case a.status == http.StatusOK && !a.finished && calm:
		x.t.Errorf("%s at node %d: cut after %d of %d bytes though its entry node wasn't disturbed: %v %s",
			prompt, node, len(a.text), len(whole), a.err, a.body[max(0, len(a.body)-200):])
	case a.err != nil && calm:
		x.t.Errorf("%s at node %d: no answer though the node wasn't disturbed: %v", prompt, node, a.err)
	}
	if a.finished && a.status == http.StatusOK {
		x.mu.Lock()
		x.finished++
		x.mu.Unlock()
	}
}

// end repairs everything and checks the final state.
func (x *chaos) end() {
	x.store.SetDown(false)
	x.healNodes()
	x.restartNodes()
	x.group.Wait()
	time.Sleep(30 * time.Second)
	for entry, answers := range x.entries {
		runs, created, mayHaveRun := x.desk.RunsOf(entry), false, false
		for _, a := range answers {
			created = created || a.status == http.StatusCreated
			mayHaveRun = mayHaveRun || a.status == http.StatusCreated || a.err != nil || a.header.Get("Work-Status") == "MayHaveRun"
		}
		if runs > 1 || (created && runs != 1) || (!mayHaveRun && runs != 0) {
			x.t.Errorf("%s ran %d times: %s", entry, runs, describe(answers))
		}
	}
	revision := x.nodes[0].Snapshot().Revision()
	for i, n := range x.nodes {
		if !n.Ready() || n.Snapshot().Revision() != revision || len(n.Members()) != len(x.nodes) {
			x.t.Errorf("node %d: ready %t, revision %d of %d, %d members", i, n.Ready(), n.Snapshot().Revision(), revision, len(n.Members()))
		}
	}
	if x.finished < x.requests/4 {
		x.t.Errorf("only %d of %d requests were completions that finished", x.finished, x.requests)
	}
}

func describe(answers []answer) (text string) {
	for _, a := range answers {
		text += fmt.Sprintf("%d %s %s %v; ", a.status, a.header.Get("Work-Status"), a.header.Get("Refusal-Reason"), a.err)
	}
	return text
}
