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

// Guards against answers that are cut, crossed or altered on the way over two
// nodes.
func TestAnswersReachTheirCallers(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				prompt := strings.Repeat("rulebook ", i+1)
				a := c.complete(i%3, []string{alphaKey, betaKey}[i%2], prompt, 5+i, i%4 == 0)
				if a.status != http.StatusOK || !a.finished || a.text != want(prompt, 5+i) {
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

// Guards against a stream that is cut, or loses or doubles a token, when its
// engine crashes.
func TestStreamGoesOnAfterEngineCrash(t *testing.T) {
	inCluster(t, func(c *cluster) {
		done := make(chan answer, 1)
		go func() { done <- c.complete(0, alphaKey, "long", 400, true) }()
		time.Sleep(2 * time.Second)
		crashBusy(c, "first")
		time.Sleep(time.Second)
		if a := <-done; !a.finished || a.text != want("long", 400) {
			t.Errorf("finished %t after %d of %d bytes, error %v", a.finished, len(a.text), len(want("long", 400)), a.err)
		}
	})
}

// crashBusy crashes the one engine that is running something.
func crashBusy(c *cluster, which string) {
	for _, e := range c.engines {
		if s := e.Stats(); s.Started > s.Completed+s.Canceled+s.Broken {
			e.Crash()
			return
		}
	}
	c.t.Errorf("no engine was busy at the %s crash", which)
}

// Guards against a stream that is cut when the node that steers its engine is
// killed.
func TestStreamGoesOnAfterStewardDeath(t *testing.T) {
	inCluster(t, func(c *cluster) {
		entry := 0
		done := make(chan answer, 1)
		go func() { done <- c.complete(entry, alphaKey, "steward", 400, true) }()
		time.Sleep(2 * time.Second)
		killed := -1
		for i, n := range c.nodes {
			if n.Steward.InFlight() > 0 {
				killed = i
			}
		}
		if killed == entry { // the stream would die with its entry node: use another one
			a := <-done
			if !a.finished {
				t.Fatalf("undisturbed stream: %v", a.err)
			}
			entry = 1
			go func() { done <- c.complete(entry, alphaKey, "steward", 400, true) }()
			time.Sleep(2 * time.Second)
		}
		if killed < 0 || killed == entry {
			t.Fatalf("node %d is the steward, entry is %d", killed, entry)
		}
		c.network.Crash(c.nodes[killed].PeerAddress().Addr().String())
		if a := <-done; !a.finished || a.text != want("steward", 400) {
			t.Errorf("finished %t after %d of %d bytes, error %v", a.finished, len(a.text), len(want("steward", 400)), a.err)
		}
	})
}

// Guards against work that goes on upstream after its caller has left.
func TestCallerLeavingCancelsUpstream(t *testing.T) {
	inCluster(t, func(c *cluster) {
		ctx, cancel := context.WithCancel(c.ctx)
		go c.do(c.request(ctx, 0, alphaKey, "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":5000,"stream":true}`))
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

// Guards against a request that crashes more than two upstreams, also when its
// caller sends it again at another node, and against losing the others' work.
func TestPoisonRequestIsHeldOut(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for _, e := range c.engines {
			e.CrashOn("poison")
		}
		var group sync.WaitGroup
		for i := range 9 {
			group.Go(func() {
				if a := c.complete(i%3, betaKey, "innocent "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("innocent request %d was cut: %v %s", i, a.err, a.body)
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

// Guards against new work on a draining upstream, and against cutting the work
// that it has.
func TestDrainingCutsNothing(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				if a := c.complete(i%3, alphaKey, "drain "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("request %d was cut: %v", i, a.err)
				}
			})
		}
		time.Sleep(time.Second)
		c.config.Upstreams[0].State = fleet.Draining
		c.apply()
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

// Guards against a graceful stop that cuts requests: those of the node's own
// callers, and those that it runs for others.
func TestStopCutsNothing(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				if a := c.complete(i%3, alphaKey, "stop "+string(rune('a'+i)), 300, true); !a.finished {
					t.Errorf("request %d was cut: %v", i, a.err)
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

// Guards against upstream attempts that multiply when all upstreams fail.
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
		if attempts > requests*12/10 {
			t.Errorf("%d upstream attempts for %d requests, want at most 1.2 times", attempts, requests)
		}
	})
}

// Guards against a key that is passed on, and against running with a key that
// isn't known or was withdrawn.
func TestKeys(t *testing.T) {
	inCluster(t, func(c *cluster) {
		for _, header := range []string{"X-Api-Key", "Api-Key"} {
			r := c.request(c.ctx, 0, "", "GET", "/desk/draw", "")
			r.Header.Set(header, alphaKey)
			r.Header.Set("X-Other", "see "+alphaKey)
			if a := c.do(r); a.status != http.StatusOK {
				t.Errorf("key in %s: %d %s", header, a.status, a.body)
			}
		}
		if c.desk.LeakedKeys() != 0 {
			t.Errorf("the service saw the key %d times", c.desk.LeakedKeys())
		}
		c.complete(0, "wrong", "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		c.complete(0, "", "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		if a := c.do(c.request(c.ctx, 0, "", "GET", "/desk/fees", "")); a.status != http.StatusOK {
			t.Errorf("open route: %d %s", a.status, a.body)
		}
		c.config.Keys = c.config.Keys[1:]
		c.apply()
		for i := range 3 {
			c.complete(i, alphaKey, "x", 1, false).checkRefusal(t, 401, "NotRun", "Unauthorized")
		}
	})
}

// Guards against input that is accepted, crashes the node or gets an answer
// that doesn't say what is wrong.
func TestBadInput(t *testing.T) {
	cases := []struct {
		name, path, body, reason, message string
		status                            int
	}{
		{"not JSON", "/v1/completions", `{"model":`, "BadRequest", "isn't valid JSON", 400},
		{"wrong type", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":"many"}`, "BadRequest", "max_tokens is a string: want int", 400},
		{"no prompt", "/v1/completions", `{"model":"m"}`, "BadRequest", "prompt is empty", 400},
		{"two prompts", "/v1/completions", `{"model":"m","prompt":["a","b"]}`, "BadRequest", "2 entries", 400},
		{"too many tokens", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":99999}`, "BadRequest", "want 1 to 16384", 400},
		{"several answers", "/v1/completions", `{"model":"m","prompt":"x","n":2}`, "BadRequest", "only 1 is served", 400},
		{"unknown model", "/v1/completions", `{"model":"gpt","prompt":"x"}`, "NotFound", `no model \"gpt\"`, 404},
		{"no messages", "/v1/chat/completions", `{"model":"m","messages":[]}`, "BadRequest", "messages is empty", 400},
		{"image", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "BadRequest", "only text", 400},
		{"unknown path", "/v1/embeddings", `{}`, "NotFound", "model API", 404},
		{"large body", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, "BodyTooLarge", "4 MiB", 413},
	}
	inCluster(t, func(c *cluster) {
		for _, test := range cases {
			a := c.do(c.request(c.ctx, 0, alphaKey, "POST", test.path, test.body))
			a.checkRefusal(t, test.status, "NotRun", test.reason)
			if !strings.Contains(a.body, test.message) {
				t.Errorf("%s: %s, want %q in it", test.name, a.body, test.message)
			}
		}
	})
}
