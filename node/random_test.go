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
	seedFlag  = flag.Uint64("seed", 0, "seed of the first random fault run; 0 uses the default seeds")
	stepsFlag = flag.Int("steps", 60, "number of steps of each random fault run")
	runsFlag  = flag.Int("runs", 3, "number of random fault runs")
)

// faultRun injects random faults into a cluster while requests run, and checks
// the answers that the callers received. A broken invariant in a node makes it
// panic.
type faultRun struct {
	*cluster
	random *rand.Rand
	group  sync.WaitGroup
	// mu guards faults, entries, finished and crashes. Only the goroutine that
	// calls step changes the other fields.
	mu          sync.Mutex
	faults      []int // per node: times it was killed or partitioned
	killed      map[int]bool
	partitioned map[int]bool
	requests    int
	entries     map[string][]answer
	finished    int
	crashes     []crash
}

type crash struct {
	engine int
	at     time.Time
}

// Guards against entries that run twice, wrong or truncated answers, and nodes
// that don't recover, under random combinations of node crashes and restarts,
// partitions, engine crashes, store outages, lost store responses and changes of
// the configuration.
func TestRandomFaults(t *testing.T) {
	for run := range *runsFlag {
		seed := *seedFlag + uint64(run)
		if *seedFlag == 0 {
			seed = uint64(run) + 1
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				x := &faultRun{
					cluster: c, random: rand.New(rand.NewPCG(seed, 0)), faults: make([]int, len(c.nodes)),
					killed: map[int]bool{}, partitioned: map[int]bool{}, entries: map[string][]answer{},
				}
				for range *stepsFlag {
					x.step()
				}
				x.checkFinalState()
			})
		})
	}
}

// step sends two requests and injects or ends a fault. At most one node is killed
// or partitioned at a time.
func (x *faultRun) step() {
	x.request()
	x.request()
	node := x.random.IntN(len(x.nodes))
	switch x.random.IntN(14) {
	case 0:
		if len(x.killed)+len(x.partitioned) == 0 {
			x.recordFault(node)
			x.killed[node] = true
			x.kill(node)
		}
	case 1, 2:
		x.restartNodes()
	case 3:
		if len(x.killed)+len(x.partitioned) == 0 {
			x.recordFault(node)
			x.partitioned[node] = true
			x.partition(node)
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

func (x *faultRun) restartNodes() {
	for node := range x.killed {
		x.startNode(node)
		delete(x.killed, node)
	}
}

func (x *faultRun) healNodes() {
	for node := range x.partitioned {
		x.heal(node)
		delete(x.partitioned, node)
	}
}

// change applies a changed configuration, unless the store is down.
func (x *faultRun) change() {
	x.config.Workspaces[0].Weight = 1 + x.random.IntN(5)
	document, err := x.repository.Latest(x.ctx)
	if err == nil {
		x.repository.Apply(x.ctx, document.Revision, fleet.Entries(x.config), testChange())
	}
}

// crash crashes an engine and restarts it after five seconds.
func (x *faultRun) crash(engine int) {
	x.mu.Lock()
	x.crashes = append(x.crashes, crash{engine, time.Now()})
	x.mu.Unlock()
	x.engines[engine].Crash()
	time.AfterFunc(5*time.Second, x.engines[engine].Restart)
}

// crashesSince returns the number of engines that crashed since start.
func (x *faultRun) crashesSince(start time.Time) (engines int) {
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

func (x *faultRun) recordFault(node int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults[node]++
}

func (x *faultRun) faultCount(node int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.faults[node]
}

// request sends a random request to a random node, or none if that node is down.
func (x *faultRun) request() {
	node := x.random.IntN(len(x.nodes))
	if x.killed[node] {
		return
	}
	x.requests++
	id, tokens, faultsBefore := x.requests, 1+x.random.IntN(300), x.faultCount(node)
	switch x.random.IntN(4) {
	case 0:
		entry := fmt.Sprint("entry ", id)
		x.group.Go(func() { x.checkEntry(node, entry) })
	case 1:
		starting := x.nodes[node].Snapshot().Revision() == 0
		x.group.Go(func() { x.checkUnknownKey(node, starting, faultsBefore) })
	default:
		stream := x.random.IntN(2) == 0
		x.group.Go(func() { x.checkCompletion(node, fmt.Sprint("prompt ", id), tokens, stream, faultsBefore) })
	}
}

// checkUnknownKey sends a request with a key that no configuration has. A node that has
// no configuration, as after a restart while the store is down, doesn't know its keys:
// it says Starting, which promises that the request hasn't run. starting tells whether
// that was so when the request was sent.
func (x *faultRun) checkUnknownKey(node int, starting bool, faultsBefore int) {
	a := x.complete(node, "withdrawn", "x", 1, false)
	if a.err != nil || a.status == http.StatusUnauthorized {
		return
	}
	reason := a.header.Get("Refusal-Reason")
	restarted := starting || x.faultCount(node) != faultsBefore
	refused := a.status == http.StatusServiceUnavailable && a.header.Get("Work-Status") == "NotRun"
	if !refused || reason != "Isolated" && (reason != "Starting" || !restarted) {
		x.t.Errorf("request with an unknown key at node %d (starting: %t): got %d %s", node, starting, a.status, a.body)
	}
}

// checkEntry posts an entry, and repeats it at another node if the outcome is
// unknown, as a caller does.
func (x *faultRun) checkEntry(node int, entry string) {
	a := x.postEntry(node, entry, entry)
	x.recordAnswer(entry, a)
	if a.err != nil || a.header.Get("Work-Status") == "MayHaveRun" {
		time.Sleep(time.Second)
		x.recordAnswer(entry, x.postEntry((node+1)%len(x.nodes), entry, entry))
	}
}

func (x *faultRun) recordAnswer(entry string, a answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.entries[entry] = append(x.entries[entry], a)
}

func (x *faultRun) checkCompletion(node int, prompt string, tokens int, stream bool, faultsBefore int) {
	start := time.Now()
	a := x.complete(node, alphaKey, prompt, tokens, stream)
	full := wantText(prompt, tokens)
	undisturbed := x.faultCount(node) == faultsBefore
	if strings.Contains(a.body, `"code":"Poison"`) && x.crashesSince(start) > 1 {
		// A request that was running on two engines when they crashed can't be
		// distinguished from one that crashed them.
		return
	}
	switch {
	case a.status == http.StatusOK && !strings.HasPrefix(full, a.text):
		x.t.Errorf("%s at node %d: wrong text %q", prompt, node, a.text)
	case a.status == http.StatusOK && a.finished && a.text != full:
		x.t.Errorf("%s at node %d: only %d of %d bytes in a complete answer", prompt, node, len(a.text), len(full))
	case a.status == http.StatusOK && !a.finished && undisturbed:
		x.t.Errorf("%s at node %d: cut off after %d of %d bytes without a fault of its entry node: %v %s",
			prompt, node, len(a.text), len(full), a.err, a.body[max(0, len(a.body)-200):])
	case a.err != nil && undisturbed:
		x.t.Errorf("%s at node %d: no answer without a fault of the node: %v", prompt, node, a.err)
	}
	if a.finished && a.status == http.StatusOK {
		x.mu.Lock()
		x.finished++
		x.mu.Unlock()
	}
}

// checkFinalState ends all faults, waits for the requests, and checks how often
// each entry ran and that all nodes have recovered.
func (x *faultRun) checkFinalState() {
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
		x.t.Errorf("only %d of %d requests were finished completions", x.finished, x.requests)
	}
}

func describe(answers []answer) (text string) {
	for _, a := range answers {
		text += fmt.Sprintf("%d %s %s %v; ", a.status, a.header.Get("Work-Status"), a.header.Get("Refusal-Reason"), a.err)
	}
	return text
}
