package node_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/fleet"
)

// Guards against answers that are truncated, altered or delivered to the wrong
// caller between entry node, scheduler and engine.
func TestConcurrentAnswersArriveIntact(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				prompt := strings.Repeat("rulebook ", i+1)
				a := c.complete(i%3, []string{alphaKey, betaKey}[i%2], prompt, 5+i, i%4 == 0)
				if a.status != http.StatusOK || !a.finished || a.text != wantText(prompt, 5+i) {
					t.Errorf("request %d: status %d, finished %t, text %q, error %v", i, a.status, a.finished, a.text, a.err)
				}
			})
		}
		group.Wait()
		byWorkspace := map[string]int{}
		for _, e := range c.engines {
			for workspace, n := range e.Stats().ByWorkspace {
				byWorkspace[workspace] += n
			}
		}
		if byWorkspace["o/alpha"] != 15 || byWorkspace["o/beta"] != 15 {
			t.Errorf("runs by workspace %v, want 15 each", byWorkspace)
		}
	})
}

// Guards against a stream that is cut off, or that loses or repeats a token, when
// its engine crashes.
func TestStreamResumesAfterEngineCrash(t *testing.T) {
	inCluster(t, func(c *cluster) {
		done := make(chan answer, 1)
		go func() { done <- c.complete(0, alphaKey, "long", 400, true) }()
		time.Sleep(2 * time.Second)
		crashBusyEngine(c, "first")
		time.Sleep(time.Second)
		if a := <-done; !a.finished || a.text != wantText("long", 400) {
			t.Errorf("finished %t after %d of %d bytes, error %v", a.finished, len(a.text), len(wantText("long", 400)), a.err)
		}
	})
}

// crashBusyEngine crashes the first engine that is running a request.
func crashBusyEngine(c *cluster, which string) {
	for _, e := range c.engines {
		if s := e.Stats(); s.Started > s.Completed+s.Canceled+s.Broken {
			e.Crash()
			return
		}
	}
	c.t.Errorf("no engine was busy at the %s crash", which)
}

// Guards against a stream that is cut off when the node that schedules its engine
// crashes.
func TestStreamResumesAfterSchedulerCrash(t *testing.T) {
	inCluster(t, func(c *cluster) {
		entryNode := 0
		done := make(chan answer, 1)
		go func() { done <- c.complete(entryNode, alphaKey, "steward", 400, true) }()
		time.Sleep(2 * time.Second)
		schedulerNode := -1
		for i, n := range c.nodes {
			if n.Scheduler.InFlight() > 0 {
				schedulerNode = i
			}
		}
		if schedulerNode == entryNode { // a stream ends with its entry node, so use another one
			a := <-done
			if !a.finished {
				t.Fatalf("stream without faults: %v", a.err)
			}
			entryNode = 1
			go func() { done <- c.complete(entryNode, alphaKey, "steward", 400, true) }()
			time.Sleep(2 * time.Second)
		}
		if schedulerNode < 0 || schedulerNode == entryNode {
			t.Fatalf("node %d is the scheduler, want one other than entry node %d", schedulerNode, entryNode)
		}
		c.network.Crash(c.nodes[schedulerNode].PeerAddress().Addr().String())
		if a := <-done; !a.finished || a.text != wantText("steward", 400) {
			t.Errorf("finished %t after %d of %d bytes, error %v", a.finished, len(a.text), len(wantText("steward", 400)), a.err)
		}
	})
}

// Guards against an upstream that still runs a request after the caller has
// disconnected.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	inCluster(t, func(c *cluster) {
		ctx, cancel := context.WithCancel(c.ctx)
		go c.send(c.request(ctx, 0, alphaKey, "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":5000,"stream":true}`))
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		started, canceled := 0, 0
		for _, e := range c.engines {
			started += e.Stats().Started
			canceled += e.Stats().Canceled
		}
		if started != 1 || canceled != 1 {
			t.Errorf("%d started, %d canceled, want 1 and 1", started, canceled)
		}
	})
}

// Guards against a request that crashes more than two upstreams, even if its
// caller repeats it at other nodes, and against the loss of other requests on the
// crashed upstreams.
func TestPoisonRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for _, e := range c.engines {
			e.CrashOn("poison")
		}
		var group sync.WaitGroup
		for i := range 9 {
			group.Go(func() {
				if a := c.complete(i%3, betaKey, "innocent "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("other request %d was cut off: %v %s", i, a.err, a.body)
				}
			})
		}
		time.Sleep(time.Second)
		a := c.complete(0, alphaKey, "poison", 10, false)
		a.checkRefusal(t, http.StatusUnprocessableEntity, "MayHaveRun", "Poison")
		for i := range 3 {
			a = c.complete(i, alphaKey, "poison", 10, false)
			a.checkRefusal(t, http.StatusUnprocessableEntity, "NotRun", "Poison")
		}
		crashed := 0
		for _, e := range c.engines {
			if e.Stats().Broken > 0 {
				crashed++
			}
			e.Restart()
		}
		if crashed != 2 {
			t.Errorf("%d engines crashed, want 2", crashed)
		}
		group.Wait()
	})
}

// Guards against new requests on a draining upstream, and against the abort of
// those that it already runs.
func TestDrainingUpstreamFinishesItsRequests(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				if a := c.complete(i%3, alphaKey, "drain "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("request %d was cut off: %v", i, a.err)
				}
			})
		}
		time.Sleep(time.Second)
		c.config.Upstreams[0].State = fleet.Draining
		c.applyConfig()
		before := c.engines[0].Stats().Started
		for i := range 12 {
			if a := c.complete(i%3, alphaKey, "after "+string(rune('a'+i)), 5, false); !a.finished || a.status != http.StatusOK {
				t.Errorf("request %d after the drain: %d %v", i, a.status, a.err)
			}
		}
		group.Wait()
		if after := c.engines[0].Stats().Started; after != before {
			t.Errorf("%d requests started on the draining upstream", after-before)
		}
	})
}

// Guards against a graceful stop that aborts requests: those of the node's own
// callers, or those that it runs on upstreams for other nodes.
func TestStopFinishesRequests(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				if a := c.complete(i%3, alphaKey, "stop "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("request %d was cut off: %v", i, a.err)
				}
			})
		}
		time.Sleep(time.Second)
		stopCtx, cancel := context.WithTimeout(c.ctx, 30*time.Second)
		defer cancel()
		if err := c.nodes[1].Stop(stopCtx); err != nil {
			t.Error(err)
		}
		group.Wait()
		for _, i := range []int{0, 2} {
			if a := c.complete(i, alphaKey, "afterwards", 5, false); a.status != http.StatusOK {
				t.Errorf("node %d after the stop: %d %s %v", i, a.status, a.body, a.err)
			}
		}
	})
}

// Guards against retries that multiply upstream attempts when all upstreams fail.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for _, e := range c.engines {
			e.Crash()
		}
		const requests = 600
		for i := range requests {
			a := c.complete(0, alphaKey, "down", 5, false)
			if a.status < 500 {
				t.Fatalf("request %d: status %d %s", i, a.status, a.body)
			}
		}
		attempts := 0
		for _, n := range c.nodes {
			attempts += failedAttempts(n)
		}
		if attempts > requests*12/10 { // policy.RetryOptions.Ratio is 0.2 by default
			t.Errorf("%d upstream attempts for %d requests, want at most 1.2 times", attempts, requests)
		}
	})
}

// Guards against a key that is forwarded to a service, and against requests that
// run with an unknown or withdrawn key.
func TestKeyIsCheckedAndNotForwarded(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for _, header := range []string{"X-Api-Key", "Api-Key"} {
			r := c.request(c.ctx, 0, "", "GET", "/desk/draw", "")
			r.Header.Set(header, alphaKey)
			r.Header.Set("X-Other", "see "+alphaKey)
			if a := c.send(r); a.status != http.StatusOK {
				t.Errorf("key in %s: %d %s", header, a.status, a.body)
			}
		}
		if c.desk.LeakedKeys() != 0 {
			t.Errorf("the service saw the key %d times", c.desk.LeakedKeys())
		}
		c.complete(0, "wrong", "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		c.complete(0, "", "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		if a := c.send(c.request(c.ctx, 0, "", "GET", "/desk/fees", "")); a.status != http.StatusOK {
			t.Errorf("open route: %d %s", a.status, a.body)
		}
		c.config.Keys = c.config.Keys[1:]
		c.applyConfig()
		for i := range 3 {
			c.complete(i, alphaKey, "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		}
	})
}

// Guards against invalid input that is accepted, crashes the node, or is refused
// without saying what is wrong.
func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name, path, body, reason, message string
		status                            int
	}{
		{"not JSON", "/v1/completions", `{"model":`, "BadRequest", "isn't valid JSON", 400},
		{"wrong type", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":"many"}`, "BadRequest", "max_tokens is a string: want int", 400},
		{"no prompt", "/v1/completions", `{"model":"m"}`, "BadRequest", "prompt is empty", 400},
		{"two prompts", "/v1/completions", `{"model":"m","prompt":["a","b"]}`, "BadRequest", "2 entries", 400},
		{"too many tokens", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":99999}`, "BadRequest", "want 1 to 16384", 400},
		{"several answers", "/v1/completions", `{"model":"m","prompt":"x","n":2}`, "BadRequest", "only 1 is supported", 400},
		{"unknown model", "/v1/completions", `{"model":"gpt","prompt":"x"}`, "NotFound", `no model \"gpt\"`, 404},
		{"no messages", "/v1/chat/completions", `{"model":"m","messages":[]}`, "BadRequest", "messages is empty", 400},
		{"image", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "BadRequest", "only text", 400},
		{"unknown path", "/v1/embeddings", `{}`, "NotFound", "model API", 404},
		{"large body", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, "BodyTooLarge", "4 MiB", 413},
	}
	inCluster(t, func(c *cluster) {
		for _, test := range cases {
			a := c.send(c.request(c.ctx, 0, alphaKey, "POST", test.path, test.body))
			a.checkRefusal(t, test.status, "NotRun", test.reason)
			if !strings.Contains(a.body, test.message) {
				t.Errorf("%s: %s, want %q in it", test.name, a.body, test.message)
			}
		}
	})
}
